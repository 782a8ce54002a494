#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>

using namespace lycheethread::platformtest;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// An upstream may get this much more than its limit, and a number of requests
/// on top.
constexpr double AllowedExcess = 1.5;
constexpr std::size_t AllowedBurst = 5;

/// Adds a header to a complete response.
RawResponse withHeader(RawResponse Response, const std::string &Header) {
  const std::size_t LineEnd = Response.Bytes.find("\r\n") + 2;
  Response.Bytes.insert(LineEnd, Header + "\r\n");
  return Response;
}

/// Lets the upstream state \p Header in all its answers; no header if empty.
void stateHeader(Instance &At, const std::string &Header,
                 milliseconds WorkTime = milliseconds(5)) {
  At.upstream().setBehaviour(
      [Header, WorkTime](const ReceivedRequest &Request) {
        RawResponse Response = completeResponse(Request);
        if (!Header.empty())
          Response = withHeader(std::move(Response), Header);
        Response.Delay = WorkTime;
        return Response;
      });
}

std::size_t requestCount(Instance &At) {
  return At.upstream().receivedRequests().size();
}

/// Callers that send requests for \p Path through some nodes, one after the
/// other, until they are destroyed.
class Callers {
public:
  Callers(TestMesh &Mesh, const std::vector<std::size_t> &Entries,
          std::string Path = "/read/x", int PerEntry = 3)
      : Path_(std::move(Path)) {
    for (const std::size_t Entry : Entries)
      for (int Count = 0; Count < PerEntry; ++Count)
        Threads_.emplace_back([this, &Mesh, Entry, Count] {
          run(Mesh.at(Entry),
              std::to_string(Entry) + "-" + std::to_string(Count) + "-");
        });
  }
  ~Callers() { stop(); }

  void stop() {
    HasEnded_ = true;
    for (std::thread &Item : Threads_)
      Item.join();
    Threads_.clear();
  }

  std::size_t served() const { return Served_; }
  std::size_t failed() const { return Failed_; }
  /// Ids of the requests that were refused as not run.
  std::set<std::string> refused() const { return Refused_; }
  bool allRefusalsNameATime() const { return AllNameATime_; }
  double longestRefusalMs() const { return LongestRefusalMs_; }

private:
  void run(Instance &At, const std::string &Prefix) {
    for (int Count = 0; !HasEnded_; ++Count) {
      const std::string Id = Prefix + std::to_string(Count);
      const auto Answer = At.get(Path_, Id);
      const std::lock_guard<std::mutex> Guard(Lock_);
      if (Answer.Status == 200) {
        ++Served_;
      } else if (Answer.Status == 503) {
        Refused_.insert(Id);
        AllNameATime_ = AllNameATime_ && !Answer.header("retry-after").empty();
        LongestRefusalMs_ = std::max(LongestRefusalMs_, Answer.Took.count());
      } else {
        ++Failed_;
      }
    }
  }

  std::string Path_;
  std::atomic<bool> HasEnded_{false};
  std::mutex Lock_;
  std::size_t Served_ = 0;
  std::size_t Failed_ = 0;
  std::set<std::string> Refused_;
  bool AllNameATime_ = true;
  double LongestRefusalMs_ = 0;
  std::vector<std::thread> Threads_;
};

/// Returns how many requests an upstream with the limit \p PerSecond may get.
std::size_t allowed(double PerSecond, milliseconds Span) {
  return static_cast<std::size_t>(AllowedExcess * PerSecond *
                                  static_cast<double>(Span.count()) / 1000) +
         AllowedBurst;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Statements)

// Guards against an upstream that gets more requests than it takes from all
// nodes together, although others have room.
BOOST_AUTO_TEST_CASE(statedLimitHoldsForAllNodesTogether) {
  constexpr milliseconds Span{3000};
  TestMesh Mesh({{"sl1"}, {"sl2"}, {"sl3"}});
  stateHeader(Mesh.at(0), "Server-Limit: 12.5");
  Callers Load(Mesh, {0, 1, 2});
  std::this_thread::sleep_for(milliseconds(700));
  const std::size_t Before = requestCount(Mesh.at(0));
  std::this_thread::sleep_for(Span);
  const std::size_t Got = requestCount(Mesh.at(0)) - Before;
  Load.stop();
  BOOST_TEST(Got <= allowed(12.5, Span));
  // Some requests must reach it, or nobody would learn that it has recovered.
  BOOST_TEST(Got > 0U);
  BOOST_TEST(Load.refused().empty());
  BOOST_TEST(Load.failed() == 0U);
}

