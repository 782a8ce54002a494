#include "model/types/Checks.h"
#include "model/types/Ini.h"

#include <Poco/UTF8Encoding.h>

#include <string_view>

namespace lycheethread {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view WhiteSpace = " \t";
constexpr std::size_t MaxIniFindings = 500;

struct ParserState {
  const std::string &FileName;
  IniFile File;
  int Line = 0;
};

void report(ParserState &To, std::string Key, std::string Problem,
            std::string Allowed) {
  if (To.File.Problems.size() < MaxIniFindings)
    To.File.Problems.push_back({To.FileName, To.Line, std::move(Key),
                                std::move(Problem), std::move(Allowed)});
}

std::string_view trimmed(std::string_view Text) {
  const auto Begin = Text.find_first_not_of(WhiteSpace);
  if (Begin == std::string_view::npos)
    return {};
  const auto End = Text.find_last_not_of(WhiteSpace);
  return Text.substr(Begin, End - Begin + 1);
}

bool isCommentStart(char C) { return C == ';' || C == '#'; }

std::string_view stripComment(std::string_view Text) {
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const bool AfterSpace =
        I == 0 || WhiteSpace.find(Text[I - 1]) != std::string_view::npos;
    if (isCommentStart(Text[I]) && AfterSpace)
      return Text.substr(0, I);
  }
  return Text;
}

/// Returns the length of the UTF-8 character at the start of \p Text, or 0 if
/// it is malformed.
std::size_t characterLength(std::string_view Text) {
  const auto *Bytes = reinterpret_cast<const unsigned char *>(Text.data());
  if (Bytes[0] < 0x80)
    return 1;
  std::size_t Length = 2;
  if (Bytes[0] >= 0xE0)
    Length = Bytes[0] >= 0xF0 ? 4 : 3;
  const bool Legal =
      Length <= Text.size() &&
      Poco::UTF8Encoding::isLegal(Bytes, static_cast<int>(Length));
  return Legal ? Length : 0;
}

bool isControl(std::string_view Character) {
  const auto First = static_cast<unsigned char>(Character[0]);
  const bool IsC0Control = First < 0x20 && First != '\t';
  // U+0080 to U+009F are the C1 control characters.
  const bool IsC1Control = First == 0xC2 && Character.size() == 2 &&
                           static_cast<unsigned char>(Character[1]) < 0xA0;
  return IsC0Control || First == 0x7F || IsC1Control;
}

/// Replaces each unreadable byte of the line with '?', so that messages can
/// quote the line. Reports each kind of error once per line.
std::string replaceUnreadable(ParserState &To, std::string_view Line) {
  std::string Clean;
  bool Malformed = false;
  bool Control = false;
  while (!Line.empty()) {
    const auto Length = characterLength(Line);
    const auto Character = Line.substr(0, Length == 0 ? 1 : Length);
    const bool IsControl = Length != 0 && isControl(Character);
    Malformed = Malformed || Length == 0;
    Control = Control || IsControl;
    if (Length == 0 || IsControl)
      Clean += '?';
    else
      Clean += Character;
    Line.remove_prefix(Character.size());
  }
  if (Malformed)
    report(To, "", "the line is not valid UTF-8", "text in UTF-8");
  if (Control)
    report(To, "", "the line has a control character",
           "printable characters and tabs");
  return Clean;
}

void readSection(ParserState &To, std::string_view Line) {
  const auto End = Line.find(']');
  if (End == std::string_view::npos || End + 1 != Line.size()) {
    report(To, "", "malformed section " + quoted(Line), "[name]");
    return;
  }
  const auto Name = trimmed(Line.substr(1, End - 1));
  To.File.Sections.push_back({std::string(Name), To.Line, {}});
}

void readEntry(ParserState &To, std::string_view Line) {
  const auto Equals = Line.find('=');
  const auto Key = trimmed(Line.substr(0, Equals));
  if (Equals == std::string_view::npos || Key.empty()) {
    report(To, "", "malformed line " + quoted(Line),
           "[section], key = value or a comment");
    return;
  }
  if (To.File.Sections.empty()) {
    report(To, truncateUtf8(Key, MaxNameLength),
           "the key is outside of a section", "a section header above it");
    return;
  }
  const auto Value = trimmed(Line.substr(Equals + 1));
  To.File.Sections.back().Entries.push_back(
      {std::string(Key), std::string(Value), To.Line});
}

void readLine(ParserState &To, std::string_view Raw) {
  const std::string Clean = replaceUnreadable(To, Raw);
  const auto Line = trimmed(stripComment(Clean));
  if (Line.empty())
    return;
  if (Line.front() == '[')
    readSection(To, Line);
  else
    readEntry(To, Line);
}

} // namespace

IniFile readIni(const std::string &FileName, const std::string &Text) {
  ParserState State{FileName, {}};
  if (Text.size() > MaxIniBytes) {
    report(State, "", "the text has " + std::to_string(Text.size()) + " bytes",
           "at most " + std::to_string(MaxIniBytes) + " bytes");
    return std::move(State.File);
  }
  std::string_view Rest = Text;
  if (Rest.substr(0, ByteOrderMark.size()) == ByteOrderMark)
    Rest.remove_prefix(ByteOrderMark.size());
  while (!Rest.empty()) {
    const auto End = Rest.find('\n');
    auto Line = Rest.substr(0, End);
    Rest.remove_prefix(End == std::string_view::npos ? Rest.size() : End + 1);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    ++State.Line;
    readLine(State, Line);
  }
  return std::move(State.File);
}

} // namespace lycheethread
