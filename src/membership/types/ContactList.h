#ifndef LYCHEETHREAD_MEMBERSHIP_TYPES_CONTACTLIST_H
#define LYCHEETHREAD_MEMBERSHIP_TYPES_CONTACTLIST_H

#include "model/Model.h"

#include <cstddef>
#include <vector>

namespace lycheethread::membership {

/// At most one endpoint outside the membership is contacted per interval.
inline constexpr Milliseconds ContactInterval{1000};
/// The startup code queries the seeds before this time.
inline constexpr Milliseconds InitialContactDelay{2000};
inline constexpr Milliseconds MinContactDelay{1000};
inline constexpr Milliseconds MaxContactDelay{32000};
/// Delay after a seed that replied but is not a member under the configured
/// endpoint, for example because the settings give another of its addresses.
inline constexpr Milliseconds RepliedContactDelay{600000};
/// Attempts per join record. Few are enough, because most unknown nodes in join
/// records no longer run.
inline constexpr int JoinContactAttempts = 3;
inline constexpr std::size_t MaxContacts = 256;
/// Limits the datagrams that send this node's member list to another group.
inline constexpr std::size_t MaxForeignViewDatagrams = 16;

/// An endpoint that may belong to a node outside this node's membership.
struct Contact {
  Endpoint At;
  /// Seeds are never removed while the node runs.
  bool IsSeed = false;
  /// Id from the join record; empty for a seed.
  NodeId Id;
  Incarnation IncarnationNumber;
  int Attempts = 0;
  SteadyTime NextAt;
};

/// Endpoints that a node may contact to find unknown members.
struct ContactList {
  std::vector<Contact> Contacts;
  SteadyTime NextAt;
};

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_TYPES_CONTACTLIST_H
