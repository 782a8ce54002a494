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

/// Command line of the stand-in.
struct Options {
  std::string Listen = "127.0.0.1:8080";
  std::string Version = "v1";
  /// Endpoint of the node beside it, for onward calls; may be empty.
  std::string Node;
  int Slots = 20;
  /// Requests that make progress at once; others wait. 0 for no limit.
  int Workers = 0;
  int ServiceTimeMs = 0;
  int ColdStartMs = 0;
  /// File to which each run is appended before it starts, so that the record
  /// outlives a killed process; empty for none.
  std::string RunsFile;
};

/// What the stand-in does to one request.
struct Treatment {
  bool Fail = false;
  int DelayMs = 0;
};

/// Faults that were switched on, slots and counts. Thread-safe.
class Faults {
public:
  explicit Faults(const Options &Used);

  /// Applies the parameters of /control.
  void control(const Poco::URI &Uri);
  Treatment treat(const std::string &Path);

  /// Takes a slot; false sheds the request.
  bool enter();
  void leave();

  /// Waits for a worker and works for \p DelayMs.
  void work(int DelayMs);

  void countExecution(const std::string &Key);
  /// Appends a line "ms-since-epoch id" to the file of runs.
  void recordRun(const std::string &Id);
  /// "key count" lines.
  std::string executions();
  bool isHealthy();

private:
  bool isActive(const std::string &Path) const;

  Options Options_;
  std::chrono::steady_clock::time_point Started_;
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
  std::uint64_t Seen_ = 0;
  std::map<std::string, int> Executions_;
  std::ofstream Runs_;
};

} // namespace lycheethread::upstream

#endif // LYCHEETHREAD_TESTS_UPSTREAM_FAULTS_H
