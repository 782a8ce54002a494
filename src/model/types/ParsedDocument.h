#ifndef LYCHEETHREAD_MODEL_TYPES_PARSEDDOCUMENT_H
#define LYCHEETHREAD_MODEL_TYPES_PARSEDDOCUMENT_H

#include "model/types/Finding.h"
#include "model/types/SchemaText.h"
#include "model/types/ServiceDocument.h"

#include <string>

namespace lycheethread {

/// Result of parsing a service document; the document is valid only if there
/// are no problems.
struct ParsedDocument {
  ServiceDocument Document;
  Findings Problems;
  std::string File;
  LineIndex Index;
};

/// Parses and validates a service document. Does not throw for invalid text.
ParsedDocument parseDocument(const std::string &FileName,
                             const std::string &Text);

/// Sets the file and line of findings about Parsed.Document. A key that is
/// absent from the text gets the line of its section.
void locateFindings(Findings &Items, const ParsedDocument &Parsed);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_PARSEDDOCUMENT_H
