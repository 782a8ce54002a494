#ifndef LYCHEETHREAD_TESTS_FAILURES_MOVES_FLEET_H
#define LYCHEETHREAD_TESTS_FAILURES_MOVES_FLEET_H

#include "Mesh.h"
#include "bootstrap/Bootstrap.h"

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace lycheethread::failures {

/// Seed from the command line, after "--"; 1 without one.
std::uint64_t seedOf();

/// Prints one line of the result table.
void printLine(const std::string &Point, const std::string &Injected,
               const std::string &Observed);

/// What the nodes say about one move.
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

/// Eight instances of the service "desk", half of each version, in two
/// regions.
class Fleet {
public:
  /// Starts everything and publishes a document with version v1. Throws
  /// std::runtime_error when that fails. \p ColdMs is the time for which the
  /// upstreams of v2 are slow after their start.
  explicit Fleet(const std::string &TestName, int ColdMs = 0);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  harness::FaultProcess *LogFault = nullptr;
  std::vector<harness::NodeProcess *> Nodes;
  std::mt19937_64 Random;

  /// Publishes a move from v1 to v2 that has to end in \p Seconds; returns its
  /// id. Requires that it is accepted.
  std::string startMove(int Seconds);
  /// The document of the next publication.
  std::string documentFor(int Seconds) const;
  harness::Mesh::Run publish(const std::string &Text, const std::string &Name);
  int revision() const { return Revision_; }
  void noteRevision() { ++Revision_; }

  /// Sends \p Query to /control of the upstreams of \p Version.
  void control(const std::string &Version, const std::string &Query) const;

  /// The control stream folded to its head.
  config::ConfigState folded() const;
  /// The move as folded from the log; empty status when it is unknown.
  MoveView inLog(const std::string &Id) const;
  /// The move as the node's status shows it; empty status without an answer.
  static MoveView seenBy(const harness::NodeProcess &Node,
                         const std::string &Id);
  /// The deadline of a running move.
  std::chrono::steady_clock::time_point deadline(const std::string &Id) const;
  bool waitEnded(const std::string &Id, std::chrono::milliseconds Limit) const;
  bool waitSteps(const std::string &Id, int Steps,
                 std::chrono::milliseconds Limit) const;
  /// Whether all running nodes come to show the move as the log has it.
  bool allAgree(const std::string &Id) const;
  /// Whether all running nodes send nothing to the new version.
  bool allStopped(const std::string &Id) const;
  /// The holder of the service's lease; null when it is no node's.
  harness::NodeProcess *owner() const;

  /// Exit code of `lycheethread moves --wait`.
  int waitCommand(const std::string &Id);
  /// Bytes of calls between nodes that the running nodes sent, by /metrics.
  std::int64_t callBytes() const;

  /// A random number from 0 to \p Last.
  int pick(int Last);

private:
  void start(int Index, int ColdMs);

  int Revision_ = 0;
  int Documents_ = 0;
};

std::string describe(const MoveView &View);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_MOVES_FLEET_H
