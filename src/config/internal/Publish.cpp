#include "config/internal/Publish.h"

#include "config/Config.h"

namespace lycheethread::config {

namespace {

/// A publication on its way through the checks.
struct Proposal {
  const PublishRecord &Body;
  const ParsedDocument &Parsed;
  /// Null for the first document of a service.
  const AcceptedDocument *InForce = nullptr;
  /// The moves as they would be after the publication.
  moves::MoveTable Moves;
  Findings Problems;

  Revision inForce() const {
    return InForce == nullptr ? Revision(0) : InForce->Accepted;
  }
};

void report(Proposal &To, const std::string &Key, const std::string &Problem,
            const std::string &Allowed) {
  To.Problems.push_back({"", 0, Key, Problem, Allowed});
}

void add(Findings &To, Findings From) {
  for (Finding &Item : From)
    To.push_back(std::move(Item));
}

void checkIdentity(Proposal &To) {
  const ServiceDocument &Document = To.Parsed.Document;
  if (Document.Service != To.Body.Service)
    report(To, "service.name", "the record is for another service",
           "the service that the record names");
  const std::string Current = std::to_string(To.inForce().value());
  if (Document.BaseRevision != To.Body.BaseRevision)
    report(To, "service.builds_on",
           "the record builds on revision " +
               std::to_string(To.Body.BaseRevision.value()),
           "the same revision in record and document");
  else if (Document.BaseRevision != To.inForce())
    report(To, "service.builds_on",
           "revision " + Current + " is in force, not " +
               std::to_string(Document.BaseRevision.value()),
           Current + ", after the edit includes that revision");
}

/// A version that takes a group over at once would get all of its traffic
/// before a fault can show, so only a move may change what serves a group.
void checkServingVersions(Proposal &To, const moves::MoveTable &Before) {
  if (To.InForce == nullptr)
    return;
  const ServiceDocument &Old = To.InForce->Document;
  const ServiceDocument &New = To.Parsed.Document;
  for (const auto &Item : New.Groups) {
    const GroupName &Group = Item.first;
    if (Old.Groups.count(Group) == 0)
      continue;
    const auto Serving = moves::trafficSplitOf(Before, Old, Group).Stable;
    const auto Next = moves::trafficSplitOf(To.Moves, New, Group).Stable;
    if (Serving != Next)
      report(To, "upstreams." + Group.str() + ".versions",
             "the group would switch from version " + quoted(Serving.str()) +
                 " to " + quoted(Next.str()) + " at once",
             quoted(Serving.str()) + " first, and [move." + Group.str() +
                 "] to another version");
  }
}

void checkProposal(Proposal &To, const ConfigState &State) {
  checkIdentity(To);
  if (!To.Problems.empty())
    return;
  const ServiceDocument &Document = To.Parsed.Document;
  add(To.Problems, checkAgainst(State, Document));
  add(To.Problems, moves::checkMoves(State.Moves, Document, State.LogTime));
  moves::applyDocument(To.Moves, Document, To.inForce().next(), State.LogTime);
  checkServingVersions(To, State.Moves);
}

const AcceptedDocument *accepted(const ConfigState &State,
                                 const ServiceName &Service) {
  const auto Found = State.Documents.find(Service);
  return Found == State.Documents.end() ? nullptr : &Found->second;
}

void bound(std::string &Text) {
  Text = truncateUtf8(Text, MaxFindingTextBytes);
}

Findings bounded(Findings Problems) {
  if (Problems.size() > MaxResultFindings)
    Problems.resize(MaxResultFindings);
  for (Finding &Item : Problems) {
    bound(Item.File);
    bound(Item.Key);
    bound(Item.Problem);
    bound(Item.Allowed);
  }
  return Problems;
}

void keepVerdict(ConfigState &State, PublishResult Verdict) {
  State.PublishResults.push_back(std::move(Verdict));
  if (State.PublishResults.size() > MaxPublishResults)
    State.PublishResults.pop_front();
}

void accept(ConfigState &State, Offset At, Proposal &From) {
  const Revision Next = From.inForce().next();
  State.Moves = std::move(From.Moves);
  const ServiceDocument &Document = From.Parsed.Document;
  State.Documents[Document.Service] = {Document, Next, At, From.Body.Text};
}

} // namespace

void foldPublish(ConfigState &State, Offset At, const RecordHeader &Header,
                 const PublishRecord &Body) {
  // The name in the record is not checked yet and may be no text at all.
  const bool HasName = isValidName(Body.Service.str());
  const std::string Service = HasName ? Body.Service.str() : "";
  const ParsedDocument Parsed = parseDocument(Service + ".ini", Body.Text);
  Proposal Made{Body, Parsed, accepted(State, Body.Service), State.Moves, {}};
  Made.Problems = Parsed.Problems;
  if (Made.Problems.empty()) {
    checkProposal(Made, State);
    locateFindings(Made.Problems, Parsed);
  }
  PublishResult Verdict{
      Header,         At, ServiceName(Service), Made.Problems.empty(),
      Made.inForce(), {}};
  if (Verdict.Accepted) {
    Verdict.InForce = Made.inForce().next();
    accept(State, At, Made);
  } else {
    Verdict.Problems = bounded(std::move(Made.Problems));
  }
  keepVerdict(State, std::move(Verdict));
}

} // namespace lycheethread::config
