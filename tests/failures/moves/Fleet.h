#ifndef LYCHEETHREAD_TESTS_FAILURES_MOVES_FLEET_H
#define LYCHEETHREAD_TESTS_FAILURES_MOVES_FLEET_H

#include "Mesh.h"
#include "bootstrap/Bootstrap.h"

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace lycheethread::failures {

/// The number after "--seed" among the test's own arguments; 1 without one.
std::uint64_t seed();

/// Prints one row of the result table: "point | injected | observed".
void printLine(const std::string &Point, const std::string &Injected,
               const std::string &Observed);

/// The state of one move, from the log or from the status of a node.
struct MoveView {
  std::string Status;
  std::string Reason;
  int StepsTaken = 0;
  int SharePermille = 0;

  friend bool operator==(const MoveView &L, const MoveView &R) {
    return L.Status == R.Status && L.Reason == R.Reason &&
           L.StepsTaken == R.StepsTaken && L.SharePermille == R.SharePermille;
  }
};

/// Eight instances of the service "desk" in two regions; half of them run
/// version v1 and half v2.
class Fleet {
public:
  /// Starts all processes and publishes a document with version v1. Throws
  /// std::runtime_error when that fails. \p ColdStartMs is the time for which
  /// the upstreams of v2 are slow after their start, in ms.
  explicit Fleet(const std::string &TestName, int ColdStartMs = 0);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  harness::FaultProcess *LogFault = nullptr;
  std::vector<harness::NodeProcess *> Nodes;
  std::mt19937_64 Random;

  /// Publishes a move from v1 to v2 with a deadline in \p Seconds and returns
  /// its id. Requires that the publication is accepted.
  std::string startMove(int Seconds);
  /// Returns the document of the next publication, with a move that has a
  /// deadline in \p Seconds unless that is 0.
  std::string makeDocument(int Seconds) const;
  harness::Mesh::Run publish(const std::string &Text, const std::string &Name);
  int revision() const { return Revision_; }
  /// Counts a revision that was published without startMove.
  void countRevision() { ++Revision_; }

  /// Sends \p Query to /control of all running upstreams of \p Version.
  void controlUpstreams(const std::string &Version,
                        const std::string &Query) const;

  /// Returns the state after all records of the control stream.
  config::ConfigState loadState() const;
  /// Returns the move as the log has it; the status is empty when the move is
  /// unknown.
  MoveView moveInLog(const std::string &Id) const;
  /// Returns the move as the status of the node shows it; the status is empty
  /// when the node does not answer or does not know the move.
  static MoveView moveAtNode(const harness::NodeProcess &Node,
                             const std::string &Id);
  /// Returns the deadline of a running move.
  std::chrono::steady_clock::time_point deadline(const std::string &Id) const;
  bool waitEnded(const std::string &Id, std::chrono::milliseconds Limit) const;
  bool waitSteps(const std::string &Id, int Steps,
                 std::chrono::milliseconds Limit) const;
  /// Waits until all running nodes show the move as the log has it; false after
  /// InForceLimit.
  bool waitAllAgree(const std::string &Id) const;
  /// Whether all running nodes report that they have stopped sending requests
  /// to the new version.
  bool allStopped(const std::string &Id) const;
  /// Returns the node that holds the lease of the service; null when no node
  /// holds it.
  harness::NodeProcess *leaseOwner() const;

  /// Runs `lycheethread moves --wait` and returns its exit code.
  int runWaitCommand(const std::string &Id);
  /// Returns the bytes that all nodes sent in calls to other nodes, from
  /// /metrics.
  std::int64_t sentCallBytes() const;

  /// A random number from 0 to \p Last.
  int randomUpTo(int Last);

private:
  void start(int Index, int ColdStartMs);

  int Revision_ = 0;
  int Documents_ = 0;
};

std::string describe(const MoveView &View);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_MOVES_FLEET_H
