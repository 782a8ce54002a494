#include "TestCluster.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// Two upstreams with 8 workers each and 20 ms a request serve 800 requests a
/// second.
const std::vector<std::string> LimitedUpstream{
    "--workers", "8", "--service-time-ms", "20", "--slots", "1000"};
constexpr int DeadlineMs = 400;
/// Allowance for delivering a refusal after the deadline on a busy machine.
constexpr int DeadlineToleranceMs = 200;
constexpr int MinServedPercent = 90;
constexpr int LoadMs = 5000;

struct AnswerCounts {
  std::mutex Lock;
  int Served = 0;
  int Refused = 0;
  int Late = 0;

  void add(const HttpAnswer &Answer) {
    const std::lock_guard<std::mutex> Guard(Lock);
    ++(Answer.Status == 200 ? Served : Refused);
    Late += Answer.Took.count() > DeadlineMs + DeadlineToleranceMs ? 1 : 0;
  }
  int percent() const {
    return Served + Refused == 0 ? 0 : Served * 100 / (Served + Refused);
  }
  std::string text() const {
    return std::to_string(Served) + " of " + std::to_string(Served + Refused) +
           " served, " + std::to_string(Late) + " late";
  }
};

HttpCall makeLookup(const TestCluster &Cluster, int Number,
                    const std::string &Caller) {
  HttpCall Call = Cluster.makeCall(
      *Cluster.Nodes[static_cast<std::size_t>(Number % 2)], "GET", "/lookup");
  Call.Headers["lt-caller"] = Caller;
  Call.Headers["lt-deadline-ms"] = std::to_string(DeadlineMs);
  return Call;
}

void addLimitedNodes(TestCluster &Cluster) {
  Cluster.addForService("desk", "west-1", LimitedUpstream);
  Cluster.addForService("desk", "west-2", LimitedUpstream);
  Cluster.waitUntilReady();
}

} // namespace

// Guards against a caller that sends twice the capacity and thereby takes the
// share of the other callers, and against answers after the deadline.
BOOST_AUTO_TEST_CASE(OthersKeepTheirShareUnderOverload) {
  TestCluster Cluster("overload");
  addLimitedNodes(Cluster);
  AnswerCounts Greedy;
  AnswerCounts Others;
  // The greedy caller sends twice the capacity: 80 threads with 20 calls a
  // second each. Three other callers share 8 threads with 20 calls a second
  // each, together a fifth of the capacity.
  WorkerThreads Load(88, [&](int Number, int) {
    const auto Start = std::chrono::steady_clock::now();
    const bool IsGreedy = Number < 80;
    const HttpCall Call = makeLookup(
        Cluster, Number,
        IsGreedy ? "greedy" : "modest-" + std::to_string(Number % 3));
    (IsGreedy ? Greedy : Others).add(send(Call));
    std::this_thread::sleep_until(Start + std::chrono::milliseconds(50));
  });
  pause(LoadMs);
  Load.stop();
  report("7 overload", "one caller sends twice the capacity",
         "greedy " + Greedy.text() + "; others " + Others.text());
  BOOST_TEST(Others.percent() >= MinServedPercent);
  BOOST_TEST(Greedy.Late + Others.Late == 0);
}

// Guards against uploads that occupy all slots.
BOOST_AUTO_TEST_CASE(UploadsLeaveSlotsForLookups) {
  TestCluster Cluster("uploads");
  addLimitedNodes(Cluster);
  AnswerCounts Uploads;
  AnswerCounts Lookups;
  WorkerThreads Load(60, [&](int Number, int) {
    if (Number < 52) {
      HttpCall Call =
          Cluster.makeCall(*Cluster.Nodes[static_cast<std::size_t>(Number % 2)],
                           "POST", "/upload");
      Call.Headers["lt-caller"] = "restorer-" + std::to_string(Number);
      Call.Body.assign(400000, 'u');
      Uploads.add(send(Call));
      return pause(20);
    }
    Lookups.add(
        send(makeLookup(Cluster, Number, "caller-" + std::to_string(Number))));
    pause(20);
  });
  pause(LoadMs);
  Load.stop();
  report("7 overload", "52 uploaders at 40 slots",
         "uploads " + Uploads.text() + "; lookups " + Lookups.text());
  BOOST_TEST(Lookups.percent() >= MinServedPercent);
  BOOST_TEST(Lookups.Late == 0);
}

// Guards against retries that multiply from service to service when the answers
// of the last service in a chain are lost.
BOOST_AUTO_TEST_CASE(RetriesStayInTheBudgetInAChain) {
  TestCluster Cluster("chain");
  const std::vector<std::string> Services{"tier1", "tier2", "tier3", "tier4"};
  for (const std::string &Service : Services)
    Cluster.publish(Service, 3000);
  for (const std::string &Service : Services)
    for (const char *Suffix : {"-a", "-b"})
      Cluster.addForService(Service, Service + Suffix, {"--slots", "1000"},
                            Service == "tier4");
  Cluster.waitUntilReady();
  // The last service executes each call, but its answer is lost.
  for (std::size_t I = 6; I < 8; ++I)
    Cluster.Nodes[I]->UpstreamLink->rule(
        R"("direction":"down","close_after_bytes":1)");
  constexpr int Threads = 8;
  constexpr int CallsPerThread = 30;
  std::vector<std::thread> Load;
  for (int Number = 0; Number < Threads; ++Number)
    Load.emplace_back([&, Number] {
      for (int Iteration = 0; Iteration < CallsPerThread; ++Iteration) {
        HttpCall Call = Cluster.makeCall(
            *Cluster.Nodes[static_cast<std::size_t>(Number % 2)], "GET",
            "/lookup?service=tier2&path=/lookup%3Fservice%3Dtier3%26path%3D"
            "/lookup%253Fservice%253Dtier4%2526path%253D/lookup");
        Call.Headers["Host"] = "tier1";
        Call.Headers["lt-caller"] = "caller-" + std::to_string(Number);
        Call.Headers["x-run-id"] = "chain";
        send(Call);
      }
    });
  for (std::thread &Each : Load)
    Each.join();
  constexpr int OriginalCalls = Threads * CallsPerThread;
  // The retry budget is 10% of the original calls, plus ten retries that each
  // of the two nodes has at the start.
  constexpr int MaxExecutions = OriginalCalls + OriginalCalls / 10 + 20;
  std::size_t LastExecutions = 0;
  std::string Text = std::to_string(OriginalCalls) + " calls;";
  for (std::size_t I = 0; I < Services.size(); ++I) {
    const std::size_t Executions =
        Cluster.executionsAt(*Cluster.Nodes[2 * I]).size() +
        Cluster.executionsAt(*Cluster.Nodes[2 * I + 1]).size();
    Text += " " + Services[I] + " " + std::to_string(Executions);
    BOOST_TEST(Executions <= static_cast<std::size_t>(MaxExecutions));
    BOOST_TEST(Executions >= static_cast<std::size_t>(OriginalCalls));
    LastExecutions = Executions;
  }
  // Otherwise there were no retries that the budget could limit.
  BOOST_TEST(LastExecutions > static_cast<std::size_t>(OriginalCalls));
  report("7 retries", "answers of the last of four services are lost", Text);
}
