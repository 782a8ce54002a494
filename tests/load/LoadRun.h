#ifndef LYCHEETHREAD_TESTS_LOAD_LOADRUN_H
#define LYCHEETHREAD_TESTS_LOAD_LOADRUN_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheethread::load {

/// A bounded load on one or two targets.
struct LoadPlan {
  /// "ip:port"; with Compare each connection alternates between both.
  std::string Target;
  std::string Compare;
  std::string Host = "bench";
  std::string Path = "/work";
  std::string Caller = "load";
  int Connections = 1;
  /// Requests a second of all connections together; 0 is a closed loop.
  double Rate = 0;
  int Seconds = 5;
  /// Requests of each connection that do not count, in the beginning.
  int Warmup = 20;
  std::uint64_t Seed = 1;
  int TimeoutMs = 5000;
  /// Passed on as lt-deadline-ms; later answers do not count as good. 0 for
  /// none.
  int DeadlineMs = 0;
};

/// What came back from one target.
struct LoadResult {
  std::int64_t Sent = 0;
  std::int64_t Good = 0;
  /// Reasons of refusals, statuses and failed connections.
  std::map<std::string, std::int64_t> Errors;
  /// Of good answers, sorted.
  std::vector<double> LatencyMs;
};

struct LoadResults {
  LoadResult Target;
  LoadResult Compare;
};

/// Runs the plan to its end.
LoadResults runLoad(const LoadPlan &Plan);

/// The value below which \p Fraction of the latencies lie; 0 without any.
double quantile(const LoadResult &Result, double Fraction);

} // namespace lycheethread::load

#endif // LYCHEETHREAD_TESTS_LOAD_LOADRUN_H
