#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_SIDECARNODE_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_SIDECARNODE_H

#include "metrics/Metrics.h"
#include "sidecar/types/PlatformProtocol.h"

#include <memory>
#include <string>

namespace lycheethread::sidecar {

/// The services of other modules that a node uses.
struct NodeDependencies {
  std::shared_ptr<PlatformProtocol> Platform;
  std::shared_ptr<metrics::RequestRecorder> Recorder;
  std::shared_ptr<metrics::MetricsRegistry> Registry;
};

/// Creates the parts of a node and runs them.
class SidecarNode {
public:
  /// Throws std::runtime_error if the settings file has problems.
  SidecarNode(std::string SettingsPath, NodeDependencies Services);
  ~SidecarNode();

  /// Returns after a stop requested by SIGTERM or SIGINT.
  void run();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_SIDECARNODE_H
