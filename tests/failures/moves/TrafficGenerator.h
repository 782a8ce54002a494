#ifndef LYCHEETHREAD_TESTS_FAILURES_MOVES_TRAFFICGENERATOR_H
#define LYCHEETHREAD_TESTS_FAILURES_MOVES_TRAFFICGENERATOR_H

#include "Fleet.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace lycheethread::failures {

using Clock = std::chrono::steady_clock;

/// The result of one call.
struct CallResult {
  Clock::time_point Sent;
  Clock::time_point Ended;
  std::string Route;
  int Status = 0;
  /// Version of the upstream that answered; empty when no upstream answered.
  std::string Version;
  /// Value of lt-reason; empty unless a node refused the call.
  std::string Reason;
  double LatencyMs = 0;
};

/// How long and how often callers were exposed to a bad version.
struct Exposure {
  /// Number of bad answers.
  std::int64_t Bad = 0;
  /// Calls to the new version that ended with the first bad answer or later.
  std::int64_t Calls = 0;
  /// Time from the first bad answer until the last of these calls was sent.
  double Seconds = 0;
};

/// Sends requests through all nodes, at most about 300 a second, until it is
/// destroyed.
class TrafficGenerator {
public:
  explicit TrafficGenerator(const Fleet &UsedFleet);
  ~TrafficGenerator();
  TrafficGenerator(const TrafficGenerator &) = delete;
  TrafficGenerator &operator=(const TrafficGenerator &) = delete;

  /// Returns the results of the calls that were sent since \p From.
  std::vector<CallResult> resultsSince(Clock::time_point From) const;
  /// Counts the calls sent since \p From that v2 answered.
  std::int64_t callsToNewVersion(Clock::time_point From) const;
  /// Returns the exposure to v2 by calls sent since \p From. An answer of v2 is
  /// bad when it is a server error or takes SlowCallMs or longer.
  Exposure exposure(Clock::time_point From) const;

  static constexpr double SlowCallMs = 60;

private:
  void run(std::uint64_t Seed);

  const Fleet &Fleet_;
  std::atomic<bool> Stopped_{false};
  mutable std::mutex Lock_;
  std::vector<CallResult> Results_;
  std::vector<std::thread> Threads_;
};

std::string describe(const Exposure &Seen);

/// Returns the number of calls by status and reason, such as
/// "200: 17, 503 no-upstream: 2".
std::string describe(const std::vector<CallResult> &Seen);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_MOVES_TRAFFICGENERATOR_H
