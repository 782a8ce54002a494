#ifndef LYCHEETHREAD_MESH_TYPES_NODEREPORT_H
#define LYCHEETHREAD_MESH_TYPES_NODEREPORT_H

#include "mesh/types/MeshConfig.h"
#include "requests/Requests.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lycheethread::mesh {

using UpstreamId = StrongId<struct UpstreamIdTag>;

enum class UpstreamState {
  /// No upstream has registered, or it has missed too many check-ins.
  Unknown = 0,
  Ready = 1,
  Draining = 2,
  Gone = 3
};

/// One process of an upstream, as it registers with the node beside it.
struct Upstream {
  UpstreamId Id;
  /// Unix time in ms at which the process started, according to its own clock.
  /// A process with the same id or address and a later start time is a
  /// different upstream.
  std::int64_t StartedAtUnixMs = 0;
  ServiceName Service;
  VersionName Version;
  UpstreamState State = UpstreamState::Unknown;
  /// Number of requests that it runs concurrently.
  std::int32_t Capacity = 0;
  /// Remaining time of the cold phase after its start, in which it is slower.
  Milliseconds ColdRemaining{0};
};

/// Load of the last hop before an upstream.
struct LoadReport {
  std::int32_t Running = 0;
  std::int32_t Waiting = 0;
  /// Mean service time of the upstream; 0 when not known.
  Milliseconds ServiceTime{0};
  /// Time until the pending long bodies have been received.
  Milliseconds BodyWait{0};
  /// Requests a second that the upstream takes, and the time until its last hop
  /// may send one more; empty while the upstream states no limit.
  std::optional<double> LimitPerSecond = std::nullopt;
  Milliseconds PermitWait{0};
};

enum class RolloutState { Running = 0, Completed = 1, RolledBack = 2 };

/// What a node that judges a rollout has found so far.
struct Judgement {
  /// Time since it was found.
  Milliseconds Age{0};
  /// The furthest step in the plan of a rollout that may be taken when its time
  /// has come, from 0.
  std::int32_t StepLimit = 0;
  /// The old version keeps a share so that the two can be compared.
  bool IsComparing = false;
  /// The new version has passed all steps, so the rollout may complete.
  bool HasPassed = false;
};

/// State of a rollout as one node knows it.
struct RolloutReport {
  Offset Order;
  /// Time since any node first saw the order.
  Milliseconds Age{0};
  /// This node has found that the new version is bad.
  bool IsNewVersionBad = false;
  /// The state recorded in the store, as far as this node knows it.
  RolloutState State = RolloutState::Running;
  /// The newest judgement that this node knows.
  std::optional<Judgement> Judged = std::nullopt;
};

/// A request that was in progress when an upstream crashed.
struct CrashSuspectReport {
  requests::Fingerprint RequestFingerprint;
  requests::CrashId Crash;
  requests::SuspectWeight Weight = requests::SuspectWeight::NeverAnswered;
};

/// State that a node gossips about itself.
struct NodeReport {
  NodeId Id;
  Incarnation IncarnationNumber;
  /// Grows with each message of one incarnation.
  Sequence Number;
  /// Grows when more than the load has changed.
  Sequence State;
  Location At;
  Endpoint Hop;
  Endpoint Gossip;
  /// Place on the list of nodes, from 1; 0 while it is not known.
  Offset Place;
  /// The node serves callers and is not about to stop.
  bool Ready = false;
  bool Stopping = false;
  Upstream LocalUpstream;
  LoadReport Load;
  /// Offset up to which the operator's records are known, and the time since
  /// the store confirmed to any node that there were no later records; empty
  /// before the first confirmation.
  Offset OperatorPosition;
  std::optional<Milliseconds> ConfirmedAge;
  /// Records that the node keeps although the store has lost them.
  std::int32_t KeptRecords = 0;
  std::vector<RolloutReport> Rollouts;
  std::vector<CrashSuspectReport> Crashes;
};

/// Size to which a report is shortened.
struct ReportLimit {
  std::size_t Bytes = 0;
  std::function<std::size_t(const NodeReport &)> ReportBytes;
};

/// Identifies one incarnation of a node in a LoadBeat.
using NodeKey = StrongNumber<struct NodeKeyTag>;
/// Stands for the receiver where a report is asked for: a node that is
/// contacted may already know the sender without being known to it.
inline constexpr NodeKey ReceiverKey{0};

/// The load of a node without the rest of its report, which changes rarely.
struct LoadBeat {
  NodeKey Node;
  Sequence State;
  Sequence Number;
  LoadReport Load;
};

/// The latest known state of another node.
struct KnownNode {
  NodeReport LastReport;
  /// When its newest report or beat was received, from the node itself or
  /// forwarded by another one.
  SteadyTime HeardAt;
  /// When LastReport was received; ages in it count from this time.
  SteadyTime ReportedAt;
  /// How many times this node has forwarded the state and the load.
  int StateForwards = 0;
  int LoadForwards = 0;
  /// The newest upstream process beside the node that is known to leave or to
  /// have left; only for processes with a stated start. A node that was
  /// restarted does not remember it.
  std::optional<Upstream> Left = std::nullopt;
};

/// All other nodes; this node's own state is kept elsewhere.
struct NodeTable {
  NodeId Self;
  std::map<NodeId, KnownNode> Nodes;
  std::unordered_map<std::int64_t, NodeId> ByKey;
  /// Nodes whose newest state has to be forwarded, the newest first. A node may
  /// be in it several times.
  std::deque<NodeId> Unspread;
  /// The node whose load was forwarded last.
  NodeId BeatCursor;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_NODEREPORT_H
