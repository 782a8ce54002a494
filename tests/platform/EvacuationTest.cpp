#include "RawCall.h"
#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

const std::string Record = "evacuate/north";
/// The platform allows 5 s; records travel within about one.
constexpr milliseconds StopLimit{1000};
constexpr milliseconds ReturnLimit{6000};

std::size_t requestCount(Instance &At) {
  return At.upstream().receivedRequests().size();
}

/// Callers that send requests through all nodes until they are destroyed.
class Callers {
public:
  explicit Callers(TestMesh &Mesh) {
    for (std::size_t Entry = 0; Entry < Mesh.Instances.size(); ++Entry)
      for (int Count = 0; Count < 2; ++Count)
        Threads_.emplace_back([this, &Mesh, Entry, Count] {
          for (int Number = 0; !HasEnded_; ++Number) {
            const auto Answer = Mesh.at(Entry).get(
                "/read/x", std::to_string(Entry) + "-" + std::to_string(Count) +
                               "-" + std::to_string(Number));
            ++(Answer.Status == 200 ? Served_ : Failed_);
            std::this_thread::sleep_for(milliseconds(5));
          }
        });
  }
  ~Callers() {
    HasEnded_ = true;
    for (std::thread &Item : Threads_)
      Item.join();
  }
  int served() const { return Served_; }
  int failed() const { return Failed_; }

private:
  std::atomic<bool> HasEnded_{false};
  std::atomic<int> Served_{0};
  std::atomic<int> Failed_{0};
  std::vector<std::thread> Threads_;
};

std::vector<InstanceSpec> twoZones(const std::string &Name) {
  return {{Name + "1", "desk", "v1", "north"},
          {Name + "2", "desk", "v1", "north"},
          {Name + "3", "desk", "v1", "south"},
          {Name + "4", "desk", "v1", "south"}};
}

/// Returns the requests that the two upstreams in the north get in \p Span.
std::size_t countNorth(TestMesh &Mesh, milliseconds Span) {
  const std::size_t Before =
      requestCount(Mesh.at(0)) + requestCount(Mesh.at(1));
  std::this_thread::sleep_for(Span);
  return requestCount(Mesh.at(0)) + requestCount(Mesh.at(1)) - Before;
}

void evacuate(TestMesh &Mesh) {
  Mesh.Store.put("keyed.op", Record, "{}");
  std::this_thread::sleep_for(StopLimit);
}

/// Sends a request to the last hop of \p At as an entry that has not learned of
/// an evacuation would; returns the answer.
std::string callLastHop(Instance &At) {
  return sendRaw(At.inboundPort(),
                 "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
                 "X-Attempt-Id: raw\r\nX-Deadline-Ms: 1200\r\n"
                 "lt-hop: desk;;read;repeatable;1;400;1200;;;400\r\n"
                 "Connection: close\r\n\r\n");
}

std::string metricsOf(Instance &At) {
  lycheethread::harness::HttpCall Request;
  Request.Port = At.metricsPort();
  Request.Path = "/metrics";
  return lycheethread::harness::send(Request).Body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuatedZones)

// Guards against requests to a zone that is evacuated, against callers that
// notice it, and against a zone that gets nothing after its return.
BOOST_AUTO_TEST_CASE(evacuatedZoneGetsNothingUntilItReturns) {
  TestMesh Mesh(twoZones("ea"));
  BOOST_TEST(callLastHop(Mesh.at(0)).find("200") != std::string::npos);
  Callers Load(Mesh);
  BOOST_TEST(countNorth(Mesh, milliseconds(500)) > 20U);
  evacuate(Mesh);
  BOOST_TEST(countNorth(Mesh, milliseconds(2000)) == 0U);
  // The last hop keeps to it by itself.
  const std::string Refusal = callLastHop(Mesh.at(0));
  BOOST_TEST(Refusal.find("draining;no;0") != std::string::npos);
  BOOST_TEST(metricsOf(Mesh.at(0))
                 .find("lycheethread_evacuated_zone{zone=\"north\"} 1") !=
             std::string::npos);
  BOOST_TEST(metricsOf(Mesh.at(0)).find("lycheethread_evacuated_running 0") !=
             std::string::npos);
  const int Before = Load.served();
  Mesh.Store.put("keyed.op", Record, "");
  BOOST_TEST(holdsWithin(
      [&] { return countNorth(Mesh, milliseconds(500)) > 40U; }, ReturnLimit));
  BOOST_TEST(Load.served() > Before);
  BOOST_TEST(Load.failed() == 0);
  BOOST_TEST(metricsOf(Mesh.at(0)).find("lycheethread_evacuated") ==
             std::string::npos);
}

