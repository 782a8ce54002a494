#ifndef LYCHEETHREAD_MODEL_TYPES_PARSEDDOCUMENT_H
#define LYCHEETHREAD_MODEL_TYPES_PARSEDDOCUMENT_H

#include "model/types/Finding.h"
#include "model/types/SchemaText.h"
#include "model/types/ServiceDocument.h"

#include <string>

namespace lycheethread {

/// A service document as read; valid only when there are no problems.
struct ParsedDocument {
  ServiceDocument Document;
  Findings Problems;
  std::string File;
  LineIndex Index;
};

/// Reads and checks a service document; throws nothing for any text.
ParsedDocument parseDocument(const std::string &FileName,
                             const std::string &Text);

/// Fills in file and line of findings that were made on Parsed.Document; a key
/// that the text does not have gets the line of its section.
void locateFindings(Findings &Items, const ParsedDocument &Parsed);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_PARSEDDOCUMENT_H
