#include "moveowner/internal/Candidate.h"

#include "distribution/Distribution.h"
#include "moves/Moves.h"

#include <algorithm>

namespace lycheethread::moveowner {

std::optional<Member> firstCandidate(const std::vector<Member> &Members,
                                     const ServiceName &Service) {
  std::vector<NodeId> Ready;
  for (const Member &Item : Members)
    if (Item.Service == Service && Item.State == MemberState::Ready)
      Ready.push_back(Item.Id);
  if (Ready.empty())
    return std::nullopt;
  const NodeId First =
      distribution::rendezvousOrder(moves::leaseSubject(Service).str(), Ready)
          .front();
  return *std::find_if(Members.begin(), Members.end(),
                       [&](const Member &Item) { return Item.Id == First; });
}

} // namespace lycheethread::moveowner
