#include "refusallog/internal/CollectorOrder.h"

#include "distribution/Distribution.h"

#include <map>

namespace lycheethread::refusallog {

std::vector<Member> collectorOrder(const std::vector<Member> &Members,
                                   const Location &At) {
  std::map<NodeId, const Member *> Ready;
  std::vector<NodeId> Ids;
  for (const Member &Each : Members)
    if (Each.State == MemberState::Ready &&
        Each.At.RegionName == At.RegionName && Each.At.Zone == At.Zone &&
        Ready.emplace(Each.Id, &Each).second)
      Ids.push_back(Each.Id);
  std::vector<Member> Ordered;
  for (const NodeId &Id : distribution::rendezvousOrder(
           "refusals/" + At.Zone.str(), std::move(Ids)))
    Ordered.push_back(*Ready.at(Id));
  return Ordered;
}

} // namespace lycheethread::refusallog
