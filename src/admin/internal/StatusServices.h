#ifndef LYCHEETHREAD_ADMIN_INTERNAL_STATUSSERVICES_H
#define LYCHEETHREAD_ADMIN_INTERNAL_STATUSSERVICES_H

#include "config/Config.h"
#include "kernel/Kernel.h"
#include "metrics/Metrics.h"
#include "moves/Moves.h"
#include "peer/types/PeerControl.h"
#include "proxy/types/DrainControl.h"
#include "refusallog/types/RefusalStatus.h"
#include "settings/Settings.h"

#include <memory>
#include <string>
#include <vector>

namespace lycheethread::admin {

/// The services that the endpoint reads; null for services that are not
/// registered.
struct StatusServices {
  std::shared_ptr<settings::NodeSettings> Settings;
  std::shared_ptr<kernel::SnapshotStore<config::ConfigState>> Config;
  std::shared_ptr<kernel::SnapshotStore<std::vector<Member>>> Members;
  std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>> StoppedMoves;
  std::shared_ptr<peer::PeerControl> Peers;
  std::shared_ptr<proxy::DrainControl> Drain;
  std::shared_ptr<metrics::MetricsRegistry> Metrics;
  std::shared_ptr<refusallog::RefusalStatus> Refusals;
};

/// Looks up the services. Throws kernel::RegistryError when the settings are
/// missing.
StatusServices findStatusServices(const kernel::ServiceRegistry &Registry);

/// Returns the status as a JSON object, see docs/admin.md.
std::string writeStatus(const StatusServices &From, WallTime Now);

/// Returns the metrics registry and the state of the node in the Prometheus
/// text format.
std::string writeMetrics(const StatusServices &From);

} // namespace lycheethread::admin

#endif // LYCHEETHREAD_ADMIN_INTERNAL_STATUSSERVICES_H
