#ifndef LYCHEETHREAD_KERNEL_TYPES_SERVICENAMES_H
#define LYCHEETHREAD_KERNEL_TYPES_SERVICENAMES_H

namespace lycheethread::kernel::service_names {

/// settings::NodeSettings.
inline constexpr const char *Settings = "settings";
/// streamlog::LogClient.
inline constexpr const char *Log = "streamlog.client";
/// SnapshotStore<config::ConfigState>: the configuration in effect.
inline constexpr const char *Config = "config.snapshot";
/// SnapshotStore<std::vector<Member>>: the member list of this node.
inline constexpr const char *Members = "members.snapshot";
/// SnapshotStore<requests::RoutingView>; empty until the node is ready to
/// serve.
inline constexpr const char *View = "requests.view";
/// refusals::RefusalSink: receives the refusals of all modules.
inline constexpr const char *Refusals = "refusals.sink";
/// metrics::RequestRecorder.
inline constexpr const char *RequestMetrics = "metrics.requests";
/// metrics::TrafficRecorder.
inline constexpr const char *TrafficMetrics = "metrics.traffic";
/// proxy::OutcomeAccumulator: outcomes at the last hop, used as evidence for
/// version moves.
inline constexpr const char *LastHopOutcomes = "proxy.outcomes.last-hop";
/// proxy::OutcomeAccumulator: outcomes at the entry node, used for the local
/// stop.
inline constexpr const char *EntryOutcomes = "proxy.outcomes.entry";
/// SnapshotStore<moves::StoppedMoveSet>: the stopped version moves.
inline constexpr const char *StoppedMoves = "moves.brakes";
/// proxy::DrainControl: stops admitting requests at the last hop.
inline constexpr const char *Drain = "proxy.drain";
/// peer::PeerControl: interface of the peer module to other modules.
inline constexpr const char *Peers = "peer.control";

} // namespace lycheethread::kernel::service_names

#endif // LYCHEETHREAD_KERNEL_TYPES_SERVICENAMES_H
