#ifndef LYCHEETHREAD_ADMIN_INTERNAL_ADMINSERVER_H
#define LYCHEETHREAD_ADMIN_INTERNAL_ADMINSERVER_H

#include "model/Model.h"

#include <functional>
#include <memory>
#include <string>

namespace lycheethread::admin {

/// Functions that handle the requests of the endpoint.
struct AdminHandlers {
  std::function<std::string()> Metrics;
  std::function<std::string()> Status;
  std::function<void()> Drain;
};

/// HTTP server of the admin endpoint; runs from construction to destruction.
class AdminServer {
public:
  /// Port 0 selects a free port. Throws Poco::Exception when the address cannot
  /// be bound.
  AdminServer(const Endpoint &At, AdminHandlers Handlers);
  ~AdminServer();

  std::uint16_t port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::admin

#endif // LYCHEETHREAD_ADMIN_INTERNAL_ADMINSERVER_H
