#include "TestCluster.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// A request is quarantined after it has crashed an upstream twice.
constexpr int MaxCrashes = 2;
constexpr int CrashingRequestCount = 24;
/// Share of the other lookups that must be answered while the upstreams crash.
constexpr int MinServedPercent = 90;

struct Tally {
  std::mutex Lock;
  std::map<std::string, int> Counts;

  void add(const HttpAnswer &Answer) {
    const std::string Reason = Answer.header("lt-reason");
    const std::lock_guard<std::mutex> Guard(Lock);
    ++Counts[Answer.Status == 0 ? "unanswered"
                                : std::to_string(Answer.Status) +
                                      (Reason.empty() ? "" : "/" + Reason)];
  }
  int total() const {
    int Sum = 0;
    for (const auto &Item : Counts)
      Sum += Item.second;
    return Sum;
  }
  std::string formatCounts() const {
    std::string Text;
    for (const auto &[Name, Count] : Counts)
      Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + " " + Name;
    return Text;
  }
};

/// Restarts upstreams that have ended and counts these crashes.
class Restarter {
public:
  explicit Restarter(TestCluster &Cluster)
      : Loop_(1, [this, &Cluster](int, int) {
          for (NodeProcess *Each : Cluster.Nodes)
            if (!Each->Upstream->running()) {
              ++Crashes_;
              Cluster.restartUpstream(*Each);
            }
          pause(100);
        }) {}

  int crashes() const { return Crashes_; }
  void stop() { Loop_.stop(); }

private:
  std::atomic<int> Crashes_{0};
  WorkerThreads Loop_;
};

/// Answers to a request that crashes every upstream and to other requests.
struct CrashResult {
  int Executions = 0;
  int Crashes = 0;
  Tally CrashingRequest;
  Tally OtherRequests;
};

/// Repeats a crashing request through every node while eight callers send
/// lookups, which are all distinct or all the same.
void repeatCrashingRequest(TestCluster &Cluster, bool Distinct,
                           CrashResult &Result) {
  Restarter UpstreamRestarter(Cluster);
  WorkerThreads Load(8, [&](int Caller, int Iteration) {
    const std::string DistinctQuery =
        "&n=" + std::to_string(Caller) + "-" + std::to_string(Iteration);
    HttpCall Call = Cluster.makeCall(
        *Cluster.Nodes[static_cast<std::size_t>(Caller % 4)], "GET",
        "/lookup?ms=20" + (Distinct ? DistinctQuery : ""));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Result.OtherRequests.add(send(Call));
  });
  pause(500);
  for (int Iteration = 0; Iteration < CrashingRequestCount; ++Iteration) {
    HttpCall Call = Cluster.makeCall(
        *Cluster.Nodes[static_cast<std::size_t>(Iteration % 4)], "GET",
        "/lookup?n=poison");
    Call.Headers["lt-caller"] = "poisoner";
    Call.Headers["x-crash"] = "1";
    Call.Headers["x-run-id"] = "poison";
    Result.CrashingRequest.add(send(Call));
    pause(Cluster.randomBetween(0, 150));
  }
  pause(1000);
  Load.stop();
  UpstreamRestarter.stop();
  const auto Executions = Cluster.executionsById();
  Result.Executions =
      Executions.count("poison") == 0 ? 0 : Executions.at("poison");
  Result.Crashes = UpstreamRestarter.crashes();
}

std::string formatCounts(const CrashResult &Result) {
  return std::to_string(Result.Executions) + " runs, " +
         std::to_string(Result.Crashes) +
         " crashes; its answers: " + Result.CrashingRequest.formatCounts() +
         "; other requests: " + Result.OtherRequests.formatCounts();
}

} // namespace

// Guards against a request that crashes one upstream after another because its
// caller repeats it through every node.
BOOST_AUTO_TEST_CASE(ACrashingRequestStopsAfterTwoCrashes) {
  TestCluster Cluster("crash");
  Cluster.addFourNodes(false);
  CrashResult Result;
  repeatCrashingRequest(Cluster, true, Result);
  report("5 crashing request", "one request crashes each upstream, repeated",
         formatCounts(Result));
  BOOST_TEST(Result.Executions <= MaxCrashes);
  BOOST_TEST(Result.Crashes <= MaxCrashes);
  BOOST_TEST(Result.OtherRequests.Counts["200"] * 100 >=
             Result.OtherRequests.total() * MinServedPercent);
}

// Guards against the quarantine of a popular page: requests for it are in
// progress at every crash without being the cause.
BOOST_AUTO_TEST_CASE(APageThatAllReadIsServedAfterCrashes) {
  TestCluster Cluster("crash-page");
  Cluster.addFourNodes(false);
  CrashResult Result;
  repeatCrashingRequest(Cluster, false, Result);
  report("5 crashing request", "the same, others all read one page",
         formatCounts(Result));
  BOOST_TEST(Result.Executions <= MaxCrashes);
  BOOST_TEST(Result.OtherRequests.Counts["200"] * 100 >=
             Result.OtherRequests.total() * MinServedPercent);
}
