#include "TestMesh.h"
#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

constexpr int DurationSeconds = 10;

void startRollout(TestMesh &Mesh) {
  Mesh.Store.put("keyed.op", "rollout/desk",
                 R"({"backend_service":"desk","target_version":"v2",)"
                 R"("duration_s":)" +
                     std::to_string(DurationSeconds) + "}");
}

std::string rolloutStatus(TestMesh &Mesh) {
  return Mesh.Store.newest("keyed.status", "rollout/desk");
}

/// Sends requests through all nodes, with \p Pause after each round, until
/// \p Finished holds; returns their number.
std::size_t sendRequestsUntil(TestMesh &Mesh,
                              const std::function<bool()> &Finished,
                              milliseconds Pause = milliseconds(2)) {
  std::size_t Sent = 0;
  const auto End = std::chrono::steady_clock::now() +
                   std::chrono::seconds(DurationSeconds + 3);
  while (!Finished() && std::chrono::steady_clock::now() < End) {
    for (auto &Item : Mesh.Instances) {
      Item->get("/read/x");
      Item->post("/write/x", "x");
      Sent += 2;
    }
    std::this_thread::sleep_for(Pause);
  }
  return Sent;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

using SteadyClock = std::chrono::steady_clock;

/// Lets the upstream answer one half of its requests with an error from
/// \p From on.
void failFrom(UpstreamStandIn &Upstream, SteadyClock::time_point From) {
  const auto Requests = std::make_shared<std::atomic<int>>(0);
  Upstream.setBehaviour([From, Requests](const ReceivedRequest &Request) {
    const bool Fails = SteadyClock::now() >= From && ++*Requests % 2 == 0;
    return completeResponse(Request, "x", Fails ? 500 : 200);
  });
}

/// The limit on the requests of a faulty version counts those up to this time.
SteadyClock::time_point timeLimit(SteadyClock::time_point Ordered) {
  return Ordered + std::chrono::seconds(DurationSeconds);
}

/// The names of \p Nodes in the order in which they judge a new version.
std::vector<std::string> judgeOrder(const std::vector<std::string> &Nodes) {
  using namespace lycheethread;
  mesh::NodeTable Known;
  Known.Self = NodeId(Nodes.front());
  for (std::size_t At = 1; At < Nodes.size(); ++At) {
    mesh::NodeReport Report;
    Report.Id = NodeId(Nodes[At]);
    mesh::mergeReport(Known, Report, SteadyTime(1));
  }
  std::vector<std::string> Ordered;
  for (const NodeId &Id :
       mesh::rendezvousOrder(Known, "judge/desk", Nodes.size()))
    Ordered.push_back(Id.str());
  return Ordered;
}

/// Rules for \p Count routes to "desk".
std::string manyRules(int Count) {
  std::string Rules;
  for (int Each = 0; Each < Count; ++Each) {
    const std::string Name =
        "fetch-of-a-package-with-a-long-name-" + std::to_string(Each);
    Rules += R"(,{"name":")" + Name +
             R"(","type":"idempotent","target_latency_s":0.4,"priority":1,)"
             R"("match":{"path_prefix":"/)" +
             Name +
             R"(/"},"action":{"backend_service":"desk","timeout_s":1.2,)"
             R"("attempts":2}})";
  }
  return Rules;
}

/// Six nodes with a rollout, of which the three that judge are beside another
/// service, so that only they are missed.
struct JudgedFleet {
  static constexpr std::size_t Judges = 3;

  std::vector<std::string> Order =
      judgeOrder({"j1", "j2", "j3", "j4", "j5", "j6"});
  TestMesh Mesh{{{Order[0], "store", "v1", "south"},
                 {Order[1], "store", "v1", "south"},
                 {Order[2], "store", "v1", "south"},
                 {Order[3], "desk", "v1"},
                 {Order[4], "store", "v1"},
                 {Order[5], "desk", "v2"}}};
  SteadyClock::time_point Ordered;
  std::size_t Before;
  std::size_t Sent = 0;

  JudgedFleet() : Before(newUpstream().receivedRequests().size()) {
    startRollout(Mesh);
    Ordered = SteadyClock::now();
  }

  UpstreamStandIn &newUpstream() { return Mesh.Instances.back()->upstream(); }
  std::size_t exposed() {
    return newUpstream().receivedRequests().size() - Before;
  }

