#include "TestCluster.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

constexpr int KeysPerRound = 12;

/// Sends requests with idempotency keys and repeats each of them through other
/// nodes.
class Repeater {
public:
  explicit Repeater(TestCluster &Cluster) : Cluster_(Cluster) {}

  /// Sends the first attempts of a round through the node in parallel, without
  /// waiting for the answers.
  void start(const std::string &Round, std::size_t EntryIndex) {
    for (int I = 0; I < KeysPerRound; ++I)
      Threads_.emplace_back(
          [this, Key = Round + "-" + std::to_string(I), EntryIndex] {
            attempt(Key, EntryIndex, "first");
          });
  }

  /// Repeats the requests of a round through the node and waits for the
  /// answers.
  void repeat(const std::string &Round, std::size_t EntryIndex) {
    std::vector<std::thread> Repeats;
    for (int I = 0; I < KeysPerRound; ++I)
      Repeats.emplace_back([this, Key = Round + "-" + std::to_string(I),
                            EntryIndex] { attempt(Key, EntryIndex, "again"); });
    for (std::thread &Each : Repeats)
      Each.join();
  }

  void join() {
    for (std::thread &Each : Threads_)
      Each.join();
    Threads_.clear();
  }

  std::map<std::string, int> Counts;

private:
  void attempt(const std::string &Key, std::size_t EntryIndex,
               const std::string &Attempt) {
    HttpCall Call = Cluster_.makeCall(*Cluster_.Nodes[EntryIndex], "POST",
                                      "/orders?ms=100");
    Call.Headers["idempotency-key"] = Key;
    Call.Headers["x-run-id"] = Key;
    Call.Headers["lt-caller"] = "caller-" + Key;
    Call.Body = "order " + Key;
    Call.Timeout = std::chrono::milliseconds(5000);
    const HttpAnswer Answer = send(Call);
    const std::string ExecutionStatus = Answer.header("lt-executed");
    const std::lock_guard<std::mutex> Guard(Lock_);
    ++Counts[Attempt + "/" +
             (Answer.Status == 0
                  ? "unanswered"
                  : std::to_string(Answer.Status) +
                        (ExecutionStatus.empty() ? ""
                                                 : "/" + ExecutionStatus))];
  }

  TestCluster &Cluster_;
  std::mutex Lock_;
  std::vector<std::thread> Threads_;
};

std::string formatCounts(const std::map<std::string, int> &Counts) {
  std::string Text;
  for (const auto &[Name, Count] : Counts)
    Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + " " + Name;
  return Text;
}

void checkAtMostOnce(const TestCluster &Cluster, const std::string &Injected,
                     Repeater &KeyCalls) {
  const auto Executions = Cluster.executionsById();
  int RepeatedExecutions = 0;
  std::string Example;
  for (const auto &[Id, Count] : Executions)
    if (Count > 1) {
      ++RepeatedExecutions;
      Example = " (" + Id + ")";
    }
  report("3 at most once", Injected,
         std::to_string(Executions.size()) + " keys executed, " +
             std::to_string(RepeatedExecutions) + " twice" + Example + "; " +
             formatCounts(KeyCalls.Counts));
  BOOST_TEST(RepeatedExecutions == 0);
  KeyCalls.Counts.clear();
}

} // namespace

// Guards against a second execution of an idempotency key that the caller
// repeats through another node and region while the outcome of the first
// attempt is unknown.
BOOST_AUTO_TEST_CASE(AKeyRunsAtMostOnce) {
  TestCluster Cluster("once");
  Cluster.addFourNodes(false);
  Repeater KeyCalls(Cluster);

  KeyCalls.start("plain", 0);
  KeyCalls.repeat("plain", 2);
  KeyCalls.repeat("plain", 3);
  KeyCalls.join();
  checkAtMostOnce(Cluster, "repeats at once through the other region",
                  KeyCalls);

  for (int Round = 0; Round < 2; ++Round) {
    const std::string Name = "upstream" + std::to_string(Round);
    Cluster.Nodes[0]->Upstream->pause();
    Cluster.Nodes[1]->Upstream->pause();
    KeyCalls.start(Name, 0);
    pause(Cluster.randomBetween(0, 400));
    KeyCalls.repeat(Name, 2);
    // In the second round the upstreams stay frozen until the first attempts
    // have reached their deadline.
    pause(Round * 1600);
    Cluster.Nodes[0]->Upstream->resume();
    Cluster.Nodes[1]->Upstream->resume();
    KeyCalls.repeat(Name, 3);
    KeyCalls.join();
  }
  checkAtMostOnce(Cluster, "upstreams of the first attempt frozen", KeyCalls);

  for (int Round = 0; Round < 2; ++Round) {
    const std::string Name = "node" + std::to_string(Round);
    KeyCalls.start(Name, 0);
    pause(Cluster.randomBetween(0, 60));
    Cluster.Nodes[1]->Process->pause();
    KeyCalls.repeat(Name, 2);
    pause(500);
    KeyCalls.repeat(Name, 0);
    Cluster.Nodes[1]->Process->resume();
    KeyCalls.repeat(Name, 3);
    KeyCalls.join();
    pause(300);
  }
  checkAtMostOnce(Cluster, "node of the last hop frozen", KeyCalls);

  KeyCalls.start("killed", 0);
  pause(Cluster.randomBetween(0, 90));
  Cluster.Nodes[1]->Process->kill();
  Cluster.Nodes[1]->Upstream->kill();
  KeyCalls.repeat("killed", 2);
  KeyCalls.repeat("killed", 0);
  KeyCalls.join();
  Cluster.restartUpstream(*Cluster.Nodes[1]);
  Cluster.restart(*Cluster.Nodes[1]);
  BOOST_TEST(Mesh::waitReady(*Cluster.Nodes[1], std::chrono::seconds(10)));
  KeyCalls.repeat("killed", 1);
  checkAtMostOnce(Cluster, "instance of the last hop killed", KeyCalls);

  KeyCalls.start("log", 0);
  pause(Cluster.randomBetween(20, 90));
  Cluster.LogFault->rule(R"("mode":"reset")");
  KeyCalls.repeat("log", 2);
  KeyCalls.repeat("log", 1);
  Cluster.LogFault->rule("");
  pause(600);
  // The first claims after an outage only detect that the log is available
  // again, so the requests are sent twice.
  KeyCalls.repeat("log", 3);
  KeyCalls.repeat("log", 3);
  KeyCalls.repeat("log", 0);
  KeyCalls.join();
  // The log receives the appends and only its answers are lost.
  Cluster.LogFault->rule(R"("direction":"down","close_after_bytes":1)");
  KeyCalls.start("lost", 0);
  KeyCalls.repeat("lost", 2);
  Cluster.LogFault->rule("");
  pause(600);
  KeyCalls.repeat("lost", 3);
  KeyCalls.repeat("lost", 3);
  KeyCalls.repeat("lost", 0);
  KeyCalls.join();
  pause(500);
  checkAtMostOnce(Cluster, "log down, answers of the log lost", KeyCalls);
}
