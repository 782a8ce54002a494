#include "model/types/SchemaText.h"
#include "model/types/Checks.h"

#include <algorithm>

namespace lycheethread {

namespace {

std::string keysOf(const SectionRule &Rule) {
  std::vector<std::string> Names;
  for (const KeyRule &Key : Rule.Keys)
    Names.push_back(Key.Name);
  return joinWithCommas(Names);
}

std::string sectionsOf(const std::vector<SectionRule> &Schema) {
  std::vector<std::string> Names;
  for (const SectionRule &Rule : Schema)
    Names.push_back("[" + Rule.Name + (Rule.Named ? ".name]" : "]"));
  return joinWithCommas(Names);
}

const SectionRule *sectionRule(const std::vector<SectionRule> &Schema,
                               const std::string &Name) {
  const auto Dot = Name.find('.');
  const std::string Kind = Name.substr(0, Dot);
  for (const SectionRule &Rule : Schema)
    if (Rule.Name == Kind && Rule.Named == (Dot != std::string::npos))
      return &Rule;
  return nullptr;
}

void reportMissingKeys(SchemaText &To, const SchemaSection &From) {
  for (const KeyRule &Rule : From.Rule->Keys)
    if (Rule.Required && From.Entries.count(Rule.Name) == 0)
      report(To, From.Line, keyLabel(From, Rule.Name), "the key is missing",
             Rule.Allowed);
}

void addEntry(SchemaText &To, SchemaSection &Into, const IniEntry &Entry) {
  const std::string Label =
      keyLabel(Into, truncateUtf8(Entry.Key, MaxNameLength));
  if (findKeyRule(*Into.Rule, Entry.Key) == nullptr) {
    report(To, Entry.Line, Label, "unknown key", keysOf(*Into.Rule));
    return;
  }
  const auto [Location, Added] = Into.Entries.emplace(Entry.Key, Entry);
  if (!Added) {
    report(To, Entry.Line, Label,
           "the key is already set in line " +
               std::to_string(Location->second.Line),
           "each key once");
    return;
  }
  To.Index.Lines.emplace(Label, Entry.Line);
}

std::optional<SchemaSection> openSection(SchemaText &To,
                                         const std::vector<SectionRule> &Schema,
                                         const IniSection &Raw) {
  // A name may be as long as the text, so messages show its start only.
  const std::string Label = truncateUtf8(Raw.Name, MaxNameLength);
  const SectionRule *Rule = sectionRule(Schema, Raw.Name);
  if (Rule == nullptr) {
    report(To, Raw.Line, Label, "unknown section", sectionsOf(Schema));
    return std::nullopt;
  }
  SchemaSection Opened{Rule, Raw.Name, "", Raw.Line, {}};
  if (Rule->Named)
    Opened.Id = Raw.Name.substr(Rule->Name.size() + 1);
  if (Rule->Named && !isValidName(Opened.Id)) {
    report(To, Raw.Line, Label, "bad name " + quoted(Opened.Id),
           AllowedNameText);
    Opened.Label = Label;
    Opened.Id.clear();
  }
  return Opened;
}

std::vector<SchemaSection>
collectSections(SchemaText &To, const std::vector<SectionRule> &Schema,
                const IniFile &File) {
  std::vector<SchemaSection> Known;
  std::map<std::string, int> Seen;
  for (const IniSection &Raw : File.Sections) {
    std::optional<SchemaSection> Opened = openSection(To, Schema, Raw);
    if (!Opened)
      continue;
    const auto [Location, First] = Seen.emplace(Raw.Name, Raw.Line);
    if (!First) {
      report(To, Raw.Line, Opened->Label,
             "the section is already in line " +
                 std::to_string(Location->second),
             "each section once");
      continue;
    }
    To.Index.Lines.emplace(Opened->Label, Raw.Line);
    for (const IniEntry &Entry : Raw.Entries)
      addEntry(To, *Opened, Entry);
    reportMissingKeys(To, *Opened);
    Known.push_back(std::move(*Opened));
  }
  return Known;
}

} // namespace

const KeyRule *findKeyRule(const SectionRule &Rule, const std::string &Key) {
  const auto Found =
      std::find_if(Rule.Keys.begin(), Rule.Keys.end(),
                   [&](const KeyRule &Item) { return Item.Name == Key; });
  return Found == Rule.Keys.end() ? nullptr : &*Found;
}

void report(SchemaText &To, int Line, const std::string &Key,
            const std::string &Problem, const std::string &Allowed) {
  if (To.Problems.size() >= MaxFindings) {
    ++To.Dropped;
    return;
  }
  To.Problems.push_back({To.File, Line, Key, Problem, Allowed});
}

std::string keyLabel(const SchemaSection &From, const std::string &Key) {
  return From.Label + "." + Key;
}

std::string joinWithCommas(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

std::optional<std::string> readTextValue(SchemaText &To,
                                         const SchemaSection &From,
                                         const std::string &Key) {
  const auto Found = From.Entries.find(Key);
  if (Found == From.Entries.end())
    return std::nullopt;
  if (!Found->second.Value.empty())
    return Found->second.Value;
  report(To, Found->second.Line, keyLabel(From, Key), "the value is empty",
         findKeyRule(*From.Rule, Key)->Allowed);
  return std::nullopt;
}

void reportInvalidValue(SchemaText &To, const SchemaSection &From,
                        const std::string &Key, const std::string &Problem) {
  const auto Found = From.Entries.find(Key);
  const int Line = Found == From.Entries.end() ? From.Line : Found->second.Line;
  report(To, Line, keyLabel(From, Key), Problem,
         findKeyRule(*From.Rule, Key)->Allowed);
}

std::int64_t readNumberValue(SchemaText &To, const SchemaSection &From,
                             const std::string &Key) {
  const KeyRule &Rule = *findKeyRule(*From.Rule, Key);
  const auto Text = readTextValue(To, From, Key);
  if (!Text)
    return Rule.Default.empty() ? Rule.Min : *parseWholeNumber(Rule.Default);
  const auto Value = parseWholeNumber(*Text);
  if (Value && *Value >= Rule.Min && *Value <= Rule.Max)
    return *Value;
  reportInvalidValue(To, From, Key,
                     quoted(*Text) + " is not a number in range");
  return Rule.Min;
}

std::string readNameValue(SchemaText &To, const SchemaSection &From,
                          const std::string &Key) {
  const auto Text = readTextValue(To, From, Key);
  if (!Text)
    return {};
  if (isValidName(*Text))
    return *Text;
  report(To, From.Entries.at(Key).Line, keyLabel(From, Key),
         "bad name " + quoted(*Text), AllowedNameText);
  return {};
}

SchemaText readSchemaText(const std::string &FileName, const std::string &Text,
                          const std::vector<SectionRule> &Schema) {
  SchemaText Read;
  Read.File = FileName;
  IniFile File = readIni(FileName, Text);
  Read.Problems = std::move(File.Problems);
  Read.Sections = collectSections(Read, Schema, File);
  return Read;
}

Findings takeFindings(SchemaText &From) {
  Findings Problems = std::move(From.Problems);
  std::stable_sort(
      Problems.begin(), Problems.end(),
      [](const Finding &L, const Finding &R) { return L.Line < R.Line; });
  if (From.Dropped != 0)
    Problems.push_back({From.File, 0, "",
                        std::to_string(From.Dropped) + " more mistakes", ""});
  return Problems;
}

} // namespace lycheethread
