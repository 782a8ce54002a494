#ifndef LYCHEETHREAD_MODEL_TYPES_FINDING_H
#define LYCHEETHREAD_MODEL_TYPES_FINDING_H

#include <string>
#include <vector>

namespace lycheethread {

/// An error in a document, a settings file or a record.
struct Finding {
  std::string File;
  /// Line number from 1; 0 if the finding is about the whole file.
  int Line = 0;
  /// "section.key", or only the section.
  std::string Key;
  std::string Problem;
  /// Describes the accepted values.
  std::string Allowed;
};

using Findings = std::vector<Finding>;

/// Formats a finding as "file:line: key: problem; allowed: ..." without a line
/// break.
std::string toString(const Finding &Item);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_FINDING_H
