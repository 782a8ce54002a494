#ifndef LYCHEETHREAD_MODEL_TYPES_INI_H
#define LYCHEETHREAD_MODEL_TYPES_INI_H

#include "model/types/Finding.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lycheethread {

/// One "key = value" line; the value has no comment and no outer white space.
struct IniEntry {
  std::string Key;
  std::string Value;
  /// Counted from 1.
  int Line = 0;
};

/// One "[name]" line and the entries below it.
struct IniSection {
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;
};

/// A file as written: doubled sections and keys are still separate.
struct IniFile {
  std::vector<IniSection> Sections;
  /// Lines that are no section, entry or comment, and unreadable characters.
  Findings Problems;
};

inline constexpr std::size_t MaxIniBytes = 256 * 1024;

/// Reads the text of \p FileName. Comments start with ';' or '#' at the start
/// of a line or after white space. A text above MaxIniBytes is not read.
IniFile readIni(const std::string &FileName, const std::string &Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_INI_H
