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

/// Whether \p Text is an id: [a-z0-9][a-z0-9.-]*, at most MaxNameLength.
bool isValidName(std::string_view Text);

/// Decimal digits only; empty when malformed or above the 64-bit range.
std::optional<std::int64_t> parseWholeNumber(std::string_view Text);

/// "YYYY-MM-DDThh:mm:ssZ"; empty when malformed or not a date.
std::optional<WallTime> parseUtcTime(const std::string &Text);

/// Inverse of parseUtcTime, without the milliseconds.
std::string formatUtcTime(WallTime At);

/// Parts of a comma-separated list without outer white space.
std::vector<std::string> splitList(std::string_view Text);

/// \p Text up to \p MaxBytes, without a cut inside a UTF-8 character.
std::string truncateUtf8(std::string_view Text, std::size_t MaxBytes);

/// \p Text in quotes, shortened to 64 bytes, for messages.
std::string quoted(std::string_view Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_CHECKS_H
