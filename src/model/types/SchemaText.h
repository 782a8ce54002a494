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

/// Line number of each section and key, by the label used in findings.
struct LineIndex {
  std::map<std::string, int> Lines;
};

/// A section that the schema defines, with those entries that the schema
/// defines, each once.
struct SchemaSection {
  const SectionRule *Rule = nullptr;
  /// Label in findings, such as "route.orders".
  std::string Label;
  /// The part after the dot; empty for sections without an id.
  std::string Id;
  int Line = 0;
  std::map<std::string, IniEntry> Entries;
};

/// An INI text that is checked against a schema, with the findings so far.
struct SchemaText {
  std::string File;
  std::vector<SchemaSection> Sections;
  LineIndex Index;
  Findings Problems;
  /// Number of findings beyond MaxFindings.
  std::size_t Dropped = 0;
};

/// Further findings of a text are only counted.
inline constexpr std::size_t MaxFindings = 500;

/// Parses \p Text and collects the sections and keys that \p Schema defines,
/// each once. \p Schema must outlive the result.
SchemaText readSchemaText(const std::string &FileName, const std::string &Text,
                          const std::vector<SectionRule> &Schema);

/// Adds a finding, unless there are MaxFindings already.
void report(SchemaText &To, int Line, const std::string &Key,
            const std::string &Problem, const std::string &Allowed);

/// Reports an invalid value at its line, with the values that the rule of the
/// key allows.
void reportInvalidValue(SchemaText &To, const SchemaSection &From,
                        const std::string &Key, const std::string &Problem);

/// Returns "section.key".
std::string keyLabel(const SchemaSection &From, const std::string &Key);

/// Returns the value of \p Key, or nothing if the key is absent. Reports an
/// empty value and returns nothing.
std::optional<std::string> readTextValue(SchemaText &To,
                                         const SchemaSection &From,
                                         const std::string &Key);

/// Returns the number at \p Key, or its default if the key is absent. Reports a
/// number that is malformed or out of range and returns the lowest allowed
/// value.
std::int64_t readNumberValue(SchemaText &To, const SchemaSection &From,
                             const std::string &Key);

/// Returns the name at \p Key, or an empty string if the key is absent. Reports
/// an invalid name and returns an empty string.
std::string readNameValue(SchemaText &To, const SchemaSection &From,
                          const std::string &Key);

/// Moves all findings out of \p From, sorted by line.
Findings takeFindings(SchemaText &From);

/// Returns "a, b, c".
std::string joinWithCommas(const std::vector<std::string> &Names);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_SCHEMATEXT_H
