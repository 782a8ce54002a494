#ifndef LYCHEETHREAD_MODEL_TYPES_SCHEMA_H
#define LYCHEETHREAD_MODEL_TYPES_SCHEMA_H

#include <cstdint>
#include <string>
#include <vector>

namespace lycheethread {

/// What a key of an INI file accepts.
struct KeyRule {
  std::string Name;
  bool Required = false;
  /// Empty for keys without a unit.
  std::string Unit;
  /// Empty when the key is required or has no value by default.
  std::string Default;
  /// For people; numbers are checked against Min and Max.
  std::string Allowed;
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// A section of an INI file.
struct SectionRule {
  std::string Name;
  /// Whether the section is written "[Name.id]" and may occur many times.
  bool Named = false;
  std::vector<KeyRule> Keys;
};

/// Null when the section has no such key.
const KeyRule *findKeyRule(const SectionRule &Rule, const std::string &Key);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_SCHEMA_H
