#ifndef LYCHEETHREAD_MEMBERSHIP_MEMBERSHIP_H
#define LYCHEETHREAD_MEMBERSHIP_MEMBERSHIP_H

/// Public header of the membership library: SWIM with confirmation through
/// other availability zones, as pure functions.

#include "membership/types/ContactList.h"
#include "membership/types/MemberTable.h"

namespace lycheethread::membership {

MemberTable makeMemberTable(const Member &Self, SteadyTime Now,
                            std::uint64_t Seed);

/// Probes, suspicions and pushes that are due. To be called about every 50 ms.
Actions tick(MemberTable &Table, SteadyTime Now);

/// \p Source is the endpoint that the datagram came from; answers go there.
Actions handleMessage(MemberTable &Table, const Message &Received,
                      const Endpoint &Source, SteadyTime Now);

/// Merges another node's view.
Actions mergeMembers(MemberTable &Table, const std::vector<Update> &Updates,
                     SteadyTime Now);

/// Merges the view of a group that this node met outside the membership, as
/// news to both sides: it is spread here, and \p With is told the members that
/// \p Theirs lacks.
Actions meet(MemberTable &Table, const Endpoint &With,
             const std::vector<Update> &Theirs, SteadyTime Now);

ContactList makeContactList(const std::vector<Endpoint> &Seeds, SteadyTime Now);
/// Notes a join record of the log whose node may be unknown here.
void onJoinRecord(ContactList &Book, const MemberTable &Table,
                  const Member &Joined, SteadyTime Now);
/// Endpoint whose view of the members should be fetched now, if any: a seed
/// that is no live member, or a node that only a join record named.
std::optional<Endpoint> nextContact(ContactList &Book, MemberTable &Table,
                                    SteadyTime Now);
void onContactReply(ContactList &Book, const Endpoint &From, SteadyTime Now);

/// State to announce when the node's other parts asked for \p Asked, if they
/// did: a node that does not serve a configuration yet is never ready.
MemberState stateToAnnounce(bool Serving, std::optional<MemberState> Asked);

/// Announces another state of this node; raises its incarnation, so that the
/// news overrides every suspicion.
Actions announce(MemberTable &Table, MemberState State, SteadyTime Now);

/// The own view in the form that mergeMembers takes, with this node.
std::vector<Update> allUpdates(const MemberTable &Table);

/// Members with this node; suspects, and members of a region that cannot be
/// reached, have the state Suspect. Left and dead ones are not listed.
std::vector<Member> visibleMembers(const MemberTable &Table, SteadyTime Now);

bool isUnreachable(const MemberTable &Table, const Region &In, SteadyTime Now);

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_MEMBERSHIP_H
