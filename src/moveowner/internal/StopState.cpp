#include "moveowner/internal/StopState.h"

#include <algorithm>

namespace lycheethread::moveowner {

namespace {

std::vector<RouteOutcomes>
outcomesOf(const std::vector<proxy::ServiceOutcomes> &Seen,
           const ServiceName &Service) {
  std::vector<RouteOutcomes> Result;
  for (const proxy::ServiceOutcomes &Each : Seen)
    if (Each.Service == Service)
      Result.insert(Result.end(), Each.Routes.begin(), Each.Routes.end());
  return Result;
}

void dropEnded(StopState &Stops, const moves::MoveTable &Table) {
  for (auto It = Stops.EntryByMove.begin(); It != Stops.EntryByMove.end();)
    It = Table.Running.count(It->first) == 0 ? Stops.EntryByMove.erase(It)
                                             : std::next(It);
  for (auto It = Stops.Stopped.begin(); It != Stops.Stopped.end();)
    It =
        Table.Running.count(*It) == 0 ? Stops.Stopped.erase(It) : std::next(It);
}

EntryEvidence &findOrAddEvidence(StopState &Stops, const moves::Move &Item,
                                 const ServiceDocument &Document) {
  const auto Found = Stops.EntryByMove.find(Item.Id);
  if (Found != Stops.EntryByMove.end())
    return Found->second;
  EntryEvidence &Added = Stops.EntryByMove[Item.Id];
  Added.Analysis = moves::makeEntryAnalysis(Item, Document);
  return Added;
}

bool mustStop(EntryEvidence &Evidence, const moves::Move &Item,
              const moves::TrafficSplit &Split,
              const std::vector<RouteOutcomes> &Seen, SteadyTime Now) {
  moves::OutcomeReport Report;
  Report.Routes = Seen;
  moves::addOutcomes(Evidence.Analysis, Report, Now);
  const bool FailsRepeatedly =
      moves::addEntryOutcomes(Evidence.FailureRun, Item, Seen);
  return moves::evaluateCanary(Evidence.Analysis, Item, Split, Now)
             .IsNewVersionBad ||
         FailsRepeatedly;
}

} // namespace

bool addStopRumour(StopState &Stops, const MoveId &Id) {
  if (hasStopRumour(Stops, Id))
    return false;
  Stops.RumouredStops.push_back(Id);
  if (Stops.RumouredStops.size() > MaxRumouredStops)
    Stops.RumouredStops.pop_front();
  return true;
}

bool hasStopRumour(const StopState &Stops, const MoveId &Id) {
  return std::find(Stops.RumouredStops.begin(), Stops.RumouredStops.end(),
                   Id) != Stops.RumouredStops.end();
}

std::vector<MoveId>
evaluateEntryOutcomes(StopState &Stops, const config::ConfigState &State,
                      const std::vector<proxy::ServiceOutcomes> &Seen,
                      SteadyTime Now) {
  std::vector<MoveId> Stopped;
  dropEnded(Stops, State.Moves);
  for (const auto &[Id, Item] : State.Moves.Running) {
    const auto Accepted = State.Documents.find(Item.Service);
    if (Accepted == State.Documents.end() || Stops.Stopped.count(Id) != 0)
      continue;
    const ServiceDocument &Document = Accepted->second.Document;
    const auto Split =
        moves::trafficSplitOf(State.Moves, Document, Item.Plan.Group);
    EntryEvidence &Evidence = findOrAddEvidence(Stops, Item, Document);
    if (!mustStop(Evidence, Item, Split, outcomesOf(Seen, Item.Service), Now))
      continue;
    Stops.Stopped.insert(Id);
    Stopped.push_back(Id);
  }
  return Stopped;
}

moves::StoppedMoveSet stoppedMovesOf(const StopState &Stops,
                                     const config::ConfigState &State,
                                     WallTime Now) {
  moves::StoppedMoveSet Result;
  for (const auto &[Id, Item] : State.Moves.Running)
    if (Stops.Stopped.count(Id) != 0 || hasStopRumour(Stops, Id) ||
        moves::pastDeadline(Item, Now))
      Result.Stopped.insert(Id);
  return Result;
}

} // namespace lycheethread::moveowner
