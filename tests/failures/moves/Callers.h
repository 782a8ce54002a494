#ifndef LYCHEETHREAD_TESTS_FAILURES_MOVES_CALLERS_H
#define LYCHEETHREAD_TESTS_FAILURES_MOVES_CALLERS_H

#include "Fleet.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace lycheethread::failures {

using Clock = std::chrono::steady_clock;

/// One answered or failed call.
struct CallResult {
  Clock::time_point Sent;
  Clock::time_point Ended;
  std::string Route;
  int Status = 0;
  /// Version of the upstream that answered; empty when none did.
  std::string Version;
  std::string Reason;
  double Ms = 0;
};

/// What a bad version got, as its callers saw it.
struct Exposure {
  std::int64_t Bad = 0;
  /// From the first bad answer on.
  std::int64_t Calls = 0;
  double Seconds = 0;
};

/// Steady traffic through all nodes, at most 300 calls a second, until the end
/// of this object.
class Callers {
public:
  explicit Callers(const Fleet &Used);
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  /// All calls that were sent since \p From.
  std::vector<CallResult> since(Clock::time_point From) const;
  /// Calls to v2 sent since \p From.
  std::int64_t callsToNew(Clock::time_point From) const;
  /// Bad is an answer of v2 with a server error or of SlowMs or longer.
  Exposure exposure(Clock::time_point From) const;

  static constexpr double SlowMs = 60;

private:
  void run(std::uint64_t Seed);

  const Fleet &Fleet_;
  std::atomic<bool> Stopped_{false};
  mutable std::mutex Lock_;
  std::vector<CallResult> Results_;
  std::vector<std::thread> Threads_;
};

std::string describe(const Exposure &Seen);

/// "200: n, 503 no-upstream: m, ..." of all calls.
std::string describe(const std::vector<CallResult> &Seen);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_MOVES_CALLERS_H
