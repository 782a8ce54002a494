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
/// A heartbeat reaches about 98 % of the members. After an increase of the
/// position it is repeated, so that the others need not wait for the next
/// regular one.
inline constexpr Milliseconds HeartbeatRepeatInterval{150};
inline constexpr int HeartbeatRepeats = 2;
/// Time without a heartbeat after which the next rank reads the log. Each rank
/// adds RankDelay.
inline constexpr Milliseconds HeartbeatTimeout{2500};
inline constexpr Milliseconds RankDelay{500};
/// Number of ranks that try to read the log while the reader is alive but
/// cannot reach it. The limit keeps the whole region from polling the log
/// during an outage.
inline constexpr std::size_t MaxOutageReaders = 3;
inline constexpr std::size_t ForwardFanout = 4;
inline constexpr std::size_t RequiredReplicas = 2;
inline constexpr std::size_t SnapshotSources = 3;
inline constexpr Milliseconds MinBackoff{50};
inline constexpr Milliseconds MaxBackoff{5000};
inline constexpr int MaxConcurrentSnapshots = 4;
inline constexpr Milliseconds BusyRetryDelay{250};
/// Time after which a node that stores uncommitted records tries to commit them
/// itself, because the reader may have failed.
inline constexpr Milliseconds OrphanedRecordDelay{2000};
/// Time that a starting node waits for a heartbeat if the log does not answer.
inline constexpr Milliseconds HeartbeatListenTime{2500};
inline constexpr std::int64_t CheckpointRecords = 500;
inline constexpr std::int64_t CheckpointRecordsPerRank = 100;
inline constexpr Milliseconds CheckpointInterval{600000};
inline constexpr Milliseconds CheckpointIntervalPerRank{120000};

/// Heartbeat of the log reader of a region, forwarded from node to node.
struct FeedHeartbeat {
  Region RegionName;
  NodeId Reader;
  Incarnation IncarnationNumber;
  Sequence Number;
  /// Committed position of the reader.
  Offset Head;
  /// Whether the last read of the log by the reader succeeded.
  bool LogFresh = false;
};

/// The newest heartbeat received from one reader.
struct SeenHeartbeat {
  Incarnation IncarnationNumber;
  Sequence Number;
  Offset Head;
};

/// Progress of the startup, before the node may serve.
struct StartupState {
  SteadyTime StartedAt;
  /// Head of the log at the first successful contact.
  std::optional<Offset> LogHead;
  /// Serving peers that replied, and the time of the first reply.
  std::set<NodeId> Answered;
  SteadyTime FirstAnswerAt;
  /// Peers that replied but do not serve yet.
  std::set<NodeId> Starting;
  int SeedsTried = 0;
  bool HeardHeartbeat = false;
  /// Describes the missing checkpoint if the log is trimmed beyond every
  /// complete one; empty otherwise.
  std::string MissingCheckpoint;
};

/// State of one node in the distribution of the control stream.
struct DistributionState {
  NodeId Self;
  Incarnation IncarnationNumber;
  Location At;
  /// First offset that is not committed; never decreases.
  Offset Position;
  /// First offset that is not stored on this node; at least Position.
  Offset Stored;
  SteadyTime StoredSince;
  /// Highest position that any source reported.
  Offset HighestKnown;
  /// Highest position known to be committed on another node.
  Offset CommittedElsewhere;
  bool Serving = false;

  SteadyTime LastHeartbeat;
  SteadyTime LastFreshHeartbeat;
  /// Newest heartbeat of each reader; duplicates are not forwarded again.
  std::map<NodeId, SeenHeartbeat> SeenHeartbeats;
  bool LogFresh = false;
  Sequence SentNumber;
  SteadyTime SentAt;
  Offset SentHead;
  int HeartbeatRepeatsLeft = 0;

  int PullFailures = 0;
  SteadyTime NextPullAt;
  /// Member that reported the highest position; pulls try it first.
  NodeId PreferredPullSource;
  StartupState Start;
  std::uint64_t Seed = 1;
};

/// Tells how to handle a received heartbeat.
struct HeartbeatResult {
  /// Whether the heartbeat is no duplicate and must be forwarded.
  bool IsNew = false;
  /// Set if its head is above the position of this node, which must then pull
  /// the records before it forwards the heartbeat.
  bool PullFirst = false;
};

/// Whether the node may serve and, if not, what it waits for.
struct Readiness {
  bool MayServe = false;
  std::string WaitingFor;
};

/// Number of snapshots that are being served.
struct SnapshotSlots {
  int Serving = 0;
};

/// Admission of a snapshot request. RetryAfter is set if all slots are taken.
struct SnapshotAdmission {
  bool Admitted = false;
  Milliseconds RetryAfter{0};
};

/// Progress of the control stream since its last checkpoint.
struct CheckpointProgress {
  Offset Position;
  /// Records applied since then, without checkpoint notices.
  std::int64_t Records = 0;
  SteadyTime At;
};

} // namespace lycheethread::distribution

#endif // LYCHEETHREAD_DISTRIBUTION_TYPES_DISTRIBUTIONSTATE_H
