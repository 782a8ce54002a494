#ifndef LYCHEETHREAD_TESTS_ROBUSTNESS_BADSERVER_H
#define LYCHEETHREAD_TESTS_ROBUSTNESS_BADSERVER_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::robustness {

/// The response that the server sends to every request.
struct PreparedResponse {
  std::string Bytes;
  /// Pause after each byte; with zero, all bytes are sent at once.
  std::chrono::milliseconds Pause{0};
};

/// Reads one request of each connection, sends the prepared response and closes
/// the connection.
class BadServer {
public:
  /// Listens on a free port of 127.0.0.1.
  BadServer();
  ~BadServer();

  std::string url() const;
  /// Sets the response to later connections.
  void prepare(PreparedResponse Response);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::robustness

#endif // LYCHEETHREAD_TESTS_ROBUSTNESS_BADSERVER_H
