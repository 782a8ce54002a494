#include "quota/Quota.h"

#include <algorithm>

namespace lycheethread::quota {

namespace {

/// A node that has not been heard of for longer is not asked. Nodes of the
/// other region are at times heard of seconds late, so a shorter time would
/// make entries disagree on the owner while it lives.
constexpr Milliseconds MaxSilence{15000};

} // namespace

void updateMembers(OwnerMembers &Members,
                   const std::vector<const NodeId *> &Ids) {
  const bool IsSame = std::equal(
      Ids.begin(), Ids.end(), Members.Ids.begin(), Members.Ids.end(),
      [](const NodeId *Left, const NodeId &Right) { return *Left == Right; });
  if (IsSame)
    return;
  Members.Ids.clear();
  for (const NodeId *Id : Ids)
    Members.Ids.push_back(*Id);
  ++Members.Version;
}

bool endsChoice(const OwnerCandidate &Item, const QuotaTimes &Times) {
  return Item.IsSelf ||
         (!Item.IsUnresponsive &&
          Item.SilentFor < std::min(Times.HeardWindow, MaxSilence));
}

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
