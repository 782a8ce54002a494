#include "settings/Settings.h"
#include "streamlog/StreamLog.h"

namespace lycheethread::streamlog {

namespace {

constexpr Milliseconds LogTimeout{2000};

} // namespace

kernel::Module makeStreamLogModule() {
  // The address is only known in Init; the functions are unset until then.
  const auto Client = std::make_shared<LogClient>();
  kernel::Module Made;
  Made.Name = "streamlog";
  Made.RegisterServices = [Client](kernel::ServiceRegistry &Registry) {
    Registry.add<LogClient>(kernel::service_names::Log, Client);
  };
  Made.Init = [Client](kernel::ServiceRegistry &Registry) {
    const auto Settings =
        Registry.find<settings::NodeSettings>(kernel::service_names::Settings);
    *Client = makeHttpLog(Settings->LogUrl, LogTimeout);
  };
  return Made;
}

} // namespace lycheethread::streamlog
