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

inline constexpr const char *Desk = "commission-catalogue";
inline constexpr const char *Store = "scans-stock-ledger";
inline constexpr std::chrono::seconds InForceLimit{9};
inline constexpr std::chrono::seconds ReadyLimit{60};

/// What a node says of itself.
struct NodeStatus {
  bool Ready = false;
  std::int64_t Position = 0;
  /// Members that it sees as ready, itself included.
  std::size_t ReadyMembers = 0;
  std::map<std::string, std::int64_t> Revisions;
};

/// Empty without an answer.
std::optional<NodeStatus> statusOf(const harness::NodeProcess &Node);

/// A run of the publish command.
class Publishing {
public:
  Publishing(const std::string &Document, const std::string &LogUrl,
             std::string Output);

  struct Verdict {
    bool Accepted = false;
    bool Refused = false;
    /// In force after the publication, for the loser that of the winner.
    std::int64_t Revision = 0;
    std::string Output;
  };
  Verdict wait();

private:
  std::string Output_;
  harness::ChildProcess Process_;
};

/// Watches that no node serves a lower position than before, restarts
/// included.
class PositionWatch {
public:
  explicit PositionWatch(std::vector<harness::NodeProcess *> Nodes);
  ~PositionWatch();

  /// Steps back that were seen, for people; empty when there was none.
  std::string stepsBack();
  int polls() const { return Polls_; }

private:
  void run();

  std::vector<harness::NodeProcess *> Nodes_;
  std::mutex Lock_;
  std::map<std::string, std::int64_t> Highest_;
  std::string StepsBack_;
  std::atomic<int> Polls_{0};
  std::atomic<bool> Stopping_{false};
  std::thread Worker_;
};

/// Ten nodes with upstreams in 2 regions with 2 availability zones each, and a
/// fault proxy before the log for each region.
class Fleet {
public:
  /// Throws std::runtime_error when the fleet does not become ready.
  Fleet(const std::string &Case, unsigned Seed, bool ForwardControl = false);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  std::map<std::string, harness::FaultProcess *> LogFaults;
  std::vector<harness::NodeProcess *> Nodes;
  std::mt19937 Random;

  int below(int Bound);
  std::vector<harness::NodeProcess *> pick(std::size_t Count);
  harness::NodeProcess &readerOf(const std::string &Region);
  harness::NodeProcess *start(const std::string &Id, const std::string &Region,
                              const std::string &Zone,
                              const std::string &Service,
                              const std::string &Group);

  void cutLog(const std::string &Region, bool Cut);
  void cutLog(bool Cut);
  /// Drops the datagrams between the regions; needs forwarded control.
  void cutRegions(bool Cut);
  /// Key and value of the log's own faults.
  void controlLog(const std::string &Key, const std::string &Value) const;
  std::int64_t head(const std::string &Stream = "control") const;

  std::unique_ptr<Publishing> startPublish(const std::string &Document);
  std::unique_ptr<Publishing> startPublish(const std::string &Document,
                                           const std::string &LogUrl);
  /// Throws std::runtime_error unless the document is accepted.
  void publish(const std::string &Document);

  /// Publishes the next revision of the desk with one more marker route.
  std::unique_ptr<Publishing> startMarker();
  int markers() const { return Markers_; }
  /// Document of the desk with \p Markers routes /marker-1 and so on.
  static std::string deskWith(int BaseRevision, int Markers,
                              const std::string &More = "");
  static std::string storeWith(int BaseRevision, const std::string &More = "");

  /// Time until all of \p Of are at \p Position, or at least \p Limit.
  static double secondsUntilAt(std::int64_t Position,
                               const std::vector<harness::NodeProcess *> &Of,
                               std::chrono::steady_clock::time_point From,
                               std::chrono::seconds Limit = InForceLimit);
  std::vector<harness::NodeProcess *>
  without(const std::vector<harness::NodeProcess *> &Some) const;
  bool allSeeAll() const;

private:
  bool ForwardControl_;
  int Published_ = 0;
  int Markers_ = 0;
};

/// Whether the node refuses the path because it has no such route.
bool hasNoRoute(const harness::NodeProcess &Entry, const std::string &Service,
                const std::string &Path);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_CONFIGURATION_FLEET_H
