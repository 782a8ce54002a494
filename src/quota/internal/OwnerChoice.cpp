#include "quota/Quota.h"

#include <algorithm>

namespace lycheethread::quota {

namespace {

/// A node that has not been heard of for longer is not asked. Nodes of the
/// other region are at times heard of seconds late, so a shorter time would
/// make entries disagree on the owner while it lives.
constexpr Milliseconds MaxSilence{15000};

} // namespace

NodeId chooseOwner(const std::vector<OwnerCandidate> &InOrder) {
  const auto Found = std::find_if(
      InOrder.begin(), InOrder.end(), [](const OwnerCandidate &Item) {
        return Item.IsSelf ||
               (!Item.IsUnresponsive && Item.SilentFor < MaxSilence);
      });
  return Found == InOrder.end() ? NodeId() : Found->Id;
}

// An entry asks the next node only after the one before it has not answered, so
// a node that has not heard of that one either takes its place.
bool mayOwn(const std::vector<OwnerCandidate> &InOrder,
            const QuotaTimes &Times) {
  for (const OwnerCandidate &Item : InOrder) {
    if (Item.IsSelf)
      return true;
    if (Item.SilentFor < Times.HeardWindow)
      return false;
  }
  return false;
}

} // namespace lycheethread::quota
