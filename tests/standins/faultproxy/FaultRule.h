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
  /// Simulates half-open connections: connections stay open and new ones are
  /// accepted, but no data is read or forwarded.
  Drop
};

/// The faults that are injected in one direction.
struct FaultRule {
  FaultMode Mode = FaultMode::Pass;
  /// Delay of each chunk or datagram; a random time of up to JitterMs is added.
  /// The order is kept within a connection.
  std::int64_t DelayMs = 0;
  std::int64_t JitterMs = 0;
  /// Limit of each connection; 0 for no limit.
  std::int64_t BytesPerSecond = 0;
  /// Number of bytes after which a connection is reset; 0 for no reset.
  std::int64_t CloseAfterBytes = 0;
  /// Restricts the rule to datagrams of clients with this IP address; empty for
  /// all traffic.
  std::string From;
};

enum class Protocol { Tcp, Udp };

/// A listening address and the address that its data is forwarded to, both
/// "ip:port".
struct ForwardSpec {
  Protocol Kind = Protocol::Tcp;
  std::string Listen;
  std::string Target;
};

/// Totals of one forward since the start.
struct ForwardTotals {
  ForwardSpec Spec;
  std::int64_t BytesUp = 0;
  std::int64_t BytesDown = 0;
  std::int64_t Connections = 0;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_FAULTRULE_H
