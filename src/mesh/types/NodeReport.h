#ifndef LYCHEETHREAD_MESH_TYPES_NODEREPORT_H
#define LYCHEETHREAD_MESH_TYPES_NODEREPORT_H

#include "mesh/types/MeshConfig.h"
#include "requests/Requests.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheethread::mesh {

using UpstreamId = StrongId<struct UpstreamIdTag>;

enum class UpstreamState {
  /// None has registered, or it has been silent for too long.
  Unknown = 0,
  Ready = 1,
  Draining = 2,
  Gone = 3
};

/// One start of an upstream, as it registers with the node beside it.
struct Upstream {
  UpstreamId Id;
  /// Unix time of its start in ms, by its own clock; a later start under the
  /// same id or address is another upstream.
  std::int64_t StartedAtUnixMs = 0;
  ServiceName Service;
  VersionName Version;
  UpstreamState State = UpstreamState::Unknown;
  /// Requests that it runs at once.
  std::int32_t Capacity = 0;
  /// How much longer it is slow after its start.
  Milliseconds ColdRemaining{0};
};

/// What the last hop before an upstream holds.
struct LoadReport {
  std::int32_t Running = 0;
  std::int32_t Waiting = 0;
  /// Mean time of the upstream for one request; 0 when not known.
  Milliseconds ServiceTime{0};
  /// Time until the long bodies on their way have been received.
  Milliseconds BodyWait{0};
};

/// Outcomes of one route at one upstream since a rollout was ordered.
struct RouteEvidence {
  /// The order's position in the store.
  Offset Order;
  RouteName Route;
  std::int32_t Good = 0;
  std::int32_t Bad = 0;
  /// Sum over Good.
  Milliseconds TotalTime{0};
};

enum class RolloutState { Running = 0, Completed = 1, RolledBack = 2 };

/// What a node knows of a rollout.
struct RolloutReport {
  Offset Order;
  /// Time since a node first saw the order.
  Milliseconds Age{0};
  /// This node has found the new version bad.
  bool FoundBad = false;
  /// As recorded in the store, if this node knows of an end.
  RolloutState State = RolloutState::Running;
};

/// A request that was in progress when an upstream crashed.
struct CrashSuspectReport {
  requests::Fingerprint RequestFingerprint;
  requests::CrashId Crash;
  requests::SuspectWeight Weight = requests::SuspectWeight::NeverAnswered;
};

/// What a node tells the others about itself.
struct NodeReport {
  NodeId Id;
  Incarnation IncarnationNumber;
  /// Grows with each message of one life.
  Sequence Number;
  Location At;
  Endpoint Hop;
  Endpoint Gossip;
  /// The node serves callers and is not about to stop.
  bool Ready = false;
  bool Stopping = false;
  Upstream Own;
  LoadReport Load;
  /// Position up to which the operator's records are known, and how long ago
  /// the store confirmed to any node that there was nothing beyond; nothing
  /// before the first confirmation.
  Offset OperatorPosition;
  std::optional<Milliseconds> ConfirmedAge;
  std::vector<RolloutReport> Rollouts;
  std::vector<RouteEvidence> Evidence;
  std::vector<CrashSuspectReport> Crashes;
};

/// A node as this node sees it.
struct KnownNode {
  NodeReport News;
  /// When its newest message became known here.
  SteadyTime HeardAt;
};

/// The other nodes; this node's own news are kept apart.
struct Fleet {
  NodeId Self;
  std::map<NodeId, KnownNode> Nodes;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_NODEREPORT_H
