#ifndef LYCHEETHREAD_DISTRIBUTION_TYPES_DISTRIBUTIONSTATE_H
#define LYCHEETHREAD_DISTRIBUTION_TYPES_DISTRIBUTIONSTATE_H

#include "model/Model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheethread::distribution {

inline constexpr Milliseconds HeartbeatInterval{1000};
/// A heartbeat reaches about 98 in 100 members. After a rise of the position it
/// is repeated, so that the others need not wait for the next regular one.
inline constexpr Milliseconds HeartbeatRepeatInterval{150};
inline constexpr int Repeats = 2;
/// Silence after which rank 0's duty passes on; each rank adds RankDelay.
inline constexpr Milliseconds HeartbeatTimeout{2500};
inline constexpr Milliseconds RankDelay{500};
/// Ranks that try the log while the reader is alive but cannot reach it. It
/// keeps a log outage from turning into reads by the whole region.
inline constexpr std::size_t MaxOutageReaders = 3;
inline constexpr std::size_t ForwardFanout = 4;
inline constexpr std::size_t RequiredReplicas = 2;
inline constexpr std::size_t SnapshotSources = 3;
inline constexpr Milliseconds MinBackoff{50};
inline constexpr Milliseconds MaxBackoff{5000};
inline constexpr int MaxConcurrentSnapshots = 4;
inline constexpr Milliseconds BusyRetryDelay{250};
/// Time that held records wait for word of their commitment before the holder
/// looks for holders itself.
inline constexpr Milliseconds OrphanedRecordDelay{2000};
/// Time that a starting node listens for heartbeats while the log is silent.
inline constexpr Milliseconds HeartbeatListenTime{2500};
inline constexpr std::int64_t CheckpointRecords = 500;
inline constexpr std::int64_t CheckpointRecordsPerRank = 100;
inline constexpr Milliseconds CheckpointInterval{600000};
inline constexpr Milliseconds CheckpointIntervalPerRank{120000};

/// Sign of life of a region's log reader, forwarded from node to node.
struct FeedHeartbeat {
  Region RegionName;
  NodeId Reader;
  Incarnation IncarnationNumber;
  Sequence Number;
  /// Position in force at the reader.
  Offset Head;
  /// Whether the reader's last log read succeeded.
  bool LogFresh = false;
};

/// Newest heartbeat seen of one reader.
struct SeenHeartbeat {
  Incarnation IncarnationNumber;
  Sequence Number;
  Offset Head;
};

/// What is known before the node may serve.
struct StartupState {
  SteadyTime StartedAt;
  /// Head of the log at the first successful contact.
  std::optional<Offset> LogHead;
  /// Serving peers that answered, and when the first did.
  std::set<NodeId> Answered;
  SteadyTime FirstAnswerAt;
  /// Peers that answered but do not serve themselves.
  std::set<NodeId> Starting;
  int SeedsTried = 0;
  bool HeardHeartbeat = false;
  /// Set when the log is trimmed beyond every complete checkpoint.
  std::string Refusal;
};

/// State of one node's part in the distribution of the control stream.
struct DistributionState {
  NodeId Self;
  Incarnation IncarnationNumber;
  Location At;
  /// First offset that is not in force; never decreases.
  Offset Position;
  /// First offset that is not held; at least Position.
  Offset Held;
  SteadyTime StoredSince;
  /// Highest position that any source has named.
  Offset Named;
  /// Highest position known to be in force at another node.
  Offset CommittedElsewhere;
  bool Serving = false;

  SteadyTime LastHeartbeat;
  SteadyTime LastFreshHeartbeat;
  /// Reader of the last heartbeat and its rank then.
  std::map<NodeId, SeenHeartbeat> Seen;
  bool LogFresh = false;
  Sequence SentNumber;
  SteadyTime SentAt;
  Offset SentHead;
  int HeartbeatRepeatsLeft = 0;

  int PullFailures = 0;
  SteadyTime NextPullAt;
  /// Member that named the newest position, asked first.
  NodeId PreferredPullSource;
  StartupState Start;
  std::uint64_t Seed = 1;
};

/// What to do with a received heartbeat.
struct HeartbeatResult {
  bool First = false;
  /// Its head is above the own position: pull, then forward.
  bool PullFirst = false;
};

/// Whether the node may serve, and if not, what it waits for.
struct Readiness {
  bool MayServe = false;
  std::string WaitingFor;
};

/// Snapshots being served at the moment.
struct SnapshotSlots {
  int Serving = 0;
};

/// Answer to a request for a snapshot; RetryAfter is set when it is busy.
struct SnapshotAdmission {
  bool Admitted = false;
  Milliseconds RetryAfter{0};
};

/// What has happened since the last checkpoint of the control stream.
struct CheckpointProgress {
  Offset Position;
  /// Records folded since then, without checkpoint notices.
  std::int64_t Records = 0;
  SteadyTime At;
};

} // namespace lycheethread::distribution

#endif // LYCHEETHREAD_DISTRIBUTION_TYPES_DISTRIBUTIONSTATE_H
