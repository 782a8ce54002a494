#ifndef LYCHEETHREAD_TESTS_PLATFORM_TESTMESH_H
#define LYCHEETHREAD_TESTS_PLATFORM_TESTMESH_H

#include "ChildProcess.h"
#include "HttpCall.h"
#include "StoreStandIn.h"
#include "UpstreamStandIn.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lycheethread::platformtest {

/// The parameters in which the instances of a test differ.
struct InstanceSpec {
  std::string Name;
  std::string Service = "desk";
  std::string Version = "v1";
  std::string Zone = "north";
  /// Requests that the upstream runs at the same time.
  int Capacity = 4;
  /// Value of the setting hedging.max_share; the section is left out if "0".
  std::string MaxHedgeShare = "0";
  /// Value of the setting admission.min_failed_runs, likewise.
  std::string MinFailedRuns = "0";
};

/// An instance with its node, a separate process, and its upstream, which sends
/// a check-in every 200 ms.
class Instance {
public:
  Instance(const InstanceSpec &Spec, std::uint16_t StorePort);
  ~Instance();

  UpstreamStandIn &upstream() { return *Upstream_; }
  harness::ChildProcess &node() { return *Node_; }
  std::string logFile() const { return LogFile_; }
  /// Port at which callers reach the node.
  std::uint16_t outboundPort() const { return OutboundPort_; }

  void startNode();
  /// Writes the settings file; a running node reads it again within a second.
  void writeSettings(const std::string &Bounds);
  /// Writes the settings with another share of hedged requests.
  void writeMaxHedgeShare(const std::string &Share);
  /// Sends a GET request for \p Path to the host of the tests through this
  /// node.
  harness::HttpAnswer get(const std::string &Path, const std::string &Id = "");
  harness::HttpAnswer
  post(const std::string &Path, const std::string &Body,
       const std::string &Id = "",
       std::chrono::milliseconds Deadline = std::chrono::milliseconds(1500));
  bool isReady();
  /// Returns the metrics of the node.
  std::string metrics();
  /// Sends a check-in with \p State; returns the status of the response.
  int checkIn(const std::string &State);
  /// Sends a check-in again that may be late: with the sequence and the start
  /// time that it had when it was written.
  int checkInLate(std::int64_t Sequence, std::int64_t StartTimeMs);
  /// Says that the upstream leaves, as one does that never reports "draining".
  int leave();
  std::int64_t lastSequence() const { return Sequence_; }
  std::int64_t startTimeMs() const { return StartTimeMs_; }
  /// Sets the state that later check-ins report.
  void setState(const std::string &State) { State_ = State; }
  /// Sets how long later check-ins say that the upstream stays cold.
  void setColdRemaining(double Seconds) { ColdRemaining_ = Seconds; }
  /// Later check-ins are those of a new process.
  void setNewProcess();
  std::uint16_t inboundPort() const { return InboundPort_; }
  std::uint16_t metricsPort() const { return MetricsPort_; }
  void stopCheckIns() { CheckInsEnabled_ = false; }

private:
  harness::HttpCall call(const std::string &Path, const std::string &Id) const;
  int tell(const std::string &Method, const std::string &Body) const;
  std::string checkInBody(const std::string &State, std::int64_t Sequence,
                          std::int64_t StartTimeMs) const;
  void runCheckIns();

  InstanceSpec Spec_;
  std::uint16_t StorePort_;
  std::unique_ptr<UpstreamStandIn> Upstream_;
  std::uint16_t OutboundPort_;
  std::uint16_t InboundPort_;
  std::uint16_t ReadinessPort_;
  std::uint16_t CheckInPort_;
  std::uint16_t GossipPort_;
  std::uint16_t MetricsPort_;
  std::string SettingsFile_;
  std::string LogFile_;
  std::unique_ptr<harness::ChildProcess> Node_;
  std::atomic<bool> CheckInsEnabled_{true};
  std::atomic<bool> Stopping_{false};
  std::atomic<double> ColdRemaining_{0};
  std::string State_ = "ready";
  std::atomic<std::int64_t> Sequence_{0};
  std::atomic<std::int64_t> StartTimeMs_;
  std::thread CheckInThread_;
};

/// Returns a configuration in the format of the operator; it routes /read/,
/// /write/ and /upload/ to "desk" and /other/ to "store". \p DeskFields are
/// added to the cluster "desk".
std::string configuration(int Version, const std::string &MoreRules = "",
                          const std::string &DeskFields = "");

/// Waits until \p Condition holds; returns false when \p Limit has passed.
bool holdsWithin(const std::function<bool()> &Condition,
                 std::chrono::milliseconds Limit);

/// A store with one configuration and the instances that read it.
struct TestMesh {
  StoreStandIn Store;
  std::vector<std::unique_ptr<Instance>> Instances;

  explicit TestMesh(const std::vector<InstanceSpec> &Specs, int Version = 1);
  Instance &at(std::size_t Index) { return *Instances.at(Index); }
};

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_TESTMESH_H
