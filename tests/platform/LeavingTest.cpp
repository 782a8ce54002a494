#include "World.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

std::size_t countOf(UpstreamStandIn &At) { return At.seen().size(); }

} // namespace

BOOST_AUTO_TEST_SUITE(Leaving)

// Guards against new work for an upstream after its leaving was acknowledged.
BOOST_AUTO_TEST_CASE(drainingUpstreamGetsNothingMore) {
  World Used({{"l1"}, {"l2"}, {"l3", "store"}});
  Used.at(0).setState("draining");
  BOOST_REQUIRE(Used.at(0).checkIn("draining") == 200);
  const std::size_t Before = countOf(Used.at(0).upstream());
  for (int Count = 0; Count < 60; ++Count)
    for (const std::size_t Entry : {0U, 1U, 2U})
      BOOST_TEST(Used.at(Entry).get("/read/x").Status == 200);
  BOOST_TEST(countOf(Used.at(0).upstream()) == Before);
}

// Guards against a stop that cuts a request.
BOOST_AUTO_TEST_CASE(stopFinishesWhatWasAccepted) {
  World Used({{"q1"}, {"q2"}});
  for (const std::size_t At : {0U, 1U})
    Used.at(At).upstream().setBehaviour([](const SeenRequest &Request) {
      RawAnswer Answer = goodAnswer(Request);
      Answer.Delay = milliseconds(900);
      return Answer;
    });
  auto Running = std::async(std::launch::async, [&] {
    return Used.at(0).post("/upload/u", std::string(200'000, 'u'));
  });
  std::this_thread::sleep_for(milliseconds(300));
  Used.at(0).node().terminate();
  BOOST_TEST(becomes([&] { return !Used.at(0).isReady(); }, milliseconds(500)));
  // Callers that have not noticed yet are still served.
  BOOST_TEST(Used.at(0).get("/read/x").Status == 200);
  BOOST_TEST(Running.get().Status == 200);
  const auto Code = Used.at(0).node().waitFor(milliseconds(6000));
  BOOST_TEST((Code == std::optional<int>(0)));
}

// Guards against a node that stood still and gives a request from its sockets
// more time than its caller has left.
BOOST_AUTO_TEST_CASE(pauseCountsAgainstWhatWaitedMeanwhile) {
  World Used({{"z1"}, {"z2", "store"}});
  Used.Store.put(
      "keyed.op", "config",
      configuration(
          5, R"(,{"name":"slow","type":"non_idempotent","match":)"
             R"({"path_prefix":"/slow/"},"action":{"backend_service":"desk",)"
             R"("timeout_s":4}})"));
  BOOST_REQUIRE(
      becomes([&] { return Used.at(1).post("/slow/x", "x").Status == 200; },
              milliseconds(3000)));
  Used.at(0).node().pause();
  auto Waiting = std::async(std::launch::async, [&] {
    return Used.at(1).post("/slow/y", "x", "paused-1");
  });
  std::this_thread::sleep_for(milliseconds(1350));
  Used.at(0).node().resume();
  Waiting.get();
  // It may have been refused; if it was run, then with the time that was left.
  for (const SeenRequest &Seen : Used.at(0).upstream().seen())
    if (Seen.Headers.at("x-attempt-id") == "paused-1")
      BOOST_TEST(std::stoi(Seen.Headers.at("x-deadline-ms")) <= 400);
}

// Guards against a killed node whose upstream stays unused.
BOOST_AUTO_TEST_CASE(killedNodeIsBackAndServes) {
  World Used({{"v1"}, {"v2"}});
  Used.at(0).node().kill();
  for (int Count = 0; Count < 20; ++Count)
    BOOST_TEST(Used.at(1).get("/read/x").Status == 200);
  Used.at(0).startNode();
  BOOST_REQUIRE(
      becomes([&] { return Used.at(0).isReady(); }, milliseconds(5000)));
  BOOST_TEST(becomes([&] { return Used.at(0).get("/read/x").Status == 200; },
                     milliseconds(3000)));
}

BOOST_AUTO_TEST_SUITE_END()
