#include "sidecar/Sidecar.h"
#include "sidecar/internal/SidecarNode.h"

namespace lycheethread::sidecar {

kernel::Module makeSidecarModule(const std::string &SettingsPath) {
  const auto Runner = std::make_shared<SidecarRunner>();
  kernel::Module Made;
  Made.Name = "sidecar";
  Made.RegisterServices = [Runner](kernel::ServiceRegistry &Registry) {
    Registry.add(RunnerName, Runner);
  };
  Made.Init = [Runner, SettingsPath](kernel::ServiceRegistry &Registry) {
    NodeDependencies Parts;
    Parts.Platform = Registry.find<PlatformProtocol>(PlatformProtocolName);
    Parts.Recorder = Registry.find<metrics::RequestRecorder>(
        kernel::service_names::RequestMetrics);
    Parts.Registry =
        Registry.find<metrics::MetricsRegistry>(metrics::RegistryName);
    const auto Node = std::make_shared<SidecarNode>(SettingsPath, Parts);
    Runner->Run = [Node] { Node->run(); };
  };
  Made.Deinit = [Runner] { Runner->Run = nullptr; };
  return Made;
}

} // namespace lycheethread::sidecar