// Guards against requests that wait at the last hop and are sent after the
// evacuation, and against one that runs and is cut off.
BOOST_AUTO_TEST_CASE(waitingRequestsAreNotSentAndRunningOnesEnd) {
  TestMesh Mesh(
      {{"eb1", "desk", "v1", "north", 1}, {"eb2", "store", "v1", "south"}});
  Instance &Left = Mesh.at(0);
  Left.upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request);
    Response.Delay = milliseconds(900);
    return Response;
  });
  const std::size_t Before = requestCount(Left);
  std::vector<int> Statuses;
  std::vector<double> TookMs;
  std::mutex Lock;
  std::vector<std::thread> Threads;
  const auto Call = [&](const std::string &Id) {
    const auto Answer = Mesh.at(1).get("/read/x", Id);
    const std::lock_guard<std::mutex> Guard(Lock);
    Statuses.push_back(Answer.Status);
    TookMs.push_back(Answer.Took.count());
  };
  Threads.emplace_back(Call, "running");
  BOOST_REQUIRE(holdsWithin([&] { return requestCount(Left) > Before; },
                            milliseconds(1000)));
  Mesh.Store.put("keyed.op", Record, "{}");
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(metricsOf(Left).find("lycheethread_evacuated_running 1") !=
             std::string::npos);
  // All upstreams of the service are evacuated: refused at once.
  Threads.emplace_back(Call, "late");
  for (std::thread &Item : Threads)
    Item.join();
  BOOST_REQUIRE(Statuses.size() == 2U);
  BOOST_TEST(Statuses[0] == 503);
  BOOST_TEST(TookMs[0] < 200);
  BOOST_TEST(Statuses[1] == 200);
  BOOST_TEST(requestCount(Left) == Before + 1);
}

// Guards against an upload that is sent after the evacuation because its body
// was arriving at the last hop before.
BOOST_AUTO_TEST_CASE(arrivingUploadIsNotSent) {
  TestMesh Mesh(
      {{"ef1", "desk", "v1", "north", 4}, {"ef2", "store", "v1", "south"}});
  const std::size_t Before = requestCount(Mesh.at(0));
  std::string Answer;
  const auto Start = std::chrono::steady_clock::now();
  std::thread Caller([&] {
    Answer = sendRaw(Mesh.at(1).outboundPort(),
                     "POST /upload/x HTTP/1.1\r\nHost: shop.example\r\n"
                     "X-Attempt-Id: up\r\nX-Deadline-Ms: 1200\r\n"
                     "Content-Length: 300000\r\nConnection: close\r\n\r\n" +
                         std::string(100'000, 'x'));
  });
  std::this_thread::sleep_for(milliseconds(200));
  Mesh.Store.put("keyed.op", Record, "{}");
  Caller.join();
  BOOST_TEST(Answer.find(" 503 ") != std::string::npos);
  BOOST_TEST((std::chrono::steady_clock::now() - Start < milliseconds(1000)));
  BOOST_TEST(requestCount(Mesh.at(0)) == Before);
}

// Guards against a node that sends to the evacuated zone, or serves its own
// upstream, after a restart.
BOOST_AUTO_TEST_CASE(restartedNodesKeepToTheEvacuation) {
  TestMesh Mesh(twoZones("ec"));
  evacuate(Mesh);
  for (const std::size_t Index : {0U, 3U}) {
    Mesh.at(Index).node().kill();
    Mesh.at(Index).startNode();
  }
  const std::size_t Before =
      requestCount(Mesh.at(0)) + requestCount(Mesh.at(1));
  for (const std::size_t Index : {0U, 3U})
    BOOST_REQUIRE(holdsWithin([&] { return Mesh.at(Index).isReady(); },
                              milliseconds(5000)));
  for (int Count = 0; Count < 50; ++Count)
    for (auto &Item : Mesh.Instances)
      BOOST_TEST(Item->get("/read/x").Status == 200);
  BOOST_TEST(requestCount(Mesh.at(0)) + requestCount(Mesh.at(1)) == Before);
}

// Guards against a zone that stays evacuated because the store no longer shows
// the removal: the readers learn it from what a full read lacks, the other
// nodes from them.
BOOST_AUTO_TEST_CASE(removalIsLearnedFromAFullRead) {
  TestMesh Mesh(twoZones("ed"));
  evacuate(Mesh);
  Mesh.Store.setUnavailable(true);
  std::this_thread::sleep_for(milliseconds(500));
  Mesh.Store.removeWithoutTrace("keyed.op", Record);
  Mesh.Store.setUnavailable(false);
  for (const std::size_t Index : {0U, 1U})
    BOOST_TEST(holdsWithin(
        [&] {
          return callLastHop(Mesh.at(Index)).find("draining") ==
                 std::string::npos;
        },
        ReturnLimit));
  Callers Load(Mesh);
  BOOST_TEST(holdsWithin(
      [&] { return countNorth(Mesh, milliseconds(500)) > 40U; }, ReturnLimit));
}

// Guards against an evacuation that ends because the store has lost it.
BOOST_AUTO_TEST_CASE(evacuationOutlastsALossOfTheStore) {
  TestMesh Mesh(twoZones("ee"));
  Mesh.Store.saveCopy();
  evacuate(Mesh);
  Mesh.Store.setUnavailable(true);
  std::this_thread::sleep_for(milliseconds(500));
  Mesh.Store.restoreCopy();
  Mesh.Store.setUnavailable(false);
  std::this_thread::sleep_for(milliseconds(3000));
  Mesh.at(0).node().kill();
  Mesh.at(0).startNode();
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(0).isReady(); }, milliseconds(5000)));
  const std::size_t Before =
      requestCount(Mesh.at(0)) + requestCount(Mesh.at(1));
  for (int Count = 0; Count < 30; ++Count)
    for (auto &Item : Mesh.Instances)
      BOOST_TEST(Item->get("/read/x").Status == 200);
  BOOST_TEST(requestCount(Mesh.at(0)) + requestCount(Mesh.at(1)) == Before);
}

BOOST_AUTO_TEST_SUITE_END()
