#include "config/internal/Publish.h"

#include "config/Config.h"

namespace lycheethread::config {

namespace {

/// A publication that is being checked.
struct Proposal {
  const PublishRecord &Body;
  const ParsedDocument &Parsed;
  /// Null for the first document of a service.
  const AcceptedDocument *InForce = nullptr;
  /// The moves as they would be after the publication is accepted.
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

/// Only a move may change the version that serves a group. An immediate switch
/// would send all traffic to the new version before a fault could be detected.
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

void truncateText(std::string &Text) {
  Text = truncateUtf8(Text, MaxFindingTextBytes);
}

Findings limitFindings(Findings Problems) {
  if (Problems.size() > MaxResultFindings)
    Problems.resize(MaxResultFindings);
  for (Finding &Item : Problems) {
    truncateText(Item.File);
    truncateText(Item.Key);
    truncateText(Item.Problem);
    truncateText(Item.Allowed);
  }
  return Problems;
}

void addResult(ConfigState &State, PublishResult Result) {
  State.PublishResults.push_back(std::move(Result));
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
  // The service name in the record has not been validated and may contain any
  // bytes.
  const bool HasName = isValidName(Body.Service.str());
  const std::string Service = HasName ? Body.Service.str() : "";
  const ParsedDocument Parsed = parseDocument(Service + ".ini", Body.Text);
  Proposal Checked{
      Body, Parsed, accepted(State, Body.Service), State.Moves, {}};
  Checked.Problems = Parsed.Problems;
  if (Checked.Problems.empty()) {
    checkProposal(Checked, State);
    locateFindings(Checked.Problems, Parsed);
  }
  PublishResult Result{Header,
                       At,
                       ServiceName(Service),
                       Checked.Problems.empty(),
                       Checked.inForce(),
                       {}};
  if (Result.Accepted) {
    Result.InForce = Checked.inForce().next();
    accept(State, At, Checked);
  } else {
    Result.Problems = limitFindings(std::move(Checked.Problems));
  }
  addResult(State, std::move(Result));
}

} // namespace lycheethread::config
