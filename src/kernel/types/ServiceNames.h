#ifndef LYCHEETHREAD_KERNEL_TYPES_SERVICENAMES_H
#define LYCHEETHREAD_KERNEL_TYPES_SERVICENAMES_H

namespace lycheethread::kernel::service_names {

/// settings::NodeSettings.
inline constexpr const char *Settings = "settings";
/// streamlog::LogClient.
inline constexpr const char *Log = "streamlog.client";
/// SnapshotStore<config::ConfigState>: the configuration in force.
inline constexpr const char *Config = "config.snapshot";
/// SnapshotStore<std::vector<Member>>: the members as this node sees them.
inline constexpr const char *Members = "members.snapshot";
/// SnapshotStore<requests::RoutingView>; empty until the node may serve.
inline constexpr const char *View = "requests.view";
/// refusals::RefusalSink: where each part reports a refusal.
inline constexpr const char *Refusals = "refusals.sink";
/// metrics::RequestRecorder.
inline constexpr const char *RequestMetrics = "metrics.requests";
/// metrics::TrafficRecorder.
inline constexpr const char *TrafficMetrics = "metrics.traffic";
/// proxy::OutcomeAccumulator: outcomes at the last hop, evidence of version
/// moves.
inline constexpr const char *LastHopOutcomes = "proxy.outcomes.last-hop";
/// proxy::OutcomeAccumulator: outcomes seen by the entry node, for the local
/// stop.
inline constexpr const char *EntryOutcomes = "proxy.outcomes.entry";
/// SnapshotStore<moves::StoppedMoveSet>.
inline constexpr const char *StoppedMoves = "moves.brakes";
/// proxy::DrainControl: stops new work at the last hop.
inline constexpr const char *Drain = "proxy.drain";
/// peer::PeerControl: what other modules ask of the peer loops.
inline constexpr const char *Peers = "peer.control";

} // namespace lycheethread::kernel::service_names

#endif // LYCHEETHREAD_KERNEL_TYPES_SERVICENAMES_H
