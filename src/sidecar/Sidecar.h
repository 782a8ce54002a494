#ifndef LYCHEETHREAD_SIDECAR_SIDECAR_H
#define LYCHEETHREAD_SIDECAR_SIDECAR_H

/// Public header of the sidecar library: a node whose configuration, member
/// list and rollouts come from the store of a platform. All work runs on one
/// thread.

#include "kernel/Kernel.h"
#include "sidecar/types/PlatformProtocol.h"

#include <functional>
#include <string>

namespace lycheethread::sidecar {

/// Name of the PlatformProtocol in the service registry.
inline constexpr const char *PlatformProtocolName = "sidecar.platform";
/// Name of the SidecarRunner in the service registry.
inline constexpr const char *RunnerName = "sidecar.runner";

/// Runs the node. Run returns after a stop requested by SIGTERM or SIGINT, and
/// throws if the node cannot start.
struct SidecarRunner {
  std::function<void()> Run;
};

/// Registers the runner for the settings file \p SettingsPath, which is read
/// again on SIGHUP and when it changes.
kernel::Module makeSidecarModule(const std::string &SettingsPath);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_SIDECAR_H
