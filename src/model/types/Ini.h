#ifndef LYCHEETHREAD_MODEL_TYPES_INI_H
#define LYCHEETHREAD_MODEL_TYPES_INI_H

#include "model/types/Finding.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lycheethread {

/// A "key = value" line. The value has no comment and no surrounding white
/// space.
struct IniEntry {
  std::string Key;
  std::string Value;
  /// Line number, starting at 1.
  int Line = 0;
};

/// A "[name]" line and the entries below it.
struct IniSection {
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;
};

/// An INI file as written; duplicate sections and keys are not merged.
struct IniFile {
  std::vector<IniSection> Sections;
  /// Syntax errors and unreadable characters.
  Findings Problems;
};

inline constexpr std::size_t MaxIniBytes = 256 * 1024;

/// Parses the text of \p FileName. A comment begins with ';' or '#' at the
/// start of a line or after white space. A text longer than MaxIniBytes is not
/// parsed.
IniFile readIni(const std::string &FileName, const std::string &Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_INI_H
