#ifndef LYCHEETHREAD_TESTS_FAILURES_CONFIGURATION_FLEET_H
#define LYCHEETHREAD_TESTS_FAILURES_CONFIGURATION_FLEET_H

#include "Mesh.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lycheethread::failures {

/// The services of the example documents in examples/zinnwerk.
inline constexpr const char *CatalogueService = "commission-catalogue";
inline constexpr const char *LedgerService = "scans-stock-ledger";
/// An accepted configuration must be in force at all nodes within this time.
inline constexpr std::chrono::seconds InForceLimit{9};
inline constexpr std::chrono::seconds ReadyLimit{60};

/// The status that a node reports.
struct NodeStatus {
  bool Ready = false;
  std::int64_t Position = 0;
  /// Number of members that the node sees as ready, itself included.
  std::size_t ReadyMembers = 0;
  /// Revision in force of each service.
  std::map<std::string, std::int64_t> Revisions;
};

/// Returns the status of the node; empty when the node does not answer.
std::optional<NodeStatus> statusOf(const harness::NodeProcess &Node);

/// A running publish command.
class PublishCommand {
public:
  PublishCommand(const std::string &Document, const std::string &LogUrl,
                 std::string Output);

  struct Outcome {
    bool Accepted = false;
    bool Refused = false;
    /// Revision in force after the command, also when another publication won.
    std::int64_t Revision = 0;
    std::string Output;
  };
  /// Waits until the command has ended.
  Outcome wait();

private:
  std::string Output_;
  harness::ChildProcess Process_;
};

/// Polls the nodes and records when one serves a lower position than before,
/// also across restarts.
class PositionMonitor {
public:
  explicit PositionMonitor(std::vector<harness::NodeProcess *> Nodes);
  ~PositionMonitor();

  /// Returns a description of the regressions; empty when there was none.
  std::string regressions();
  int polls() const { return Polls_; }

private:
  void run();

  std::vector<harness::NodeProcess *> Nodes_;
  std::mutex Lock_;
  std::map<std::string, std::int64_t> Highest_;
  std::string Regressions_;
  std::atomic<int> Polls_{0};
  std::atomic<bool> Stopping_{false};
  std::thread Worker_;
};

/// Ten nodes with upstreams in 2 regions with 2 availability zones each. The
/// nodes of each region reach the log through a fault proxy of that region.
class Fleet {
public:
  /// Throws std::runtime_error when the nodes do not become ready.
  Fleet(const std::string &CaseName, unsigned Seed,
        bool ForwardControl = false);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  std::map<std::string, harness::FaultProcess *> LogFaults;
  std::vector<harness::NodeProcess *> Nodes;
  std::mt19937 Random;

  /// Returns a random number from 0 to \p Bound - 1.
  int randomBelow(int Bound);
  /// Returns \p Count random nodes.
  std::vector<harness::NodeProcess *> pickNodes(std::size_t Count);
  /// Returns the node that reads the log for its region.
  harness::NodeProcess &readerOf(const std::string &Region);
  harness::NodeProcess *start(const std::string &Id, const std::string &Region,
                              const std::string &Zone,
                              const std::string &Service,
                              const std::string &Group);

  /// Makes the fault proxy of the region reset connections to the log, or pass
  /// them again.
  void setLogCut(const std::string &Region, bool Cut);
  /// The same for all regions.
  void setLogCut(bool Cut);
  /// Drops the control traffic between the regions, or passes it again.
  /// Requires ForwardControl.
  void setRegionsCut(bool Cut);
  /// Sets a fault of the log itself, as a key and value of its /control.
  void setLogFault(const std::string &Key, const std::string &Value) const;
  /// Returns the position after the last record of the stream.
  std::int64_t head(const std::string &Stream = "control") const;

  std::unique_ptr<PublishCommand> startPublish(const std::string &Document);
  std::unique_ptr<PublishCommand> startPublish(const std::string &Document,
                                               const std::string &LogUrl);
  /// Throws std::runtime_error unless the document is accepted.
  void publish(const std::string &Document);

  /// Starts to publish the next revision of the catalogue service, with one
  /// more marker route.
  std::unique_ptr<PublishCommand> startMarkerPublish();
  int markers() const { return Markers_; }
  /// Returns the document of the catalogue service with the routes /marker-1 to
  /// /marker-\p Markers.
  static std::string catalogueDocument(int BaseRevision, int Markers,
                                       const std::string &Additions = "");
  /// Returns the document of the ledger service.
  static std::string ledgerDocument(int BaseRevision,
                                    const std::string &Additions = "");

  /// Waits until all of \p ExpectedNodes serve \p Position or a later one.
  /// Returns the time since \p From in seconds, which is at least \p Limit
  /// after a timeout.
  static double
  secondsUntilPosition(std::int64_t Position,
                       const std::vector<harness::NodeProcess *> &ExpectedNodes,
                       std::chrono::steady_clock::time_point From,
                       std::chrono::seconds Limit = InForceLimit);
  std::vector<harness::NodeProcess *>
  nodesExcept(const std::vector<harness::NodeProcess *> &Excluded) const;
  /// Whether all nodes are ready and see all nodes as ready.
  bool allNodesSeeAll() const;

private:
  bool ForwardControl_;
  int Published_ = 0;
  int Markers_ = 0;
};

/// Whether the node refuses a request for the path with the reason "no-route".
bool hasNoRoute(const harness::NodeProcess &Entry, const std::string &Service,
                const std::string &Path);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_CONFIGURATION_FLEET_H
