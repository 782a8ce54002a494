#include "sidecar/Sidecar.h"
#include "sidecar/internal/SidecarNode.h"

namespace lycheethread::sidecar {

kernel::Module makeSidecarModule(const std::string &SettingsPath) {
  const auto Runner = std::make_shared<SidecarRunner>();
  kernel::Module Result;
  Result.Name = "sidecar";
  Result.RegisterServices = [Runner](kernel::ServiceRegistry &Registry) {
    Registry.add(RunnerName, Runner);
  };
  Result.Init = [Runner, SettingsPath](kernel::ServiceRegistry &Registry) {
    NodeDependencies Services;
    Services.Platform = Registry.find<PlatformProtocol>(PlatformProtocolName);
    Services.Recorder = Registry.find<metrics::RequestRecorder>(
        kernel::service_names::RequestMetrics);
    Services.Registry =
        Registry.find<metrics::MetricsRegistry>(metrics::RegistryName);
    const auto Node = std::make_shared<SidecarNode>(SettingsPath, Services);
    Runner->Run = [Node] { Node->run(); };
  };
  Result.Deinit = [Runner] { Runner->Run = nullptr; };
  return Result;
}

} // namespace lycheethread::sidecar
