#include "TestCluster.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// An unavailable upstream receives no new requests after this time.
constexpr int RemovalLimitMs = 4000;
constexpr int ObservationMs = 3000;

/// Counts answers while active; failed ones by status and reason.
struct AnswerCounter {
  std::mutex Lock;
  bool Active = false;
  bool CountsUnanswered = true;
  int Served = 0;
  int Failed = 0;
  std::map<std::string, int> Reasons;

  void add(const HttpAnswer &Answer) {
    const std::lock_guard<std::mutex> Guard(Lock);
    if (!Active || (Answer.Status == 0 && !CountsUnanswered))
      return;
    if (Answer.Status == 200) {
      ++Served;
      return;
    }
    ++Failed;
    ++Reasons[std::to_string(Answer.Status) + "/" + Answer.header("lt-reason")];
  }

  void setActive(bool Enabled) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Active = Enabled;
  }

  void setUnansweredCount(bool Counts) {
    const std::lock_guard<std::mutex> Guard(Lock);
    CountsUnanswered = Counts;
  }

  std::string takeSummary(int &FailedCount, int &ServedCount) {
    const std::lock_guard<std::mutex> Guard(Lock);
    std::string Text =
        std::to_string(Served) + " served, " + std::to_string(Failed) + " not";
    for (const auto &[Name, Count] : Reasons)
      Text += ", " + std::to_string(Count) + " " + Name;
    FailedCount = Failed;
    ServedCount = Served;
    Served = Failed = 0;
    Reasons.clear();
    return Text;
  }
};

void controlUpstream(const NodeProcess &Node, const std::string &Query) {
  HttpCall Call;
  Call.Port = Node.UpstreamPort;
  Call.Path = "/control?" + Query;
  send(Call);
}

/// Waits for RemovalLimitMs and then requires that all requests are served for
/// ObservationMs.
void checkAllServed(AnswerCounter &Answers, const std::string &Injected) {
  pause(RemovalLimitMs);
  Answers.setActive(true);
  pause(ObservationMs);
  Answers.setActive(false);
  int Failed = 0;
  int Served = 0;
  report("6 dead upstream", Injected, Answers.takeSummary(Failed, Served));
  BOOST_TEST(Failed == 0, Injected);
  BOOST_TEST(Served > 50, Injected);
}

} // namespace

// Guards against requests that are still sent to an upstream that died or
// sheds everything, and against health endpoints that make a whole service
// unavailable by reporting bad.
BOOST_AUTO_TEST_CASE(AnUpstreamThatIsGoneGetsNoWork) {
  TestCluster Cluster("dead");
  Cluster.addFourNodes(false);
  AnswerCounter Answers;
  WorkerThreads Load(8, [&](int Caller, int Iteration) {
    HttpCall Call = Cluster.makeCall(
        *Cluster.Nodes[static_cast<std::size_t>(Caller % 4)], "GET",
        "/lookup?ms=10&n=" + std::to_string(Caller) + "-" +
            std::to_string(Iteration));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Answers.add(send(Call));
    pause(10);
  });
  for (const NodeProcess *Each : Cluster.Nodes)
    controlUpstream(*Each, "health=bad");
  checkAllServed(Answers, "every health endpoint says bad");
  for (const NodeProcess *Each : Cluster.Nodes)
    controlUpstream(*Each, "health=good");
  Cluster.Nodes[1]->Upstream->kill();
  checkAllServed(Answers, "an upstream was killed");
  Cluster.restartUpstream(*Cluster.Nodes[1]);
  pause(2000);
  // Callers at the killed node get no answer; these calls are not counted.
  Answers.setUnansweredCount(false);
  Cluster.Nodes[2]->Process->kill();
  checkAllServed(Answers, "the node beside an upstream was killed");
  Load.stop();
}

// Guards against requests that are sent to an upstream that drains and sheds
// all of them.
BOOST_AUTO_TEST_CASE(AnUpstreamThatDrainsGetsNoWork) {
  TestCluster Cluster("drains");
  Cluster.addFourNodes(false);
  AnswerCounter Answers;
  WorkerThreads Load(8, [&](int Caller, int Iteration) {
    HttpCall Call = Cluster.makeCall(
        *Cluster.Nodes[static_cast<std::size_t>(Caller % 4)], "GET",
        "/lookup?ms=10&n=" + std::to_string(Caller) + "-" +
            std::to_string(Iteration));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Answers.add(send(Call));
    pause(10);
  });
  controlUpstream(*Cluster.Nodes[1], "drain=1");
  checkAllServed(Answers, "an upstream drains and sheds");
  Load.stop();
}
