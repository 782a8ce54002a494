#include "config/internal/CheckpointCodec.h"

namespace lycheethread::config {

namespace {

/// Values of Move.status in checkpoint.thrift.
constexpr std::int32_t StatusRunning = 1;
constexpr std::int32_t StatusFinished = 2;
constexpr std::int32_t StatusUndone = 3;

gen::Document toGen(const AcceptedDocument &From) {
  gen::Document To;
  To.serviceName = From.Document.Service.str();
  To.revision = From.Accepted.value();
  To.acceptedAt = From.AcceptedAt.value();
  To.text = From.Text;
  return To;
}

gen::Writer toGen(const NodeId &Id, const WriterProgress &From) {
  gen::Writer To;
  To.id = Id.str();
  To.incarnation = From.IncarnationNumber.value();
  To.sequence = From.Last.value();
  To.lastAt = From.LastRecordAt.value();
  return To;
}

gen::FindingItem toGen(const Finding &From) {
  gen::FindingItem To;
  To.file = From.File;
  To.line = From.Line;
  To.key = From.Key;
  To.problem = From.Problem;
  To.allowed = From.Allowed;
  return To;
}

gen::Verdict toGen(const PublishResult &From) {
  gen::Verdict To;
  To.writer = From.Header.Writer.str();
  To.incarnation = From.Header.IncarnationNumber.value();
  To.sequence = From.Header.Number.value();
  To.writtenAtMs = From.Header.WrittenAt.value();
  To.at = From.At.value();
  To.serviceName = From.Service.str();
  To.accepted = From.Accepted;
  To.inForce = From.InForce.value();
  for (const Finding &Item : From.Problems)
    To.problems.push_back(toGen(Item));
  return To;
}

gen::Plan toGen(const MovePlan &From) {
  gen::Plan To;
  To.group = From.Group.str();
  To.fromVersion = From.From.str();
  To.toVersion = From.To.str();
  To.finishByMs = From.FinishBy.value();
  for (const Permille Step : From.Steps)
    To.stepsPermille.push_back(Step.value());
  To.stepLengthMs = From.StepDuration.count();
  return To;
}

std::int32_t statusNumber(moves::MoveStatus From) {
  switch (From) {
  case moves::MoveStatus::Running:
    return StatusRunning;
  case moves::MoveStatus::Finished:
    return StatusFinished;
  case moves::MoveStatus::Undone:
    break;
  }
  return StatusUndone;
}

gen::Move toGen(const moves::Move &From) {
  gen::Move To;
  To.id = From.Id.str();
  To.serviceName = From.Service.str();
  To.plan = toGen(From.Plan);
  To.status = statusNumber(From.Status);
  To.sharePermille = From.Share.value();
  To.stepsTaken = From.StepsTaken;
  To.startedAtMs = From.StartedAt.value();
  To.steppedAtMs = From.SteppedAt.value();
  To.endedAtMs = From.EndedAt.value();
  To.reason = From.Reason;
  To.evidence = From.Evidence;
  return To;
}

gen::Lease toGen(const LeaseSubject &Subject, const moves::Lease &From) {
  gen::Lease To;
  To.subject = Subject.str();
  To.holder = From.Holder.str();
  To.epoch = From.Generation.value();
  To.expiresAtMs = From.ExpiresAt.value();
  return To;
}

void require(bool Condition, const char *Name) {
  if (!Condition)
    throw BadCheckpoint(std::string("the checkpoint has an invalid ") + Name);
}

/// Accepts times above LatestWrittenAt, since a lease ends after its record was
/// written, but none so large that later sums could overflow.
WallTime timeFrom(std::int64_t Value) {
  constexpr std::int64_t Latest = LatestWrittenAt.value() * 2;
  require(Value >= 0 && Value <= Latest, "time");
  return WallTime(Value);
}

template <typename Number> Number countFrom(std::int64_t Value) {
  constexpr std::int64_t Largest = 1LL << 62;
  require(Value >= 0 && Value <= Largest, "number");
  return Number(Value);
}

AcceptedDocument fromGen(const gen::Document &From) {
  ParsedDocument Parsed = parseDocument(From.serviceName + ".ini", From.text);
  require(Parsed.Problems.empty() &&
              Parsed.Document.Service == ServiceName(From.serviceName),
          "document");
  return {std::move(Parsed.Document), countFrom<Revision>(From.revision),
          countFrom<Offset>(From.acceptedAt), From.text};
}

PublishResult fromGen(const gen::Verdict &From) {
  PublishResult To;
  To.Header = {NodeId(From.writer), Incarnation(From.incarnation),
               Sequence(From.sequence), timeFrom(From.writtenAtMs)};
  To.At = countFrom<Offset>(From.at);
  To.Service = ServiceName(From.serviceName);
  To.Accepted = From.accepted;
  To.InForce = countFrom<Revision>(From.inForce);
  require(From.problems.size() <= MaxResultFindings, "verdict");
  for (const gen::FindingItem &Item : From.problems)
    To.Problems.push_back(
        {Item.file, Item.line, Item.key, Item.problem, Item.allowed});
  return To;
}

MovePlan fromGen(const gen::Plan &From) {
  MovePlan To;
  To.Group = GroupName(From.group);
  To.From = VersionName(From.fromVersion);
  To.To = VersionName(From.toVersion);
  To.FinishBy = timeFrom(From.finishByMs);
  for (const std::int64_t Step : From.stepsPermille)
    To.Steps.push_back(countFrom<Permille>(Step));
  To.StepDuration = Milliseconds(timeFrom(From.stepLengthMs).value());
  return To;
}

moves::MoveStatus statusFrom(std::int32_t From) {
  switch (From) {
  case StatusRunning:
    return moves::MoveStatus::Running;
  case StatusFinished:
    return moves::MoveStatus::Finished;
  case StatusUndone:
    return moves::MoveStatus::Undone;
  }
  throw BadCheckpoint("the checkpoint has an unknown move status");
}

moves::Move fromGen(const gen::Move &From) {
  moves::Move To;
  To.Id = MoveId(From.id);
  To.Service = ServiceName(From.serviceName);
  To.Plan = fromGen(From.plan);
  To.Status = statusFrom(From.status);
  To.Share = countFrom<Permille>(From.sharePermille);
  const auto Steps = static_cast<std::int32_t>(To.Plan.Steps.size());
  require(From.stepsTaken >= 0 && From.stepsTaken <= Steps, "step");
  To.StepsTaken = From.stepsTaken;
  To.StartedAt = timeFrom(From.startedAtMs);
  To.SteppedAt = timeFrom(From.steppedAtMs);
  To.EndedAt = timeFrom(From.endedAtMs);
  To.Reason = From.reason;
  To.Evidence = From.evidence;
  return To;
}

moves::Lease fromGen(const gen::Lease &From) {
  return {NodeId(From.holder), countFrom<Epoch>(From.epoch),
          timeFrom(From.expiresAtMs)};
}

void readMoves(moves::MoveTable &To, const gen::State &From) {
  for (const gen::Move &Item : From.running) {
    moves::Move Read = fromGen(Item);
    require(Read.Status == moves::MoveStatus::Running, "running move");
    To.Running.emplace(Read.Id, Read);
  }
  for (const gen::Move &Item : From.ended) {
    To.Ended.push_back(fromGen(Item));
    require(To.Ended.back().Status != moves::MoveStatus::Running, "ended move");
  }
  for (const gen::Lease &Item : From.leases)
    To.Leases.emplace(LeaseSubject(Item.subject), fromGen(Item));
}

void readWriters(ConfigState &To, const gen::State &From) {
  require(From.writers.size() <= MaxWriters, "list of writers");
  for (const gen::Writer &Item : From.writers)
    To.Writers[NodeId(Item.id)] = {Incarnation(Item.incarnation),
                                   Sequence(Item.sequence),
                                   countFrom<Offset>(Item.lastAt)};
}

} // namespace

gen::State toGen(const ConfigState &From) {
  gen::State To;
  To.position = From.Position.value();
  To.logTimeMs = From.LogTime.value();
  for (const auto &Item : From.Documents)
    To.documents.push_back(toGen(Item.second));
  for (const auto &Item : From.Moves.Running)
    To.running.push_back(toGen(Item.second));
  for (const moves::Move &Item : From.Moves.Ended)
    To.ended.push_back(toGen(Item));
  for (const auto &[Subject, Item] : From.Moves.Leases)
    To.leases.push_back(toGen(Subject, Item));
  for (const auto &[Id, Mark] : From.Writers)
    To.writers.push_back(toGen(Id, Mark));
  for (const PublishResult &Item : From.PublishResults)
    To.verdicts.push_back(toGen(Item));
  return To;
}

ConfigState fromGen(const gen::State &From) {
  ConfigState To;
  To.Position = countFrom<Offset>(From.position);
  To.LogTime = timeFrom(From.logTimeMs);
  for (const gen::Document &Item : From.documents)
    To.Documents.emplace(ServiceName(Item.serviceName), fromGen(Item));
  readMoves(To.Moves, From);
  readWriters(To, From);
  require(From.verdicts.size() <= MaxPublishResults, "list of verdicts");
  for (const gen::Verdict &Item : From.verdicts)
    To.PublishResults.push_back(fromGen(Item));
  return To;
}

} // namespace lycheethread::config
