#ifndef LYCHEETHREAD_MEMBERSHIP_MEMBERSHIP_H
#define LYCHEETHREAD_MEMBERSHIP_MEMBERSHIP_H

/// Public header of the membership library: the SWIM protocol as pure
/// functions, with indirect probes through other availability zones.

#include "membership/types/ContactList.h"
#include "membership/types/MemberTable.h"

namespace lycheethread::membership {

/// Returns a table that knows only \p Self. \p Seed seeds its random
/// number generator.
MemberTable makeMemberTable(const Member &Self, SteadyTime Now,
                            std::uint64_t Seed);

/// Runs the probes, suspicions and pushes that are due. Must be called about
/// every 50 ms.
Actions tick(MemberTable &Table, SteadyTime Now);

/// Handles a received message. \p Source is the endpoint that sent the
/// datagram; replies go there.
Actions handleMessage(MemberTable &Table, const Message &Received,
                      const Endpoint &Source, SteadyTime Now);

/// Merges the member list of another node. The changes are not pushed to other
/// members.
Actions mergeMembers(MemberTable &Table, const std::vector<Update> &Updates,
                     SteadyTime Now);

/// Merges the member list \p RemoteUpdates of a node that may belong to a
/// separate group. The changes are gossiped in this node's group, and the
/// members that \p RemoteUpdates lacks are sent to \p Remote.
Actions mergeForeignView(MemberTable &Table, const Endpoint &Remote,
                         const std::vector<Update> &RemoteUpdates,
                         SteadyTime Now);

/// Returns the contacts of a starting node: its seeds.
ContactList makeContactList(const std::vector<Endpoint> &Seeds, SteadyTime Now);
/// Adds the node of a join record to the contacts unless it is known.
void onJoinRecord(ContactList &List, const MemberTable &Table,
                  const Member &Joined, SteadyTime Now);
/// Returns the endpoint whose member list should be fetched now, if any: a seed
/// that is not a live member, or a node known only from a join record.
std::optional<Endpoint> nextContact(ContactList &List, MemberTable &Table,
                                    SteadyTime Now);
/// Marks the contact at \p From as answered.
void onContactReply(ContactList &List, const Endpoint &From, SteadyTime Now);

/// Returns the state to announce, given the state that other modules of the
/// node requested, if any. A node that does not serve a configuration yet is
/// never announced as ready.
MemberState stateToAnnounce(bool Serving, std::optional<MemberState> Requested);

/// Changes the announced state of this node. Raises its incarnation, so that
/// the update overrides every suspicion.
Actions announce(MemberTable &Table, MemberState State, SteadyTime Now);

/// Returns all known members and this node in the form that mergeMembers takes.
std::vector<Update> allUpdates(const MemberTable &Table);

/// Returns this node and the members that have not left or died. Suspected
/// members and members of an unreachable region have the state Suspect, unless
/// they are draining.
std::vector<Member> visibleMembers(const MemberTable &Table, SteadyTime Now);

/// Returns whether this node's region has had no contact with \p In for
/// RegionTimeout.
bool isUnreachable(const MemberTable &Table, const Region &In, SteadyTime Now);

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_MEMBERSHIP_H
