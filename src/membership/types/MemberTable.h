#ifndef LYCHEETHREAD_MEMBERSHIP_TYPES_MEMBERTABLE_H
#define LYCHEETHREAD_MEMBERSHIP_TYPES_MEMBERTABLE_H

#include "membership/types/Message.h"
#include "model/Model.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lycheethread::membership {

inline constexpr Milliseconds ProbeInterval{1000};
inline constexpr Milliseconds PingTimeout{300};
/// From the first ping to the suspicion.
inline constexpr Milliseconds ProbeTimeout{1000};
inline constexpr Milliseconds SuspicionTimeout{3000};
inline constexpr std::size_t IndirectProbes = 3;
inline constexpr std::size_t BridgesPerRegion = 3;
inline constexpr std::size_t MaxUpdates = 8;
/// Part of a datagram of 1,200 bytes that updates may fill.
inline constexpr std::size_t UpdateBytes = 1000;
inline constexpr int CrossRegionSends = 4;
/// Copies of a node's own news that are pushed at once.
inline constexpr std::size_t PushCopies = 4;
/// Pushes are for single events. In a mass restart the rest goes piggybacked,
/// which bounds the control traffic.
inline constexpr int PushesPerSecond = 20;
/// Members beyond this are not taken in, whatever a peer sends.
inline constexpr std::size_t MaxMembers = 4096;
inline constexpr std::size_t MaxTombstones = 16384;
inline constexpr Milliseconds EndedMemberRetention{600000};
inline constexpr Milliseconds TombstoneRetention{86400000};
/// Longest time that members of a cut availability zone stay suspect.
inline constexpr Milliseconds LongestHold{600000};
inline constexpr Milliseconds ReconnectInterval{10000};
inline constexpr Milliseconds RegionTimeout{15000};
/// Time that two views of a region may differ before they are compared whole.
inline constexpr Milliseconds DigestMismatchTimeout{6000};
inline constexpr Milliseconds SyncInterval{10000};
inline constexpr std::int64_t MaxIncarnation = std::int64_t{1} << 60;

/// A member and what this node does about it.
struct Entry {
  Update Last;
  SteadyTime ChangedAt;
  int SendsLeft = 0;
  int CrossSendsLeft = 0;
};

/// A probe that this node started.
struct Probe {
  NodeId Target;
  SteadyTime SentAt;
  bool Indirect = false;
  /// Probes of another region only tell whether the region can be reached.
  bool CrossRegion = false;
};

/// A ping sent for another member.
struct Relay {
  Endpoint Origin;
  Sequence Number;
  SteadyTime SentAt;
};

/// Life of a member that is no longer listed; older news of it is ignored.
struct Tombstone {
  Incarnation IncarnationNumber;
  SteadyTime At;
};

struct RegionView {
  /// When a bridge of the own region last got an answer from there.
  SteadyTime LastContact;
  /// XOR of the hashes of the live members as this node sees them.
  std::uint64_t Digest = 0;
  SteadyTime LastDigestMatch;
};

/// What one node knows of all members.
struct MemberTable {
  Member Self;
  std::map<NodeId, Entry> Others;
  std::map<NodeId, Tombstone> Ended;
  std::map<Region, RegionView> Regions;

  std::vector<NodeId> Round;
  std::size_t NextProbeIndex = 0;
  std::map<Sequence, Probe> Probes;
  std::map<Sequence, Relay> Relays;
  Sequence LastNumber;
  SteadyTime NextProbeAt;
  SteadyTime NextReconnectAt;
  SteadyTime NextSyncAt;

  int SelfSendsLeft = 0;
  int SelfCrossSendsLeft = 0;
  std::deque<NodeId> PushQueue;
  int PushBudget = PushesPerSecond;
  SteadyTime PushBudgetSetAt;

  bool IsBridge = false;
  /// Rises with each change that others of the process may see.
  std::uint64_t Version = 0;
  std::uint64_t BridgeVersion = ~std::uint64_t{0};
  std::uint64_t Seed = 1;
};

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_TYPES_MEMBERTABLE_H
