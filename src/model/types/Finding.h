#ifndef LYCHEETHREAD_MODEL_TYPES_FINDING_H
#define LYCHEETHREAD_MODEL_TYPES_FINDING_H

#include <string>
#include <vector>

namespace lycheethread {

/// One mistake in a document, a settings file or a record.
struct Finding {
  std::string File;
  /// Counted from 1; 0 when the whole file is meant.
  int Line = 0;
  /// "section.key", or the section alone.
  std::string Key;
  std::string Problem;
  /// What would be accepted instead.
  std::string Allowed;
};

using Findings = std::vector<Finding>;

/// "file:line: key: problem; allowed: ..." without a line end.
std::string toString(const Finding &Item);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_FINDING_H
