#ifndef LYCHEETHREAD_MODEL_TYPES_SCHEMATEXT_H
#define LYCHEETHREAD_MODEL_TYPES_SCHEMATEXT_H

#include "model/types/Finding.h"
#include "model/types/Ini.h"
#include "model/types/Schema.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread {

/// Line of each section and key, under the names that findings use.
struct LineIndex {
  std::map<std::string, int> Lines;
};

/// A known section of the text; the entries are unique and known.
struct SchemaSection {
  const SectionRule *Rule = nullptr;
  /// Label in findings, such as "route.orders".
  std::string Label;
  /// The part after the dot; empty for sections without an id.
  std::string Id;
  int Line = 0;
  std::map<std::string, IniEntry> Entries;
};

/// An INI text read against a schema, with what is wrong so far.
struct SchemaText {
  std::string File;
  std::vector<SchemaSection> Sections;
  LineIndex Index;
  Findings Problems;
  /// Findings beyond MaxFindings.
  std::size_t Dropped = 0;
};

/// More mistakes of one text are only counted.
inline constexpr std::size_t MaxFindings = 500;

/// Collects the sections and keys that \p Schema knows, each once. \p Schema
/// must outlive the result.
SchemaText readSchemaText(const std::string &FileName, const std::string &Text,
                          const std::vector<SectionRule> &Schema);

void report(SchemaText &To, int Line, const std::string &Key,
            const std::string &Problem, const std::string &Allowed);

/// Reports a bad value at its line with what the key's rule allows.
void reportInvalidValue(SchemaText &To, const SchemaSection &From,
                        const std::string &Key, const std::string &Problem);

/// "section.key".
std::string keyLabel(const SchemaSection &From, const std::string &Key);

/// The value; empty when the key is absent, or with a finding when it has no
/// value.
std::optional<std::string> readTextValue(SchemaText &To,
                                         const SchemaSection &From,
                                         const std::string &Key);

/// A number within the key's range, its default, or its lowest value with a
/// finding.
std::int64_t readNumberValue(SchemaText &To, const SchemaSection &From,
                             const std::string &Key);

/// A name, or an empty string with a finding.
std::string readNameValue(SchemaText &To, const SchemaSection &From,
                          const std::string &Key);

/// All findings in the order of their lines.
Findings takeFindings(SchemaText &From);

/// "a, b, c".
std::string joinWithCommas(const std::vector<std::string> &Names);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_SCHEMATEXT_H
