#include "admin/Admin.h"
#include "admin/internal/AdminServer.h"
#include "admin/internal/StatusServices.h"

#include <boost/log/trivial.hpp>

#include <chrono>
#include <csignal>
#include <unistd.h>

namespace lycheethread::admin {

namespace {

WallTime wallNow() {
  using namespace std::chrono;
  return WallTime(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

void requestDrain() {
  BOOST_LOG_TRIVIAL(info) << "admin: drain requested";
  ::kill(::getpid(), SIGTERM);
}

} // namespace

kernel::Module makeAdminModule() {
  const auto Server = std::make_shared<std::unique_ptr<AdminServer>>();
  const auto Init = [Server](kernel::ServiceRegistry &Registry) {
    const auto Services =
        std::make_shared<const StatusServices>(findStatusServices(Registry));
    AdminHandlers Handlers;
    Handlers.Metrics = [Services] { return writeMetrics(*Services); };
    Handlers.Status = [Services] { return writeStatus(*Services, wallNow()); };
    Handlers.Drain = requestDrain;
    const Endpoint &At = Services->Settings->Admin;
    *Server = std::make_unique<AdminServer>(At, std::move(Handlers));
    BOOST_LOG_TRIVIAL(info)
        << "admin: listens on " << At.Address << ":" << (*Server)->port();
  };
  return {"admin", {}, Init, [Server] { Server->reset(); }};
}

} // namespace lycheethread::admin
