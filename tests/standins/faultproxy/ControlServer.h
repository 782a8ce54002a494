#ifndef LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_CONTROLSERVER_H
#define LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_CONTROLSERVER_H

#include "FaultProxy.h"

#include <memory>
#include <string>

namespace lycheethread::testfault {

/// HTTP interface for the fault rules. POST /control takes
///   {"listen": "ip:port" or "*", "direction": "up" | "down" | "both",
///    "mode": "pass" | "reset" | "drop", "delay_ms": n, "jitter_ms": n,
///    "bytes_per_s": n, "close_after_bytes": n, "from": "ip"}
/// where every key except listen is optional. GET /control returns the totals.
class ControlServer {
public:
  ControlServer(const std::string &Address, FaultProxy &Proxy);
  ~ControlServer();

  std::uint16_t port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_CONTROLSERVER_H
