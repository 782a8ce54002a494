#include "TestCluster.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// Answers that the callers received. NotExecuted has the refusals that say
/// that the request was not executed, by request id.
struct AnswerRecord {
  std::mutex Lock;
  std::map<std::string, std::string> NotExecuted;
  std::map<std::string, int> Counts;
  int Sent = 0;
};

void recordAnswer(AnswerRecord &Record, const std::string &Id,
                  const HttpAnswer &Answer) {
  const std::lock_guard<std::mutex> Guard(Record.Lock);
  ++Record.Sent;
  const std::string ExecutionStatus = Answer.header("lt-executed");
  if (Answer.Status == 0)
    ++Record.Counts["unanswered"];
  else if (Answer.header("lt-refusal-id").empty())
    ++Record.Counts["answered"];
  else
    ++Record.Counts["refused/" + ExecutionStatus];
  if (ExecutionStatus == "no")
    Record.NotExecuted[Id] =
        Answer.header("lt-reason") + " from " + Answer.header("lt-path");
}

/// Makes nodes refuse requests without executing them: the log loses its
/// answers or resets connections while the upstream drains.
void makeNodesRefuse(TestCluster &Cluster, NodeProcess &Node) {
  const bool LosesAnswers = Cluster.randomBetween(0, 1) == 0;
  Cluster.LogFault->rule(LosesAnswers
                             ? R"("direction":"down","close_after_bytes":1)"
                             : R"("mode":"reset")");
  HttpCall Control;
  Control.Port = Node.UpstreamPort;
  Control.Path = "/control?drain=1";
  send(Control);
  pause(Cluster.randomBetween(200, 600));
  Control.Path = "/control?drain=0";
  send(Control);
  Cluster.LogFault->rule("");
}

void injectFault(TestCluster &Cluster, int Round) {
  NodeProcess &Node =
      *Cluster.Nodes[static_cast<std::size_t>(Cluster.randomBetween(0, 3))];
  switch (Round % 6) {
  case 0:
    Node.Upstream->kill();
    pause(Cluster.randomBetween(50, 400));
    Cluster.restartUpstream(Node);
    break;
  case 1:
    Node.Process->kill();
    pause(300);
    Cluster.restart(Node);
    Mesh::waitReady(Node, std::chrono::seconds(10));
    break;
  case 2:
    Node.Process->pause();
    pause(Cluster.randomBetween(300, 2000));
    Node.Process->resume();
    break;
  case 3:
    Node.Upstream->pause();
    pause(1800);
    Node.Upstream->resume();
    break;
  case 4:
    makeNodesRefuse(Cluster, Node);
    break;
  default: {
    const FaultProcess &Link =
        *Cluster.Nodes[Cluster.randomBetween(0, 1) == 0 ? 0 : 2]->UpstreamLink;
    Link.rule(R"("direction":"down","close_after_bytes":)" +
              std::to_string(Cluster.randomBetween(1, 60)));
    pause(Cluster.randomBetween(200, 600));
    Link.rule("");
  }
  }
  pause(200);
}

std::string formatCounts(const std::map<std::string, int> &Counts) {
  std::string Text;
  for (const auto &[Name, Count] : Counts)
    Text += ", " + std::to_string(Count) + " " + Name;
  return Text;
}

} // namespace

// Guards against a refusal that says "not executed" although an upstream
// executed the order, so that the caller places it a second time, and against a
// node that repeats an order by itself.
BOOST_AUTO_TEST_CASE(ARefusalThatSaysNotRunIsTrue) {
  TestCluster Cluster("not-run");
  Cluster.addFourNodes(true);
  AnswerRecord Answers;
  WorkerThreads Load(16, [&](int Caller, int Iteration) {
    const std::string Id =
        std::to_string(Caller) + "-" + std::to_string(Iteration);
    HttpCall Call = Cluster.makeCall(
        *Cluster.Nodes[static_cast<std::size_t>(Caller % 4)], "POST",
        "/orders?ms=" + std::to_string(Iteration % 7 * 10));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Call.Headers["x-run-id"] = Id;
    if (Caller % 8 < 4)
      Call.Headers["idempotency-key"] = Id;
    Call.Body = "order " + Id;
    Call.Timeout = std::chrono::milliseconds(5000);
    const HttpAnswer Answer = send(Call);
    recordAnswer(Answers, Id, Answer);
    // Waits longer after a failed call: a killed entry node refuses connections
    // immediately.
    pause(Answer.Status == 0 ? 50 : 5);
  });
  for (int Round = 0; Round < 12; ++Round)
    injectFault(Cluster, Round);
  Load.stop();
  pause(1000);
  const auto Executions = Cluster.executionsById();
  int FalseRefusals = 0;
  int RepeatedExecutions = 0;
  std::string Example;
  for (const auto &[Id, Refusal] : Answers.NotExecuted)
    if (Executions.count(Id) != 0) {
      ++FalseRefusals;
      Example = " (" + Id + ": " + Refusal + ")";
    }
  for (const auto &[Id, Count] : Executions)
    RepeatedExecutions += Count > 1 ? 1 : 0;
  report("2 not run is true",
         "upstreams killed, frozen, shed; nodes killed, frozen; answers lost, "
         "log cut",
         std::to_string(Answers.Sent) + " orders" +
             formatCounts(Answers.Counts) + "; " +
             std::to_string(FalseRefusals) + " executed although refused" +
             Example + ", " + std::to_string(RepeatedExecutions) +
             " executed more than once");
  BOOST_TEST(FalseRefusals == 0);
  BOOST_TEST(RepeatedExecutions == 0);
  BOOST_TEST(Answers.Counts["answered"] > 500);
  BOOST_TEST(Answers.NotExecuted.size() > 0U);
}
