#include "model/types/SchemaText.h"
#include "model/types/Checks.h"

#include <algorithm>

namespace lycheethread {

namespace {

std::string listKeys(const SectionRule &Rule) {
  std::vector<std::string> Names;
  for (const KeyRule &Key : Rule.Keys)
    Names.push_back(Key.Name);
  return joinWithCommas(Names);
}

std::string listSections(const std::vector<SectionRule> &Schema) {
  std::vector<std::string> Names;
  for (const SectionRule &Rule : Schema)
    Names.push_back("[" + Rule.Name + (Rule.Named ? ".name]" : "]"));
  return joinWithCommas(Names);
}

const SectionRule *findSectionRule(const std::vector<SectionRule> &Schema,
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
    report(To, Entry.Line, Label, "unknown key", listKeys(*Into.Rule));
    return;
  }
  const auto [Existing, Added] = Into.Entries.emplace(Entry.Key, Entry);
  if (!Added) {
    report(To, Entry.Line, Label,
           "the key is already set on line " +
               std::to_string(Existing->second.Line),
           "each key once");
    return;
  }
  To.Index.Lines.emplace(Label, Entry.Line);
}

std::optional<SchemaSection>
checkSection(SchemaText &To, const std::vector<SectionRule> &Schema,
             const IniSection &Raw) {
  // A section name may be as long as the text; messages show only its start.
  const std::string Label = truncateUtf8(Raw.Name, MaxNameLength);
  const SectionRule *Rule = findSectionRule(Schema, Raw.Name);
  if (Rule == nullptr) {
    report(To, Raw.Line, Label, "unknown section", listSections(Schema));
    return std::nullopt;
  }
  SchemaSection Checked{Rule, Raw.Name, "", Raw.Line, {}};
  if (Rule->Named)
    Checked.Id = Raw.Name.substr(Rule->Name.size() + 1);
  if (Rule->Named && !isValidName(Checked.Id)) {
    report(To, Raw.Line, Label, "invalid name " + quoted(Checked.Id),
           AllowedNameText);
    Checked.Label = Label;
    Checked.Id.clear();
  }
  return Checked;
}

std::vector<SchemaSection>
collectSections(SchemaText &To, const std::vector<SectionRule> &Schema,
                const IniFile &File) {
  std::vector<SchemaSection> Known;
  std::map<std::string, int> Seen;
  for (const IniSection &Raw : File.Sections) {
    std::optional<SchemaSection> Checked = checkSection(To, Schema, Raw);
    if (!Checked)
      continue;
    const auto [Existing, IsNew] = Seen.emplace(Raw.Name, Raw.Line);
    if (!IsNew) {
      report(To, Raw.Line, Checked->Label,
             "the section already exists on line " +
                 std::to_string(Existing->second),
             "each section once");
      continue;
    }
    To.Index.Lines.emplace(Checked->Label, Raw.Line);
    for (const IniEntry &Entry : Raw.Entries)
      addEntry(To, *Checked, Entry);
    reportMissingKeys(To, *Checked);
    Known.push_back(std::move(*Checked));
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
         "invalid name " + quoted(*Text), AllowedNameText);
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
