#ifndef LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_FAULTRULE_H
#define LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_FAULTRULE_H

#include <cstdint>
#include <string>
#include <vector>

namespace lycheethread::testfault {

enum class FaultMode {
  Pass,
  /// Connections are reset, datagrams dropped.
  Reset,
  /// Nothing is read or passed on while connections stay open: a half-open
  /// connection. New connections are accepted and stay silent.
  Drop
};

/// What happens to the bytes of one direction.
struct FaultRule {
  FaultMode Mode = FaultMode::Pass;
  /// Added to each chunk or datagram, plus up to JitterMs; order is kept in a
  /// connection.
  std::int64_t DelayMs = 0;
  std::int64_t JitterMs = 0;
  /// 0 for no limit; one budget for each connection.
  std::int64_t BytesPerSecond = 0;
  /// A connection is reset after this many bytes; 0 for never.
  std::int64_t CloseAfterBytes = 0;
  /// Only datagrams of clients with this IP address; empty for all traffic.
  std::string From;
};

enum class Protocol { Tcp, Udp };

/// One address to listen on and where its bytes go. "ip:port" both.
struct ForwardSpec {
  Protocol Kind = Protocol::Tcp;
  std::string Listen;
  std::string Target;
};

/// Bytes passed on by one forward since the start.
struct ForwardTotals {
  ForwardSpec Spec;
  std::int64_t BytesUp = 0;
  std::int64_t BytesDown = 0;
  std::int64_t Connections = 0;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_FAULTRULE_H
