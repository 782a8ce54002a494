#include "moveowner/internal/StopState.h"

#include <algorithm>

namespace lycheethread::moveowner {

namespace {

std::vector<RouteOutcomes>
outcomesOf(const std::vector<proxy::ServiceOutcomes> &Seen,
           const ServiceName &Service) {
  std::vector<RouteOutcomes> Result;
  for (const proxy::ServiceOutcomes &One : Seen)
    if (One.Service == Service)
      Result.insert(Result.end(), One.Routes.begin(), One.Routes.end());
  return Result;
}

void dropEnded(StopState &Book, const moves::MoveTable &Table) {
  for (auto It = Book.Entry.begin(); It != Book.Entry.end();)
    It = Table.Running.count(It->first) == 0 ? Book.Entry.erase(It)
                                             : std::next(It);
  for (auto It = Book.Stopped.begin(); It != Book.Stopped.end();)
    It = Table.Running.count(*It) == 0 ? Book.Stopped.erase(It) : std::next(It);
}

EntryEvidence &evidenceOn(StopState &Book, const moves::Move &Item,
                          const ServiceDocument &Document) {
  const auto Found = Book.Entry.find(Item.Id);
  if (Found != Book.Entry.end())
    return Found->second;
  EntryEvidence &Added = Book.Entry[Item.Id];
  Added.Tested = moves::makeEntryAnalysis(Item, Document);
  return Added;
}

bool stops(EntryEvidence &Evidence, const moves::Move &Item,
           const moves::TrafficSplit &Share,
           const std::vector<RouteOutcomes> &Seen, SteadyTime Now) {
  moves::OutcomeReport Report;
  Report.Routes = Seen;
  moves::addOutcomes(Evidence.Tested, Report, Now);
  const bool InARow = moves::addEntryOutcomes(Evidence.Run, Item, Seen);
  return moves::evaluateCanary(Evidence.Tested, Item, Share, Now).FoundBad ||
         InARow;
}

} // namespace

bool addStopRumour(StopState &Book, const MoveId &Id) {
  if (hasStopRumour(Book, Id))
    return false;
  Book.Rumoured.push_back(Id);
  if (Book.Rumoured.size() > MaxRumouredStops)
    Book.Rumoured.pop_front();
  return true;
}

bool hasStopRumour(const StopState &Book, const MoveId &Id) {
  return std::find(Book.Rumoured.begin(), Book.Rumoured.end(), Id) !=
         Book.Rumoured.end();
}

std::vector<MoveId> addEntry(StopState &Book, const config::ConfigState &State,
                             const std::vector<proxy::ServiceOutcomes> &Seen,
                             SteadyTime Now) {
  std::vector<MoveId> Stopped;
  dropEnded(Book, State.Moves);
  for (const auto &[Id, Item] : State.Moves.Running) {
    const auto Accepted = State.Documents.find(Item.Service);
    if (Accepted == State.Documents.end() || Book.Stopped.count(Id) != 0)
      continue;
    const ServiceDocument &Document = Accepted->second.Document;
    const auto Share =
        moves::trafficSplitOf(State.Moves, Document, Item.Plan.Group);
    EntryEvidence &Evidence = evidenceOn(Book, Item, Document);
    if (!stops(Evidence, Item, Share, outcomesOf(Seen, Item.Service), Now))
      continue;
    Book.Stopped.insert(Id);
    Stopped.push_back(Id);
  }
  return Stopped;
}

moves::StoppedMoveSet stoppedMovesOf(const StopState &Book,
                                     const config::ConfigState &State,
                                     WallTime Now) {
  moves::StoppedMoveSet Result;
  for (const auto &[Id, Item] : State.Moves.Running)
    if (Book.Stopped.count(Id) != 0 || hasStopRumour(Book, Id) ||
        moves::pastDeadline(Item, Now))
      Result.Stopped.insert(Id);
  return Result;
}

} // namespace lycheethread::moveowner
