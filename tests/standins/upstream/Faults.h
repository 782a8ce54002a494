#ifndef LYCHEETHREAD_TESTS_UPSTREAM_FAULTS_H
#define LYCHEETHREAD_TESTS_UPSTREAM_FAULTS_H

#include <Poco/URI.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>

namespace lycheethread::upstream {

/// Command-line options of the stand-in.
struct Options {
  std::string Listen = "127.0.0.1:8080";
  std::string Version = "v1";
  /// Endpoint of the node of the same instance, which receives forwarded
  /// requests; may be empty.
  std::string Node;
  int Slots = 20;
  /// Number of requests that are processed at the same time; others wait. 0 for
  /// no limit.
  int Workers = 0;
  int ServiceTimeMs = 0;
  int ColdStartMs = 0;
  /// File to which each run is appended before it starts, so that the entry is
  /// kept when the process is killed; empty for none.
  std::string RunsFile;
};

/// The faults that are injected into one request.
struct FaultDecision {
  bool Fail = false;
  int DelayMs = 0;
};

/// Active faults, slots and counters. Thread-safe.
class Faults {
public:
  explicit Faults(const Options &Config);

  /// Applies the query parameters of a /control request.
  void control(const Poco::URI &Uri);
  FaultDecision decideFault(const std::string &Path);

  /// Acquires a slot; returns false when the request must be shed.
  bool acquireSlot();
  void releaseSlot();

  /// Waits for a free worker and occupies it for \p DelayMs.
  void work(int DelayMs);

  void countExecution(const std::string &Key);
  /// Appends a line "ms-since-epoch id" to the runs file.
  void recordRun(const std::string &Id);
  /// Returns a line "key count" for each idempotency key.
  std::string executions();
  bool isHealthy();
  /// The limit that the upstream states in its answers; empty for none.
  std::string statedLimit();
  /// Whether it says in its answers that it leaves.
  bool saysItLeaves();

private:
  bool isActive(const std::string &Path) const;

  Options Options_;
  std::chrono::steady_clock::time_point StartTime_;
  std::mutex Lock_;
  int Running_ = 0;
  int Working_ = 0;
  std::condition_variable WorkerFree_;
  int FailPercent_ = 0;
  int SlowMs_ = 0;
  std::string Route_;
  std::chrono::steady_clock::time_point ActiveFrom_;
  bool ReportsHealth_ = true;
  bool Draining_ = false;
  std::string StatedLimit_;
  bool SaysItLeaves_ = false;
  std::uint64_t MatchedRequests_ = 0;
  std::map<std::string, int> Executions_;
  std::ofstream Runs_;
};

} // namespace lycheethread::upstream

#endif // LYCHEETHREAD_TESTS_UPSTREAM_FAULTS_H
