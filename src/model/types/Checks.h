#ifndef LYCHEETHREAD_MODEL_TYPES_CHECKS_H
#define LYCHEETHREAD_MODEL_TYPES_CHECKS_H

#include "model/types/Units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheethread {

inline constexpr std::size_t MaxNameLength = 64;
inline constexpr const char *AllowedNameText =
    "a-z, 0-9, '.' and '-', starting with a letter or digit, "
    "at most 64 characters";

/// Returns whether \p Text is a valid name: [a-z0-9][a-z0-9.-]*, at most
/// MaxNameLength characters.
bool isValidName(std::string_view Text);

/// Parses decimal digits without a sign. Returns nothing if \p Text has other
/// characters or exceeds the range of a signed 64-bit integer.
std::optional<std::int64_t> parseWholeNumber(std::string_view Text);

/// Parses "YYYY-MM-DDThh:mm:ssZ". Returns nothing if \p Text has another format
/// or is not a valid date.
std::optional<WallTime> parseUtcTime(const std::string &Text);

/// Formats \p At for parseUtcTime; drops the milliseconds.
std::string formatUtcTime(WallTime At);

/// Splits a comma-separated list and trims white space around the parts.
std::vector<std::string> splitList(std::string_view Text);

/// Truncates \p Text to at most \p MaxBytes without splitting a UTF-8
/// character.
std::string truncateUtf8(std::string_view Text, std::size_t MaxBytes);

/// Returns \p Text in quotes for a message, truncated to 64 bytes.
std::string quoted(std::string_view Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_CHECKS_H