  /// Sends requests until the time limit; kills the judges on the way.
  void loseJudgesAt(milliseconds Time) {
    sendUntil(Ordered + Time);
    for (std::size_t At = 0; At < Judges; ++At)
      Mesh.at(At).node().kill();
    Mesh.Instances.erase(Mesh.Instances.begin(),
                         Mesh.Instances.begin() + Judges);
    sendUntil(timeLimit(Ordered));
  }

private:
  void sendUntil(SteadyClock::time_point End) {
    Sent += sendRequestsUntil(
        Mesh, [End] { return SteadyClock::now() >= End; }, milliseconds(20));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutsInAFleet)

BOOST_AUTO_TEST_CASE(goodVersionIsCompletedInTime) {
  TestMesh Mesh({{"g1"}, {"g2"}, {"g3", "desk", "v2"}, {"g4", "desk", "v2"}});
  startRollout(Mesh);
  sendRequestsUntil(Mesh,
                    [&] { return contains(rolloutStatus(Mesh), "completed"); });
  BOOST_TEST(contains(rolloutStatus(Mesh), "completed"));
  BOOST_TEST(contains(rolloutStatus(Mesh), "v2"));
}

// Guards against a faulty version that receives more than a tenth of the
// requests, or that stays in use.
BOOST_AUTO_TEST_CASE(badVersionIsRolledBack) {
  TestMesh Mesh({{"f1"}, {"f2"}, {"f3", "desk", "v2"}});
  std::atomic<int> Requests{0};
  Mesh.at(2).upstream().setBehaviour([&](const ReceivedRequest &Request) {
    return completeResponse(Request, "x", ++Requests % 2 == 0 ? 200 : 500);
  });
  // Before the rollout starts, the version is treated like the others.
  const std::size_t Before = Mesh.at(2).upstream().receivedRequests().size();
  startRollout(Mesh);
  std::this_thread::sleep_for(milliseconds(1500));
  const std::size_t AtStart = Mesh.at(2).upstream().receivedRequests().size();
  BOOST_TEST(AtStart >= Before);
  const std::size_t Sent = sendRequestsUntil(
      Mesh, [&] { return contains(rolloutStatus(Mesh), "rolled_back"); });
  BOOST_TEST(contains(rolloutStatus(Mesh), "rolled_back"));
  const std::size_t Exposed =
      Mesh.at(2).upstream().receivedRequests().size() - AtStart;
  BOOST_TEST(Exposed <= Sent / 10 + 50);
  // Requirement: no request reaches the version from 5 s after it has proved
  // faulty.
  std::this_thread::sleep_for(milliseconds(5000));
  const std::size_t AtEnd = Mesh.at(2).upstream().receivedRequests().size();
  for (int Count = 0; Count < 100; ++Count)
    for (auto &Item : Mesh.Instances)
      Item->get("/read/x");
  BOOST_TEST(Mesh.at(2).upstream().receivedRequests().size() == AtEnd);
}

// Guards against a faulty version that is completed since the nodes that judge
// it are lost for good: the others did not look at its failures.
BOOST_AUTO_TEST_CASE(faultyVersionIsNotCompletedWithoutItsJudges) {
  JudgedFleet Fleet;
  failFrom(Fleet.newUpstream(), Fleet.Ordered + milliseconds(6200));
  Fleet.loseJudgesAt(milliseconds(6000));
  BOOST_TEST(contains(rolloutStatus(Fleet.Mesh), "rolled_back"));
  BOOST_TEST_MESSAGE(Fleet.exposed() << " of " << Fleet.Sent << " requests");
  BOOST_TEST(Fleet.exposed() <= Fleet.Sent / 10 + 50);
}

// Guards against a good version that is taken back since the nodes that judge
// it are lost: the others have time to judge it.
BOOST_AUTO_TEST_CASE(goodVersionIsCompletedWithoutItsFirstJudges) {
  JudgedFleet Fleet;
  Fleet.loseJudgesAt(milliseconds(5000));
  BOOST_TEST(contains(rolloutStatus(Fleet.Mesh), "completed"));
}

// Guards against node reports that grow with the number of routes until their
// receivers drop them: the old version vanished, and a faulty one was
// completed.
BOOST_AUTO_TEST_CASE(faultyVersionIsRolledBackAmongManyRoutes) {
  constexpr int Routes = 300;
  TestMesh Mesh({{"m1"}, {"m2"}, {"m3", "store"}, {"m4", "desk", "v2"}});
  Mesh.Store.put("keyed.op", "config", configuration(2, manyRules(Routes)));
  const std::string Last =
      "/fetch-of-a-package-with-a-long-name-" + std::to_string(Routes - 1);
  for (auto &Item : Mesh.Instances)
    BOOST_REQUIRE(
        holdsWithin([&] { return Item->get(Last + "/x").Status == 200; },
                    milliseconds(3000)));
  startRollout(Mesh);
  const auto Ordered = SteadyClock::now();
  failFrom(Mesh.at(3).upstream(), Ordered + milliseconds(6200));
  const std::size_t AtStart = Mesh.at(3).upstream().receivedRequests().size();
  std::size_t Sent = 0;
  while (SteadyClock::now() < timeLimit(Ordered)) {
    for (auto &Item : Mesh.Instances)
      Item->get("/fetch-of-a-package-with-a-long-name-" +
                std::to_string(Sent++ % Routes) + "/x");
    std::this_thread::sleep_for(milliseconds(2));
  }
  BOOST_TEST(contains(rolloutStatus(Mesh), "rolled_back"));
  const std::size_t Exposed =
      Mesh.at(3).upstream().receivedRequests().size() - AtStart;
  BOOST_TEST_MESSAGE(Exposed << " of " << Sent << " requests");
  BOOST_TEST(Exposed <= Sent / 10 + 50);
}

BOOST_AUTO_TEST_SUITE_END()
