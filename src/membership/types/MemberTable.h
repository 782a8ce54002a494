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
/// Time from the first ping to the suspicion.
inline constexpr Milliseconds ProbeTimeout{1000};
inline constexpr Milliseconds SuspicionTimeout{3000};
inline constexpr std::size_t IndirectProbes = 3;
inline constexpr std::size_t BridgesPerRegion = 3;
inline constexpr std::size_t MaxUpdates = 8;
/// Space for updates in a datagram of at most 1,200 bytes.
inline constexpr std::size_t UpdateBytes = 1000;
inline constexpr int CrossRegionSends = 4;
/// Number of members to which new updates are pushed at once.
inline constexpr std::size_t PushCopies = 4;
/// Bounds the control traffic of a mass restart: updates beyond this rate are
/// only piggybacked.
inline constexpr int PushesPerSecond = 20;
/// Bounds the memory that messages of peers can use; further members are
/// ignored.
inline constexpr std::size_t MaxMembers = 4096;
inline constexpr std::size_t MaxTombstones = 16384;
inline constexpr Milliseconds EndedMemberRetention{600000};
inline constexpr Milliseconds TombstoneRetention{86400000};
/// Members of a partitioned availability zone are declared dead after this
/// time.
inline constexpr Milliseconds MaxZoneSuspicion{600000};
inline constexpr Milliseconds ReconnectInterval{10000};
inline constexpr Milliseconds RegionTimeout{15000};
/// Time that two nodes' digests of a region may differ before they exchange the
/// full member lists.
inline constexpr Milliseconds DigestMismatchTimeout{6000};
inline constexpr Milliseconds SyncInterval{10000};
inline constexpr std::int64_t MaxIncarnation = std::int64_t{1} << 60;

/// The last update about a member and how often it still has to be sent.
struct MemberEntry {
  Update Last;
  SteadyTime ChangedAt;
  int SendsLeft = 0;
  int CrossSendsLeft = 0;
};

/// A probe of this node that awaits its reply.
struct Probe {
  NodeId Target;
  SteadyTime SentAt;
  bool Indirect = false;
  /// Set for a probe of another region, which only shows whether the region can
  /// be reached.
  bool CrossRegion = false;
};

/// A ping that this node sent on behalf of another member.
struct Relay {
  Endpoint Origin;
  Sequence Number;
  SteadyTime SentAt;
};

/// Last incarnation of a removed member; updates up to it are ignored.
struct Tombstone {
  Incarnation IncarnationNumber;
  SteadyTime At;
};

struct RegionView {
  /// When a bridge of this node's region last got a reply from the region that
  /// this view describes.
  SteadyTime LastContact;
  /// XOR of the hashes of the live members as this node sees them.
  std::uint64_t Digest = 0;
  SteadyTime LastDigestMatch;
};

/// The membership state of one node.
struct MemberTable {
  Member Self;
  std::map<NodeId, MemberEntry> Others;
  std::map<NodeId, Tombstone> Tombstones;
  std::map<Region, RegionView> Regions;

  std::vector<NodeId> ProbeRound;
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
  /// Increases with each change that is visible to other modules.
  std::uint64_t Version = 0;
  std::uint64_t BridgeVersion = ~std::uint64_t{0};
  std::uint64_t Seed = 1;
};

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_TYPES_MEMBERTABLE_H
