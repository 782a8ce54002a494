#ifndef LYCHEETHREAD_TESTS_LOAD_LOADRUN_H
#define LYCHEETHREAD_TESTS_LOAD_LOADRUN_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheethread::load {

/// Parameters of a bounded load on one or two targets.
struct LoadPlan {
  /// "ip:port"; when Compare is set, each connection alternates between both.
  std::string Target;
  std::string Compare;
  std::string Host = "bench";
  std::string Path = "/work";
  std::string Caller = "load";
  int Connections = 1;
  /// Total requests per second of all connections; 0 for a closed loop.
  double Rate = 0;
  int Seconds = 5;
  /// Number of initial requests of each connection that are not counted.
  int Warmup = 20;
  std::uint64_t Seed = 1;
  int TimeoutMs = 5000;
  /// Sent as lt-deadline-ms; later responses do not count as good. 0 for no
  /// deadline.
  int DeadlineMs = 0;
};

/// Results of the calls to one target.
struct LoadResult {
  std::int64_t Sent = 0;
  std::int64_t Good = 0;
  /// Number of failed calls by refusal reason, status or connection error.
  std::map<std::string, std::int64_t> Errors;
  /// Latencies of good responses, sorted.
  std::vector<double> LatencyMs;
};

struct LoadResults {
  LoadResult Target;
  LoadResult Compare;
};

/// Runs \p Plan and returns when it is complete.
LoadResults runLoad(const LoadPlan &Plan);

/// Returns the value below which \p Fraction of the latencies lie; 0 when there
/// are none.
double quantile(const LoadResult &Result, double Fraction);

} // namespace lycheethread::load

#endif // LYCHEETHREAD_TESTS_LOAD_LOADRUN_H
