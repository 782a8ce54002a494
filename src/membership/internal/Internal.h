#ifndef LYCHEETHREAD_MEMBERSHIP_INTERNAL_INTERNAL_H
#define LYCHEETHREAD_MEMBERSHIP_INTERNAL_INTERNAL_H

#include "membership/Membership.h"

namespace lycheethread::membership {

/// Whether the member has left or is dead.
inline bool hasEnded(const Update &Item) {
  return Item.MemberInfo.State == MemberState::Dead ||
         Item.MemberInfo.State == MemberState::Left;
}

/// Sends of one update: about 3 log2(n).
int transmitLimit(const MemberTable &Table);
std::uint64_t digestOf(const Update &Item);
void mergeUpdate(MemberTable &Table, const Update &New, SteadyTime Now,
                 Actions &Out);
/// Stores \p New as the newest news of a known member.
void replaceEntry(MemberTable &Table, Entry &Known, const Update &New,
                  SteadyTime Now);

/// Message with the sender's fields and piggybacked updates for \p To, which
/// may be null.
Message composeMessage(MemberTable &Table, MessageKind Kind, Sequence Number,
                       const Entry *To, bool CrossRegion, SteadyTime Now);
void send(Actions &Out, const Member &To, Message Content);
void mergeRegionAges(MemberTable &Table, const std::vector<RegionAge> &Ages,
                     SteadyTime Now);

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_INTERNAL_INTERNAL_H
