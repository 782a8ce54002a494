#include "model/types/Checks.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <charconv>

namespace lycheethread {

namespace {

constexpr std::size_t MaxQuotedBytes = 64;

bool isDigit(char C) { return C >= '0' && C <= '9'; }

bool isNameStart(char C) { return isDigit(C) || (C >= 'a' && C <= 'z'); }

bool isNameCharacter(char C) { return isNameStart(C) || C == '.' || C == '-'; }

std::string_view trimmed(std::string_view Text) {
  const auto Begin = Text.find_first_not_of(" \t");
  if (Begin == std::string_view::npos)
    return {};
  const auto End = Text.find_last_not_of(" \t");
  return Text.substr(Begin, End - Begin + 1);
}

bool matchesPattern(std::string_view Text, std::string_view Pattern) {
  return Text.size() == Pattern.size() &&
         std::equal(
             Text.begin(), Text.end(), Pattern.begin(),
             [](char C, char P) { return P == '0' ? isDigit(C) : C == P; });
}

int parseDigits(std::string_view Text, std::size_t From, std::size_t Count) {
  int Value = 0;
  for (const char C : Text.substr(From, Count))
    Value = Value * 10 + (C - '0');
  return Value;
}

} // namespace

bool isValidName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         isNameStart(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

std::optional<std::int64_t> parseWholeNumber(std::string_view Text) {
  if (Text.empty() || !std::all_of(Text.begin(), Text.end(), isDigit))
    return std::nullopt;
  std::int64_t Value = 0;
  const auto Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc())
    return std::nullopt;
  return Value;
}

std::optional<WallTime> parseUtcTime(const std::string &Text) {
  if (!matchesPattern(Text, "0000-00-00T00:00:00Z"))
    return std::nullopt;
  const int Year = parseDigits(Text, 0, 4);
  const int Month = parseDigits(Text, 5, 2);
  const int Day = parseDigits(Text, 8, 2);
  const int Hour = parseDigits(Text, 11, 2);
  const int Minute = parseDigits(Text, 14, 2);
  const int Second = parseDigits(Text, 17, 2);
  if (Year < 1970 || Second > 59 ||
      !Poco::DateTime::isValid(Year, Month, Day, Hour, Minute, Second))
    return std::nullopt;
  const Poco::DateTime At(Year, Month, Day, Hour, Minute, Second);
  return WallTime(At.timestamp().epochMicroseconds() / 1000);
}

std::string formatUtcTime(WallTime At) {
  const Poco::Timestamp Stamp(At.value() * 1000);
  return Poco::DateTimeFormatter::format(Stamp, "%Y-%m-%dT%H:%M:%SZ");
}

std::vector<std::string> splitList(std::string_view Text) {
  std::vector<std::string> Parts;
  std::size_t From = 0;
  while (true) {
    const auto Comma = Text.find(',', From);
    const bool Last = Comma == std::string_view::npos;
    const auto Part = Text.substr(From, Last ? Comma : Comma - From);
    Parts.emplace_back(trimmed(Part));
    if (Last)
      return Parts;
    From = Comma + 1;
  }
}

std::string truncateUtf8(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return std::string(Text);
  std::size_t End = MaxBytes;
  while (End > 0 && (static_cast<unsigned char>(Text[End]) & 0xC0U) == 0x80U)
    --End;
  return std::string(Text.substr(0, End));
}

std::string quoted(std::string_view Text) {
  const char *Ellipsis = Text.size() <= MaxQuotedBytes ? "" : "...";
  return "\"" + truncateUtf8(Text, MaxQuotedBytes) + Ellipsis + "\"";
}

} // namespace lycheethread
