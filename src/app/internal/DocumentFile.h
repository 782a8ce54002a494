#ifndef LYCHEETHREAD_APP_INTERNAL_DOCUMENTFILE_H
#define LYCHEETHREAD_APP_INTERNAL_DOCUMENTFILE_H

#include "model/Model.h"

#include <string>

namespace lycheethread::app {

/// Text of a service document file and the result of parsing it.
struct DocumentFile {
  std::string Text;
  ParsedDocument Parsed;
};

/// Reads and checks the document at \p Path. A file that cannot be read is
/// reported as a finding. Reads at most one byte more than the allowed size,
/// which is enough to detect a file that is too large.
DocumentFile readDocumentFile(const std::string &Path);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_DOCUMENTFILE_H
