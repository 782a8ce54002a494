#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

std::size_t requestCount(UpstreamStandIn &Upstream) {
  return Upstream.receivedRequests().size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Leaving)

// Guards against requests that are sent to an upstream after the node
// acknowledged its "draining" state.
BOOST_AUTO_TEST_CASE(drainingUpstreamReceivesNoMoreRequests) {
  TestMesh Mesh({{"l1"}, {"l2"}, {"l3", "store"}});
  Mesh.at(0).setState("draining");
  BOOST_REQUIRE(Mesh.at(0).checkIn("draining") == 200);
  const std::size_t Before = requestCount(Mesh.at(0).upstream());
  for (int Count = 0; Count < 60; ++Count)
    for (const std::size_t Entry : {0U, 1U, 2U})
      BOOST_TEST(Mesh.at(Entry).get("/read/x").Status == 200);
  BOOST_TEST(requestCount(Mesh.at(0).upstream()) == Before);
}

// Guards against a shutdown that aborts a request in progress.
BOOST_AUTO_TEST_CASE(stopFinishesWhatWasAccepted) {
  TestMesh Mesh({{"q1"}, {"q2"}});
  for (const std::size_t Index : {0U, 1U})
    Mesh.at(Index).upstream().setBehaviour([](const ReceivedRequest &Request) {
      RawResponse Response = completeResponse(Request);
      Response.Delay = milliseconds(900);
      return Response;
    });
  auto Running = std::async(std::launch::async, [&] {
    return Mesh.at(0).post("/upload/u", std::string(200'000, 'u'));
  });
  std::this_thread::sleep_for(milliseconds(300));
  Mesh.at(0).node().terminate();
  BOOST_TEST(
      holdsWithin([&] { return !Mesh.at(0).isReady(); }, milliseconds(500)));
  // Callers that have not yet seen the change of readiness are still served.
  BOOST_TEST(Mesh.at(0).get("/read/x").Status == 200);
  BOOST_TEST(Running.get().Status == 200);
  const auto ExitCode = Mesh.at(0).node().waitFor(milliseconds(6000));
  BOOST_TEST((ExitCode == std::optional<int>(0)));
}

// Guards against a deadline that is too late after a pause of the node: a
// request that waited in a socket during the pause gets more time than its
// caller has left.
BOOST_AUTO_TEST_CASE(pauseCountsAgainstDeadlinesOfQueuedRequests) {
  TestMesh Mesh({{"z1"}, {"z2", "store"}});
  Mesh.Store.put(
      "keyed.op", "config",
      configuration(
          5, R"(,{"name":"slow","type":"non_idempotent","match":)"
             R"({"path_prefix":"/slow/"},"action":{"backend_service":"desk",)"
             R"("timeout_s":4}})"));
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(1).post("/slow/x", "x").Status == 200; },
                  milliseconds(3000)));
  Mesh.at(0).node().pause();
  auto Queued = std::async(std::launch::async, [&] {
    return Mesh.at(1).post("/slow/y", "x", "paused-1");
  });
  std::this_thread::sleep_for(milliseconds(1350));
  Mesh.at(0).node().resume();
  Queued.get();
  // The request may be rejected; if it ran, its deadline is the remaining time.
  for (const ReceivedRequest &Received :
       Mesh.at(0).upstream().receivedRequests())
    if (Received.Headers.at("x-attempt-id") == "paused-1")
      BOOST_TEST(std::stoi(Received.Headers.at("x-deadline-ms")) <= 400);
}

// Guards against a killed node whose upstream receives no requests after the
// node has restarted.
BOOST_AUTO_TEST_CASE(restartedNodeServesRequests) {
  TestMesh Mesh({{"v1"}, {"v2"}});
  Mesh.at(0).node().kill();
  for (int Count = 0; Count < 20; ++Count)
    BOOST_TEST(Mesh.at(1).get("/read/x").Status == 200);
  Mesh.at(0).startNode();
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(0).isReady(); }, milliseconds(5000)));
  BOOST_TEST(
      holdsWithin([&] { return Mesh.at(0).get("/read/x").Status == 200; },
                  milliseconds(3000)));
}

BOOST_AUTO_TEST_SUITE_END()
