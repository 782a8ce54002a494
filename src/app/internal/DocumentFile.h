#ifndef LYCHEETHREAD_APP_INTERNAL_DOCUMENTFILE_H
#define LYCHEETHREAD_APP_INTERNAL_DOCUMENTFILE_H

#include "model/Model.h"

#include <string>

namespace lycheethread::app {

/// A service document on disk.
struct DocumentFile {
  std::string Text;
  ParsedDocument Parsed;
};

/// Reads and checks \p Path; a file that cannot be read is a finding. No more
/// than one byte above the allowed size is read.
DocumentFile readDocumentFile(const std::string &Path);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_DOCUMENTFILE_H
