#include "moves/internal/MoveLookup.h"

#include <algorithm>
#include <tuple>

namespace lycheethread::moves {

bool samePlan(const MovePlan &L, const MovePlan &R) {
  return std::tie(L.Group, L.From, L.To, L.FinishBy, L.Steps, L.StepDuration) ==
         std::tie(R.Group, R.From, R.To, R.FinishBy, R.Steps, R.StepDuration);
}

const Move *findRunning(const MoveTable &Table, const ServiceName &Service,
                        const GroupName &Group) {
  for (const auto &[Id, Item] : Table.Running)
    if (Item.Service == Service && Item.Plan.Group == Group)
      return &Item;
  return nullptr;
}

const Move *findLastEnded(const MoveTable &Table, const ServiceName &Service,
                          const GroupName &Group) {
  const auto Found = std::find_if(
      Table.Ended.rbegin(), Table.Ended.rend(), [&](const Move &Item) {
        return Item.Service == Service && Item.Plan.Group == Group;
      });
  return Found == Table.Ended.rend() ? nullptr : &*Found;
}

bool isKnownPlan(const MoveTable &Table, const ServiceName &Service,
                 const MovePlan &Plan) {
  const Move *Running = findRunning(Table, Service, Plan.Group);
  if (Running != nullptr)
    return samePlan(Running->Plan, Plan);
  const Move *Ended = findLastEnded(Table, Service, Plan.Group);
  return Ended != nullptr && samePlan(Ended->Plan, Plan);
}

} // namespace lycheethread::moves
