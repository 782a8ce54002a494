#ifndef LYCHEETHREAD_MEMBERSHIP_INTERNAL_INTERNAL_H
#define LYCHEETHREAD_MEMBERSHIP_INTERNAL_INTERNAL_H

#include "membership/Membership.h"

namespace lycheethread::membership {

/// Returns whether the member has left or is dead.
inline bool hasEnded(const Update &Item) {
  return Item.MemberInfo.State == MemberState::Dead ||
         Item.MemberInfo.State == MemberState::Left;
}

/// Returns how often one update is sent: about 3 log2(n) times, so that gossip
/// reaches all n members with high probability.
int transmitLimit(const MemberTable &Table);
/// Returns the contribution of a member to the digest of its region.
std::uint64_t digestOf(const Update &Item);
/// Applies \p New if it overrides the known state of the member.
void mergeUpdate(MemberTable &Table, const Update &New, SteadyTime Now,
                 Actions &Out);
/// Stores \p New as the latest update of a known member.
void replaceEntry(MemberTable &Table, MemberEntry &Known, const Update &New,
                  SteadyTime Now);

/// Returns a message with the fields of this node and piggybacked updates for
/// \p To, which may be null.
Message composeMessage(MemberTable &Table, MessageKind Kind, Sequence Number,
                       const MemberEntry *To, bool CrossRegion, SteadyTime Now);
void send(Actions &Out, const Member &To, Message Content);
/// Applies the contact times that another node of this region reported.
void mergeRegionAges(MemberTable &Table, const std::vector<RegionAge> &Ages,
                     SteadyTime Now);

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_INTERNAL_INTERNAL_H
