#ifndef LYCHEETHREAD_MODEL_TYPES_SCHEMA_H
#define LYCHEETHREAD_MODEL_TYPES_SCHEMA_H

#include <cstdint>
#include <string>
#include <vector>

namespace lycheethread {

/// Rule for a key of an INI file.
struct KeyRule {
  std::string Name;
  bool Required = false;
  /// Empty if the key has no unit.
  std::string Unit;
  /// Empty if the key is required or has no default value.
  std::string Default;
  /// Description for error messages; numbers are checked against Min and Max.
  std::string Allowed;
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// Rule for a section of an INI file.
struct SectionRule {
  std::string Name;
  /// Whether the section is written "[Name.id]" and may occur several times
  /// with different ids.
  bool Named = false;
  std::vector<KeyRule> Keys;
};

/// Returns the rule for \p Key, or null if the section has no such key.
const KeyRule *findKeyRule(const SectionRule &Rule, const std::string &Key);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_SCHEMA_H
