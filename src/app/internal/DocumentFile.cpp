#include "app/internal/DocumentFile.h"

#include <cerrno>
#include <fstream>
#include <system_error>

namespace lycheethread::app {

namespace {

DocumentFile makeUnreadableFile(const std::string &Path, int Error) {
  DocumentFile File;
  File.Parsed.File = Path;
  const std::string Reason = std::generic_category().message(Error);
  File.Parsed.Problems.push_back({Path, 0, "",
                                  "the file cannot be read: " + Reason,
                                  "a readable service document"});
  return File;
}

} // namespace

DocumentFile readDocumentFile(const std::string &Path) {
  errno = 0;
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return makeUnreadableFile(Path, errno);
  std::string Text(MaxIniBytes + 1, '\0');
  In.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (In.bad())
    return makeUnreadableFile(Path, errno);
  Text.resize(static_cast<std::size_t>(In.gcount()));
  ParsedDocument Parsed = parseDocument(Path, Text);
  return {std::move(Text), std::move(Parsed)};
}

} // namespace lycheethread::app
