#include "sidecar/internal/OutcomeRecorder.h"

namespace lycheethread::sidecar {

mesh::RouteEvidence &OutcomeRecorder::itemOf(Offset Order,
                                             const RouteName &Route) {
  mesh::RouteEvidence &Item = Items_[{Order, Route}];
  Item.Route = Route;
  return Item;
}

void OutcomeRecorder::recordGood(Offset Order, const RouteName &Route,
                                 Milliseconds Took, bool Timed) {
  mesh::RouteEvidence &Item = itemOf(Order, Route);
  ++Item.Good;
  if (!Timed)
    return;
  ++Item.Timed;
  Item.TotalTime += Took;
}

void OutcomeRecorder::recordBad(Offset Order, const RouteName &Route) {
  ++itemOf(Order, Route).Bad;
}

mesh::EvidenceByRoute OutcomeRecorder::evidence(Offset Order) const {
  mesh::EvidenceByRoute All;
  for (const auto &[Key, Item] : Items_)
    if (Key.first == Order)
      All.emplace(Key.second, Item);
  return All;
}

void OutcomeRecorder::moveOrder(Offset From, Offset To) {
  for (const auto &[Route, Item] : evidence(From)) {
    Items_.erase({From, Route});
    Items_[{To, Route}] = Item;
  }
}

} // namespace lycheethread::sidecar
