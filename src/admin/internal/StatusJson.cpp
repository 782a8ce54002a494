#include "admin/internal/StatusServices.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace lycheethread::admin {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

/// Number of ended moves in the status, newest first.
constexpr std::size_t MaxEndedShown = 16;

void addNode(Object &Out, const StatusServices &From) {
  const settings::NodeSettings &Settings = *From.Settings;
  Out.set("node", Settings.Id.str());
  Out.set("region", Settings.At.RegionName.str());
  Out.set("zone", Settings.At.Zone.str());
  Out.set("service", Settings.Service.str());
  Out.set("group", Settings.Group.str());
  Out.set("version", Settings.Version.str());
  if (!From.Peers || !From.Peers->Self)
    return;
  const Member Self = From.Peers->Self();
  Out.set("state", std::string(toString(Self.State)));
  Out.set("incarnation", Self.IncarnationNumber.value());
}

Object configOf(const config::ConfigState &State, WallTime Now) {
  Object Out;
  Out.set("position", State.Position.value());
  Out.set("newest_record_at_ms", State.LogTime.value());
  Out.set("newest_record_age_ms", elapsed(State.LogTime, Now).count());
  return Out;
}

Array documentsOf(const config::ConfigState &State) {
  Array Out;
  for (const auto &[Name, Accepted] : State.Documents) {
    Object Each;
    Each.set("service", Name.str());
    Each.set("revision", Accepted.Accepted.value());
    Each.set("offset", Accepted.AcceptedAt.value());
    Out.add(Each);
  }
  return Out;
}

std::string statusName(moves::MoveStatus Status) {
  switch (Status) {
  case moves::MoveStatus::Running:
    return "running";
  case moves::MoveStatus::Finished:
    return "finished";
  case moves::MoveStatus::Undone:
    return "undone";
  }
  return "invalid";
}

Object moveOf(const moves::Move &Move) {
  Object Out;
  Out.set("id", Move.Id.str());
  Out.set("status", statusName(Move.Status));
  Out.set("from", Move.Plan.From.str());
  Out.set("to", Move.Plan.To.str());
  Out.set("share_permille", Move.Share.value());
  Out.set("steps_taken", Move.StepsTaken);
  Out.set("steps", Move.Plan.Steps.size());
  Out.set("finish_by_ms", Move.Plan.FinishBy.value());
  Out.set("reason", Move.Reason);
  Out.set("evidence", Move.Evidence);
  return Out;
}

Array movesOf(const config::ConfigState &State) {
  Array Out;
  for (const auto &Entry : State.Moves.Running)
    Out.add(moveOf(Entry.second));
  const auto &Ended = State.Moves.Ended;
  const std::size_t Shown = std::min(Ended.size(), MaxEndedShown);
  for (std::size_t I = 0; I < Shown; ++I)
    Out.add(moveOf(Ended[Ended.size() - 1 - I]));
  return Out;
}

Array membersOf(const std::vector<Member> &Members) {
  std::map<std::string, std::map<std::string, std::int64_t>> Counts;
  for (const Member &Each : Members)
    ++Counts[Each.At.RegionName.str() + "/" + Each.At.Zone.str()]
            [std::string(toString(Each.State))];
  Array Out;
  for (const auto &[Location, States] : Counts) {
    Object Row;
    Row.set("place", Location);
    Object ByState;
    for (const auto &[State, Count] : States)
      ByState.set(State, Count);
    Row.set("states", ByState);
    Out.add(Row);
  }
  return Out;
}

Object distributionOf(const metrics::Distribution &Values) {
  Object Out;
  Out.set("mean", Values.Mean);
  Out.set("p50", Values.Median);
  Out.set("p90", Values.P90);
  Out.set("p99", Values.P99);
  Out.set("max", Values.Max);
  return Out;
}

Array quantilesOf(const std::vector<metrics::QuantileRow> &Rows) {
  Array Out;
  for (const metrics::QuantileRow &Row : Rows) {
    Object Each;
    Each.set("caller", Row.Caller.str());
    Each.set("class", std::string(toString(Row.Class)));
    Each.set("hop", Row.At == metrics::Hop::Entry ? "entry" : "last-hop");
    Each.set("count", Row.Latency.Count);
    Each.set("latency_us", distributionOf(Row.Latency));
    Each.set("queue_us", distributionOf(Row.QueueTime));
    Each.set("request_bytes", distributionOf(Row.RequestSize));
    Each.set("response_bytes", distributionOf(Row.ResponseSize));
    Out.add(Each);
  }
  return Out;
}

Object refusalsOf(const refusallog::RefusalStatus &Status) {
  Array Totals;
  for (const refusallog::ReasonTotal &Each : Status.Totals()) {
    Object Row;
    Row.set("reason", std::string(toString(Each.Reason)));
    Row.set("executed", std::string(toString(Each.ExecutionStatus)));
    Row.set("count", Each.Count);
    Totals.add(Row);
  }
  Object Out;
  Out.set("unshipped", Status.Unshipped());
  Out.set("totals", Totals);
  return Out;
}

Array stoppedOf(const moves::StoppedMoveSet &StoppedMoves) {
  Array Out;
  for (const MoveId &Each : StoppedMoves.Stopped)
    Out.add(Each.str());
  return Out;
}

} // namespace

std::string writeStatus(const StatusServices &From, WallTime Now) {
  Object Out(Poco::JSON_PRESERVE_KEY_ORDER);
  addNode(Out, From);
  if (const auto State = From.Config ? From.Config->load() : nullptr) {
    Out.set("config", configOf(*State, Now));
    Out.set("documents", documentsOf(*State));
    Out.set("moves", movesOf(*State));
  }
  if (const auto Members = From.Members ? From.Members->load() : nullptr)
    Out.set("members", membersOf(*Members));
  if (From.Drain)
    Out.set("requests_in_progress", From.Drain->InProgress());
  if (const auto StoppedMoves =
          From.StoppedMoves ? From.StoppedMoves->load() : nullptr)
    Out.set("stopped_moves", stoppedOf(*StoppedMoves));
  if (From.Refusals)
    Out.set("refusals", refusalsOf(*From.Refusals));
  if (From.Metrics)
    Out.set("quantiles", quantilesOf(From.Metrics->Quantiles()));
  std::ostringstream Text;
  Out.stringify(Text, 1);
  return Text.str();
}

} // namespace lycheethread::admin
