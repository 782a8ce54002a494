#ifndef LYCHEETHREAD_TESTS_ROBUSTNESS_BADSERVER_H
#define LYCHEETHREAD_TESTS_ROBUSTNESS_BADSERVER_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::robustness {

/// What the server does with its next connection.
struct BadAnswer {
  std::string Bytes;
  /// Pause after each byte; zero sends all at once.
  std::chrono::milliseconds Pause{0};
};

/// Reads one request of each connection, sends prepared bytes and closes.
class BadServer {
public:
  /// Listens on a free port of 127.0.0.1.
  BadServer();
  ~BadServer();

  std::string url() const;
  /// Answer to the connections from now on.
  void prepare(BadAnswer Answer);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::robustness

#endif // LYCHEETHREAD_TESTS_ROBUSTNESS_BADSERVER_H
