#include "model/Model.h"
#include "model/types/SchemaText.h"

#include <algorithm>
#include <set>

namespace lycheethread {

namespace {

constexpr std::size_t MaxPathLength = 1024;
constexpr std::size_t MaxSteps = 20;
constexpr std::size_t MaxVersions = 2;
constexpr std::int64_t FullSharePermille = 1000;

struct DocumentBuilder : SchemaText {
  ServiceDocument Document;
};

std::int32_t readCount(DocumentBuilder &To, const SchemaSection &From,
                       const std::string &Key) {
  return static_cast<std::int32_t>(readNumberValue(To, From, Key));
}

void readService(DocumentBuilder &To, const SchemaSection &From) {
  ServiceDocument &Document = To.Document;
  Document.Service = ServiceName(readNameValue(To, From, "name"));
  Document.Team = TeamName(readNameValue(To, From, "team"));
  Document.BaseRevision = Revision(readNumberValue(To, From, "builds_on"));
}

void readLimits(DocumentBuilder &To, const SchemaSection &From) {
  ServiceLimits &Limits = To.Document.Limits;
  Limits.Slots = readCount(To, From, "slots");
  Limits.Connections = readCount(To, From, "connections");
  Limits.Queue = readCount(To, From, "queue");
  Limits.CallerSharePercent = readCount(To, From, "caller_share_percent");
  Limits.RetryBudgetPercent = readCount(To, From, "retry_budget_percent");
}

void readVersions(DocumentBuilder &To, const SchemaSection &From,
                  UpstreamGroup &Group) {
  const auto Text = readTextValue(To, From, "versions");
  if (!Text)
    return;
  const std::vector<std::string> Names = splitList(*Text);
  if (Names.size() > MaxVersions)
    reportInvalidValue(To, From, "versions",
                       std::to_string(Names.size()) + " versions are listed");
  std::set<std::string> Seen;
  for (const std::string &Name : Names) {
    if (!isValidName(Name)) {
      report(To, From.Entries.at("versions").Line, keyLabel(From, "versions"),
             "invalid name " + quoted(Name), AllowedNameText);
      continue;
    }
    if (!Seen.insert(Name).second)
      reportInvalidValue(To, From, "versions",
                         "version " + quoted(Name) + " is listed twice");
    Group.Versions.emplace_back(Name);
  }
}

void readGroup(DocumentBuilder &To, const SchemaSection &From) {
  UpstreamGroup Group;
  Group.Name = GroupName(From.Id);
  readVersions(To, From, Group);
  To.Document.Groups.emplace(Group.Name, std::move(Group));
}

/// Parses a percentage such as "5" or "0.5".
std::optional<Permille> parseStep(const std::string &Text) {
  const auto Dot = Text.find('.');
  const auto Whole = parseWholeNumber(Text.substr(0, Dot));
  if (!Whole || *Whole > 100)
    return std::nullopt;
  if (Dot == std::string::npos)
    return Permille(*Whole * 10);
  const std::string Decimal = Text.substr(Dot + 1);
  const auto Tenth = parseWholeNumber(Decimal);
  if (!Tenth || Decimal.size() != 1)
    return std::nullopt;
  return Permille(*Whole * 10 + *Tenth);
}

/// Returns the error in the steps, or an empty string if they are valid.
std::string checkSteps(const std::vector<Permille> &Steps) {
  Permille Last(0);
  for (const Permille Step : Steps) {
    if (Step <= Last)
      return "the steps are not in ascending order";
    Last = Step;
  }
  if (Last != Permille(FullSharePermille))
    return "the last step is not 100";
  return Steps.size() > MaxSteps ? "too many steps" : "";
}

std::vector<Permille> readSteps(DocumentBuilder &To,
                                const SchemaSection &From) {
  const auto Written = readTextValue(To, From, "steps_percent");
  const std::string Text =
      Written.value_or(findKeyRule(*From.Rule, "steps_percent")->Default);
  std::vector<Permille> Steps;
  for (const std::string &Part : splitList(Text)) {
    const auto Step = parseStep(Part);
    if (!Step) {
      reportInvalidValue(To, From, "steps_percent",
                         quoted(Part) + " is not a percentage");
      return {};
    }
    Steps.push_back(*Step);
  }
  const std::string Problem = checkSteps(Steps);
  if (!Problem.empty())
    reportInvalidValue(To, From, "steps_percent", Problem);
  return Steps;
}

WallTime readFinishBy(DocumentBuilder &To, const SchemaSection &From) {
  const auto Text = readTextValue(To, From, "finish_by");
  if (!Text)
    return WallTime(0);
  const auto At = parseUtcTime(*Text);
  if (!At)
    reportInvalidValue(To, From, "finish_by",
                       quoted(*Text) + " is not a UTC time");
  return At.value_or(WallTime(0));
}

void readMove(DocumentBuilder &To, const SchemaSection &From) {
  MovePlan Plan;
  Plan.Group = GroupName(From.Id);
  Plan.From = VersionName(readNameValue(To, From, "from"));
  Plan.To = VersionName(readNameValue(To, From, "to"));
  Plan.FinishBy = readFinishBy(To, From);
  Plan.Steps = readSteps(To, From);
  Plan.StepDuration =
      std::chrono::seconds(readNumberValue(To, From, "step_seconds"));
  To.Document.Moves.emplace(Plan.Group, std::move(Plan));
}

void readUse(DocumentBuilder &To, const SchemaSection &From) {
  ServiceUse Use;
  Use.Name = From.Id;
  Use.Service = ServiceName(readNameValue(To, From, "service"));
  Use.Group = GroupName(readNameValue(To, From, "upstreams"));
  To.Document.Uses.emplace(Use.Name, std::move(Use));
}

void readResource(DocumentBuilder &To, const SchemaSection &From) {
  Resource Result;
  Result.Name = ResourceName(From.Id);
  Result.MaxBody = ByteCount(readNumberValue(To, From, "max_body_bytes"));
  To.Document.Resources.emplace(Result.Name, Result);
}

bool isPathCharacter(char C) {
  return C > ' ' && C < 0x7F && C != '?' && C != '#';
}

/// Rejects a trailing slash, so that equal prefixes are equal strings.
bool isValidPath(const std::string &Path) {
  if (Path == "/")
    return true;
  if (Path.empty() || Path.front() != '/' || Path.size() > MaxPathLength)
    return false;
  if (!std::all_of(Path.begin(), Path.end(), isPathCharacter))
    return false;
  const std::string WithSlash = Path + "/";
  return WithSlash.find("//") == std::string::npos &&
         WithSlash.find("/./") == std::string::npos &&
         WithSlash.find("/../") == std::string::npos;
}

void readPath(DocumentBuilder &To, const SchemaSection &From, Route &Result) {
  const auto Text = readTextValue(To, From, "path");
  if (!Text)
    return;
  if (isValidPath(*Text))
    Result.Path = *Text;
  else
    reportInvalidValue(To, From, "path",
                       quoted(*Text) + " is not a path prefix");
}

void readClass(DocumentBuilder &To, const SchemaSection &From, Route &Result) {
  const auto Text = readTextValue(To, From, "class");
  if (!Text)
    return;
  const auto Class = parseRequestClass(*Text);
  if (!Class)
    reportInvalidValue(To, From, "class", quoted(*Text) + " is not a class");
  Result.Class = Class.value_or(RequestClass::Repeatable);
}

void readRoute(DocumentBuilder &To, const SchemaSection &From) {
  Route Result;
  Result.Name = RouteName(From.Id);
  readPath(To, From, Result);
  readClass(To, From, Result);
  Result.Group = GroupName(readNameValue(To, From, "upstreams"));
  Result.Timeout = Milliseconds(readNumberValue(To, From, "timeout_ms"));
  const std::string Limit = readNameValue(To, From, "resource");
  if (!Limit.empty())
    Result.Limit = ResourceName(Limit);
  To.Document.Routes.emplace(Result.Name, std::move(Result));
}

void readSection(DocumentBuilder &To, const SchemaSection &From) {
  const std::string &Kind = From.Rule->Name;
  if (Kind == "service")
    readService(To, From);
  else if (Kind == "limits")
    readLimits(To, From);
  else if (Kind == "upstreams")
    readGroup(To, From);
  else if (Kind == "move")
    readMove(To, From);
  else if (Kind == "uses")
    readUse(To, From);
  else if (Kind == "resource")
    readResource(To, From);
  else
    readRoute(To, From);
}

template <typename Map> std::string listNames(const Map &Items) {
  constexpr std::size_t MaxListed = 20;
  std::vector<std::string> Names;
  for (const auto &Item : Items) {
    if (Names.size() == MaxListed) {
      Names.emplace_back("...");
      break;
    }
    Names.push_back(Item.first.str());
  }
  return Names.empty() ? "none is defined" : joinWithCommas(Names);
}

void setLines(Findings &Items, const std::string &File,
              const LineIndex &Index) {
  for (Finding &Item : Items) {
    Item.File = File;
    auto Found = Index.Lines.find(Item.Key);
    if (Found == Index.Lines.end())
      Found = Index.Lines.find(Item.Key.substr(0, Item.Key.rfind('.')));
    if (Found != Index.Lines.end())
      Item.Line = Found->second;
  }
}

/// Reports a finding at the line of the key, or at the line of its section if
/// the key is absent.
void reportAt(DocumentBuilder &To, const std::string &Section,
              const std::string &Key, const std::string &Problem,
              const std::string &Allowed) {
  Findings Located = {{"", 0, Section + "." + Key, Problem, Allowed}};
  setLines(Located, To.File, To.Index);
  report(To, Located.front().Line, Located.front().Key, Problem, Allowed);
}

bool hasVersion(const UpstreamGroup &Group, const VersionName &Version) {
  return std::find(Group.Versions.begin(), Group.Versions.end(), Version) !=
         Group.Versions.end();
}

std::string listVersions(const UpstreamGroup &Group) {
  std::vector<std::string> Names;
  for (const VersionName &Version : Group.Versions)
    Names.push_back(Version.str());
  return joinWithCommas(Names);
}

void checkMoveVersion(DocumentBuilder &To, const UpstreamGroup &Group,
                      const std::string &Section, const char *Key,
                      const VersionName &Version) {
  if (!Version.empty() && !hasVersion(Group, Version))
    reportAt(To, Section, Key,
             "the group does not list version " + quoted(Version.str()),
             listVersions(Group));
}

void checkMove(DocumentBuilder &To, const MovePlan &Plan) {
  const ServiceDocument &Document = To.Document;
  const std::string Section = "move." + Plan.Group.str();
  const auto Group = Document.Groups.find(Plan.Group);
  if (Group == Document.Groups.end()) {
    report(To, To.Index.Lines[Section], Section,
           "there is no section [upstreams." + Plan.Group.str() + "]",
           listNames(Document.Groups));
    return;
  }
  checkMoveVersion(To, Group->second, Section, "from", Plan.From);
  checkMoveVersion(To, Group->second, Section, "to", Plan.To);
  if (!Plan.From.empty() && Plan.From == Plan.To)
    reportAt(To, Section, "to", "the move does not change the version",
             "the other version of the group");
}

void checkGroup(DocumentBuilder &To, const UpstreamGroup &Group) {
  const bool HasMove = To.Document.Moves.count(Group.Name) != 0;
  if (Group.Versions.size() == MaxVersions && !HasMove)
    reportAt(To, "upstreams." + Group.Name.str(), "versions",
             "two versions are listed, but no move",
             "one version, or a section [move." + Group.Name.str() + "]");
}

void checkUse(DocumentBuilder &To, const ServiceUse &Use) {
  if (!Use.Service.empty() && Use.Service == To.Document.Service)
    reportAt(To, "uses." + Use.Name, "service", "the service refers to itself",
             "the name of another service");
}

void checkRoute(DocumentBuilder &To, const Route &Item) {
  const ServiceDocument &Document = To.Document;
  const std::string Section = "route." + Item.Name.str();
  if (!Item.Group.empty() && Document.Groups.count(Item.Group) == 0)
    reportAt(To, Section, "upstreams",
             "there is no group " + quoted(Item.Group.str()),
             listNames(Document.Groups));
  if (Item.Limit && Document.Resources.count(*Item.Limit) == 0)
    reportAt(To, Section, "resource",
             "there is no resource " + quoted(Item.Limit->str()),
             listNames(Document.Resources));
}

void checkPaths(DocumentBuilder &To) {
  std::map<std::string, RouteName> Owners;
  for (const auto &[Name, Item] : To.Document.Routes) {
    if (Item.Path.empty())
      continue;
    const auto [Owner, IsNew] = Owners.emplace(Item.Path, Name);
    if (!IsNew)
      reportAt(To, "route." + Name.str(), "path",
               "route " + quoted(Owner->second.str()) + " has the same path",
               "each path once");
  }
}

/// Checks the references between sections. Sections with an invalid id are not
/// in the document; they have been reported before.
void checkReferences(DocumentBuilder &To) {
  const ServiceDocument &Document = To.Document;
  for (const auto &Item : Document.Groups)
    checkGroup(To, Item.second);
  for (const auto &Item : Document.Moves)
    checkMove(To, Item.second);
  for (const auto &Item : Document.Uses)
    checkUse(To, Item.second);
  for (const auto &Item : Document.Routes)
    checkRoute(To, Item.second);
  checkPaths(To);
}

void checkServiceSection(DocumentBuilder &To) {
  if (To.Index.Lines.count("service") == 0)
    report(To, 0, "service", "the section is missing",
           "[service] with name, team and builds_on");
}

} // namespace

ParsedDocument parseDocument(const std::string &FileName,
                             const std::string &Text) {
  DocumentBuilder State{readSchemaText(FileName, Text, documentSchema()), {}};
  if (Text.size() <= MaxIniBytes) {
    for (const SchemaSection &Known : State.Sections)
      if (!Known.Rule->Named || !Known.Id.empty())
        readSection(State, Known);
    checkServiceSection(State);
    checkReferences(State);
  }
  Findings Problems = takeFindings(State);
  return {std::move(State.Document), std::move(Problems), FileName,
          std::move(State.Index)};
}

void locateFindings(Findings &Items, const ParsedDocument &Parsed) {
  setLines(Items, Parsed.File, Parsed.Index);
}

} // namespace lycheethread
