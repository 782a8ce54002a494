#ifndef LYCHEETHREAD_MEMBERSHIP_TYPES_CONTACTLIST_H
#define LYCHEETHREAD_MEMBERSHIP_TYPES_CONTACTLIST_H

#include "model/Model.h"

#include <cstddef>
#include <vector>

namespace lycheethread::membership {

/// At most one endpoint outside the membership is contacted in this time.
inline constexpr Milliseconds ContactInterval{1000};
/// A starting node asks its seeds itself first.
inline constexpr Milliseconds InitialContactDelay{2000};
inline constexpr Milliseconds MinContactDelay{1000};
inline constexpr Milliseconds MaxContactDelay{32000};
/// Pause after a seed that answered and still is no member under the endpoint
/// of the settings, as when the settings name it by another address.
inline constexpr Milliseconds RepliedContactDelay{600000};
/// Attempts at the endpoint of a join record; most such nodes are gone.
inline constexpr int JoinContactAttempts = 3;
inline constexpr std::size_t MaxContacts = 256;
/// Datagrams in which a node tells its own view to a group that it met.
inline constexpr std::size_t MaxForeignViewDatagrams = 16;

/// An endpoint that may belong to a node outside the own membership.
struct Contact {
  Endpoint At;
  /// Seeds stay in the book for as long as the node lives.
  bool IsSeed = false;
  /// From the join record; empty for a seed.
  NodeId MemberId;
  Incarnation IncarnationNumber;
  int Attempts = 0;
  SteadyTime NextAt;
};

/// Whom a node may contact to find members that it does not know.
struct ContactList {
  std::vector<Contact> Contacts;
  SteadyTime NextAt;
};

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_TYPES_CONTACTLIST_H
