#include "sidecar/internal/OutcomeRecorder.h"

namespace lycheethread::sidecar {

mesh::RouteEvidence &OutcomeRecorder::itemOf(Offset Order,
                                             const RouteName &Route) {
  mesh::RouteEvidence &Item = Items_[{Order, Route}];
  Item.Order = Order;
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

std::vector<mesh::RouteEvidence> OutcomeRecorder::evidence(Offset Order) const {
  std::vector<mesh::RouteEvidence> All;
  for (const auto &[Key, Item] : Items_)
    if (Key.first == Order)
      All.push_back(Item);
  return All;
}

void OutcomeRecorder::moveOrder(Offset From, Offset To) {
  for (mesh::RouteEvidence &Item : evidence(From)) {
    Items_.erase({From, Item.Route});
    Item.Order = To;
    Items_[{To, Item.Route}] = Item;
  }
}

} // namespace lycheethread::sidecar