// Guards against refusals that come late, name no time or are not true when
// all upstreams of a service have limits.
BOOST_AUTO_TEST_CASE(requestsBeyondAllLimitsAreRefusedAtOnce) {
  constexpr milliseconds Span{2000};
  TestMesh Mesh({{"sr1"}, {"sr2"}});
  for (const std::size_t Index : {0U, 1U})
    stateHeader(Mesh.at(Index), "Server-Limit: 10");
  Callers Load(Mesh, {0, 1});
  std::this_thread::sleep_for(milliseconds(500));
  const std::size_t Before = Load.served();
  std::this_thread::sleep_for(Span);
  const std::size_t Served = Load.served() - Before;
  Load.stop();
  // Most of what the upstreams take is used.
  BOOST_TEST(Served >= 28U);
  BOOST_TEST(Served <= 2 * allowed(10, Span));
  BOOST_TEST(Load.failed() == 0U);
  BOOST_TEST(!Load.refused().empty());
  BOOST_TEST(Load.allRefusalsNameATime());
  // A part of the objective of 400 ms.
  BOOST_TEST(Load.longestRefusalMs() < 200);
  std::size_t RefusedButRun = 0;
  for (const std::size_t Index : {0U, 1U})
    for (const ReceivedRequest &Received :
         Mesh.at(Index).upstream().receivedRequests())
      RefusedButRun +=
          Load.refused().count(Received.Headers.at("x-attempt-id"));
  BOOST_TEST(RefusedButRun == 0U);
}

// Guards against a limit that is kept after the upstream has stopped stating
// it.
BOOST_AUTO_TEST_CASE(limitEndsWithTheStatement) {
  TestMesh Mesh({{"se1"}, {"se2", "store"}});
  stateHeader(Mesh.at(0), "Server-Limit: 4");
  Callers Load(Mesh, {0, 1});
  std::this_thread::sleep_for(milliseconds(1500));
  stateHeader(Mesh.at(0), "");
  std::this_thread::sleep_for(milliseconds(700));
  const std::size_t Before = requestCount(Mesh.at(0));
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_TEST(requestCount(Mesh.at(0)) - Before > 40U);
}

// Guards against a limit that is forgotten when the node beside the upstream
// is restarted: until the first answer it would send one request to each slot.
BOOST_AUTO_TEST_CASE(limitOutlastsARestartOfTheNode) {
  constexpr milliseconds Span{2000};
  TestMesh Mesh({{"so1", "desk", "v1", "north", 40}, {"so2", "store"}});
  stateHeader(Mesh.at(0), "Server-Limit: 2", milliseconds(700));
  // The other node has passed on an answer with the limit.
  Callers Load(Mesh, {1}, "/read/x", 30);
  std::this_thread::sleep_for(milliseconds(3000));
  Mesh.at(0).node().kill();
  Mesh.at(0).startNode();
  const std::size_t Before = requestCount(Mesh.at(0));
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(0).isReady(); }, milliseconds(5000)));
  std::this_thread::sleep_for(Span);
  const std::size_t Got = requestCount(Mesh.at(0)) - Before;
  BOOST_TEST(Got <= allowed(2, Span + milliseconds(1000)));
  BOOST_TEST(Got > 0U);
}

// Guards against requests to an upstream that says in its answers that it
// leaves, while its check-ins still say "ready".
BOOST_AUTO_TEST_CASE(upstreamThatSaysItLeavesReceivesNoMoreRequests) {
  TestMesh Mesh({{"lv1"}, {"lv2"}, {"lv3", "store"}});
  stateHeader(Mesh.at(0), "Server-Leaving: 1");
  const std::size_t First = requestCount(Mesh.at(0));
  BOOST_REQUIRE(holdsWithin(
      [&] {
        Mesh.at(0).get("/read/x");
        return requestCount(Mesh.at(0)) > First;
      },
      milliseconds(3000)));
  std::this_thread::sleep_for(milliseconds(300));
  const std::size_t Before = requestCount(Mesh.at(0));
  for (int Count = 0; Count < 60; ++Count)
    for (const std::size_t Entry : {0U, 1U, 2U})
      BOOST_TEST(Mesh.at(Entry).get("/read/x").Status == 200);
  BOOST_TEST(requestCount(Mesh.at(0)) == Before);
}

// Guards against an upstream that said that it leaves and is in use again after
// a restart of the node beside it.
BOOST_AUTO_TEST_CASE(statedLeavingOutlastsARestartOfTheNode) {
  TestMesh Mesh({{"lr1"}, {"lr2"}, {"lr3", "store"}});
  Instance &Left = Mesh.at(0);
  stateHeader(Left, "Server-Leaving: 1");
  const std::size_t First = requestCount(Left);
  BOOST_REQUIRE(holdsWithin(
      [&] {
        Mesh.at(1).get("/read/x");
        Mesh.at(2).get("/read/x");
        return requestCount(Left) > First;
      },
      milliseconds(3000)));
  std::this_thread::sleep_for(milliseconds(300));
  const std::size_t Before = requestCount(Left);
  Left.node().kill();
  Left.startNode();
  BOOST_REQUIRE(
      holdsWithin([&] { return Left.isReady(); }, milliseconds(5000)));
  for (int Count = 0; Count < 60; ++Count)
    for (const std::size_t Entry : {0U, 1U, 2U})
      Mesh.at(Entry).get("/read/x");
  BOOST_TEST(requestCount(Left) == Before);
}

BOOST_AUTO_TEST_SUITE_END()
