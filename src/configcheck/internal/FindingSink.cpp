#include "configcheck/internal/FindingSink.h"

#include <algorithm>
#include <cctype>

namespace lycheethread::configcheck {

namespace {

/// Returns the place that contains \p At; empty for the whole text.
Place enclosing(const Place &At) {
  const std::size_t End = At.find_last_of(".[");
  return End == Place::npos ? Place() : At.substr(0, End);
}

/// Whether the value at \p At could not be read; it is a default value then,
/// about which nothing is to be said.
bool isUnread(const ParsedConfig &Parsed, Place At) {
  for (; !At.empty(); At = enclosing(At))
    if (std::any_of(Parsed.Problems.begin(), Parsed.Problems.end(),
                    [&](const Finding &Item) { return Item.Key == At; }))
      return true;
  return false;
}

} // namespace

int lineOf(const ParsedConfig &Parsed, Place At) {
  for (; !At.empty(); At = enclosing(At))
    if (const auto Found = Parsed.Lines.find(At); Found != Parsed.Lines.end())
      return Found->second;
  return 0;
}

std::string inOneLine(std::string Text) {
  std::replace_if(
      Text.begin(), Text.end(),
      [](unsigned char Byte) { return std::iscntrl(Byte) != 0; }, '?');
  return Text;
}

void FindingSink::add(Findings &List, const Place &At,
                      const std::string &Problem,
                      const std::string &Allowed) const {
  if (!isUnread(From, At))
    List.push_back({From.File, lineOf(From, At), At, Problem, Allowed});
}

void FindingSink::error(const Place &At, const std::string &Problem,
                        const std::string &Allowed) const {
  add(Into.Errors, At, Problem, Allowed);
}

void FindingSink::warning(const Place &At, const std::string &Problem,
                          const std::string &Allowed) const {
  add(Into.Warnings, At, Problem, Allowed);
}

} // namespace lycheethread::configcheck
