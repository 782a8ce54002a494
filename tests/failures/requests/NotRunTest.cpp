#include "World.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// What callers were told of each request.
struct Statements {
  std::mutex Lock;
  std::map<std::string, std::string> NotRun;
  std::map<std::string, int> Counts;
  int Sent = 0;
};

void note(Statements &To, const std::string &Id, const HttpAnswer &Answer) {
  const std::lock_guard<std::mutex> Guard(To.Lock);
  ++To.Sent;
  const std::string ExecutionStatus = Answer.header("lt-executed");
  if (Answer.Status == 0)
    ++To.Counts["unanswered"];
  else if (Answer.header("lt-refusal-id").empty())
    ++To.Counts["answered"];
  else
    ++To.Counts["refused/" + ExecutionStatus];
  if (ExecutionStatus == "no")
    To.NotRun[Id] =
        Answer.header("lt-reason") + " from " + Answer.header("lt-path");
}

/// Faults after which nodes refuse without running the request.
void refuseWork(World &Tested, NodeProcess &Node) {
  const bool LogLost = Tested.random(0, 1) == 0;
  Tested.LogFault->rule(LogLost ? R"("direction":"down","close_after_bytes":1)"
                                : R"("mode":"reset")");
  HttpCall Shed;
  Shed.Port = Node.UpstreamPort;
  Shed.Path = "/control?drain=1";
  send(Shed);
  pause(Tested.random(200, 600));
  Shed.Path = "/control?drain=0";
  send(Shed);
  Tested.LogFault->rule("");
}

void disturb(World &Tested, int Round) {
  NodeProcess &Node =
      *Tested.Nodes[static_cast<std::size_t>(Tested.random(0, 3))];
  switch (Round % 6) {
  case 0:
    Node.Upstream->kill();
    pause(Tested.random(50, 400));
    Tested.restartUpstream(Node);
    break;
  case 1:
    Node.Process->kill();
    pause(300);
    Tested.restart(Node);
    Mesh::waitReady(Node, std::chrono::seconds(10));
    break;
  case 2:
    Node.Process->pause();
    pause(Tested.random(300, 2000));
    Node.Process->resume();
    break;
  case 3:
    Node.Upstream->pause();
    pause(1800);
    Node.Upstream->resume();
    break;
  case 4:
    refuseWork(Tested, Node);
    break;
  default: {
    const FaultProcess &Link =
        *Tested.Nodes[Tested.random(0, 1) == 0 ? 0 : 2]->UpstreamLink;
    Link.rule(R"("direction":"down","close_after_bytes":)" +
              std::to_string(Tested.random(1, 60)));
    pause(Tested.random(200, 600));
    Link.rule("");
  }
  }
  pause(200);
}

std::string text(const std::map<std::string, int> &Counts) {
  std::string Text;
  for (const auto &[Name, Count] : Counts)
    Text += ", " + std::to_string(Count) + " " + Name;
  return Text;
}

} // namespace

// Guards against a refusal that says "not executed" of an order that an
// upstream ran, which makes the caller place it a second time, and against a
// node that repeats an order by itself.
BOOST_AUTO_TEST_CASE(ARefusalThatSaysNotRunIsTrue) {
  World Tested("not-run");
  Tested.addFour(true);
  Statements Told;
  Callers Load(16, [&](int Caller, int Turn) {
    const std::string Id = std::to_string(Caller) + "-" + std::to_string(Turn);
    HttpCall Call =
        Tested.call(*Tested.Nodes[static_cast<std::size_t>(Caller % 4)], "POST",
                    "/orders?ms=" + std::to_string(Turn % 7 * 10));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Call.Headers["x-run-id"] = Id;
    if (Caller % 8 < 4)
      Call.Headers["idempotency-key"] = Id;
    Call.Body = "order " + Id;
    Call.Timeout = std::chrono::milliseconds(5000);
    const HttpAnswer Answer = send(Call);
    note(Told, Id, Answer);
    // A killed entry refuses connections at once.
    pause(Answer.Status == 0 ? 50 : 5);
  });
  for (int Round = 0; Round < 12; ++Round)
    disturb(Tested, Round);
  Load.stop();
  pause(1000);
  const auto Runs = Tested.runs();
  int Untrue = 0;
  int Twice = 0;
  std::string Example;
  for (const auto &[Id, Why] : Told.NotRun)
    if (Runs.count(Id) != 0) {
      ++Untrue;
      Example = " (" + Id + ": " + Why + ")";
    }
  for (const auto &[Id, Count] : Runs)
    Twice += Count > 1 ? 1 : 0;
  report("2 not run is true",
         "upstreams killed, frozen, shed; nodes killed, frozen; answers lost, "
         "log cut",
         std::to_string(Told.Sent) + " orders" + text(Told.Counts) + "; " +
             std::to_string(Untrue) + " untrue" + Example + ", " +
             std::to_string(Twice) + " ran twice");
  BOOST_TEST(Untrue == 0);
  BOOST_TEST(Twice == 0);
  BOOST_TEST(Told.Counts["answered"] > 500);
  BOOST_TEST(Told.NotRun.size() > 0U);
}
