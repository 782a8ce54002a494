#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

using namespace lycheethread::platformtest;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// 10 requests a second, 1.5 times as many, and 8 on top.
const std::string ColdFields = R"(,"cold_start_s":3,"cold_per_s":10)";
constexpr std::size_t Bound = 23;
constexpr int CallerCount = 20;
constexpr milliseconds CallInterval{100};
const std::string HealthField = R"(,"health_path":"/healthz")";

/// 200 requests a second, unless \p Interval is another one, spread over some
/// nodes, until it is destroyed.
class Callers {
public:
  Callers(TestMesh &Mesh, const std::vector<std::size_t> &Entries,
          milliseconds Interval = CallInterval) {
    for (int Index = 0; Index < CallerCount; ++Index)
      Threads_.emplace_back([this, &Mesh, Entries, Interval, Index] {
        Instance &At =
            Mesh.at(Entries[static_cast<std::size_t>(Index) % Entries.size()]);
        std::this_thread::sleep_for(Interval * Index / CallerCount);
        auto Next = Clock::now();
        for (int Number = 0; !HasEnded_; ++Number) {
          call(At, std::to_string(Index) + "-" + std::to_string(Number));
          Next = std::max(Next + Interval, Clock::now());
          std::this_thread::sleep_until(Next);
        }
      });
  }
  ~Callers() { stop(); }
  void stop() {
    HasEnded_ = true;
    for (std::thread &Item : Threads_)
      Item.join();
    Threads_.clear();
  }

  std::size_t Served = 0;
  std::size_t Failed = 0;
  /// Ids of the requests that were refused as not run.
  std::set<std::string> Refused;
  bool AllNameATime = true;
  double LongestRefusalMs = 0;

private:
  void call(Instance &At, const std::string &Id) {
    const auto Answer = At.get("/read/x", Id);
    const std::lock_guard<std::mutex> Guard(Lock_);
    if (Answer.Status == 200) {
      ++Served;
    } else if (Answer.Status == 503) {
      Refused.insert(Id);
      AllNameATime = AllNameATime && !Answer.header("retry-after").empty();
      LongestRefusalMs = std::max(LongestRefusalMs, Answer.Took.count());
    } else {
      ++Failed;
    }
  }

  std::atomic<bool> HasEnded_{false};
  std::mutex Lock_;
  std::vector<std::thread> Threads_;
};

/// With 6 slots each, two upstreams can run 200 requests a second and one
/// cannot.
void answerSlowly(Instance &At) {
  At.upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request);
    Response.Delay = milliseconds(50);
    return Response;
  });
}

void stateColdRate(TestMesh &Mesh, const std::string &MoreFields = "") {
  Mesh.Store.put("keyed.op", "config",
                 configuration(2, "", ColdFields + MoreFields));
  std::this_thread::sleep_for(milliseconds(1500));
  for (auto &Item : Mesh.Instances)
    answerSlowly(*Item);
}

/// Returns the requests that an upstream has got from \p From to \p To.
std::size_t countBetween(Instance &At, Clock::time_point From,
                         Clock::time_point To) {
  std::size_t Count = 0;
  for (const ReceivedRequest &Item : At.upstream().receivedRequests())
    Count += Item.ReceivedAt >= From && Item.ReceivedAt < To ? 1 : 0;
  return Count;
}

/// Returns the most requests in any second between the two times.
std::size_t mostInASecond(Instance &At, Clock::time_point From,
                          Clock::time_point To) {
  std::vector<Clock::time_point> Times;
  for (const ReceivedRequest &Item : At.upstream().receivedRequests())
    if (Item.ReceivedAt >= From && Item.ReceivedAt < To)
      Times.push_back(Item.ReceivedAt);
  std::sort(Times.begin(), Times.end());
  std::size_t Most = 0;
  for (auto First = Times.begin(); First != Times.end(); ++First) {
    const auto End =
        std::upper_bound(First, Times.end(), *First + std::chrono::seconds(1));
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

/// An upstream that may turn cold while it keeps running, and that answers
/// health checks.
class ColdPhases {
public:
  /// This must outlive \p At.
  void attachTo(Instance &At) {
    At.upstream().setBehaviour(
        [this](const ReceivedRequest &Request) { return answer(Request); });
  }
  void begin(milliseconds Length) { End = Clock::now() + Length; }

  std::atomic<Clock::time_point> End{Clock::time_point()};
  std::atomic<int> UsualMs{50};
  /// Factor on the times of a cold upstream.
  std::atomic<int> ColdFactor{2};
  std::atomic<int> Checks{0};
  /// Health checks are not answered in time.
  std::atomic<bool> IgnoresChecks{false};

private:
  RawResponse answer(const ReceivedRequest &Request) {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(End.load() - Clock::now());
    const bool IsCold = Left > milliseconds(0);
    RawResponse Response = completeResponse(Request);
    if (Request.RequestLine == "GET /healthz HTTP/1.1") {
      ++Checks;
      if (IgnoresChecks)
        Response.Delay = milliseconds(600);
      if (IsCold)
        Response.Bytes.insert(Response.Bytes.find("Keep-Alive"),
                              "X-Cold-Ms: " + std::to_string(Left.count()) +
                                  "\r\n");
    } else {
      Response.Delay = milliseconds(UsualMs * (IsCold ? ColdFactor.load() : 1));
    }
    return Response;
  }
};

/// A new process that is cold replaces the upstream.
void restartCold(Instance &At, double Seconds) {
  At.setNewProcess();
  At.setColdRemaining(Seconds);
  BOOST_REQUIRE(At.checkIn("ready") == 200);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ColdUpstreams)

// Guards against a cold upstream that gets more than it can handle, against
// callers that notice it while others have room, and against one that is not
// used fully once it is warm.
BOOST_AUTO_TEST_CASE(coldUpstreamGetsNoMoreThanTheBound) {
  TestMesh Mesh({{"ca1", "desk", "v1", "north", 6},
                 {"ca2", "desk", "v1", "north", 6},
                 {"ca3", "desk", "v1", "north", 6}});
  stateColdRate(Mesh);
  Callers Load(Mesh, {0, 1, 2});
  std::this_thread::sleep_for(milliseconds(2500));
  Instance &Cold = Mesh.at(0);
  const std::size_t Before =
      countBetween(Cold, Clock::now() - milliseconds(1000), Clock::now());
  BOOST_TEST(Before > Bound);
  restartCold(Cold, 30);
  const auto Start = Clock::now();
  std::this_thread::sleep_for(milliseconds(4000));
  Cold.setColdRemaining(0);
  BOOST_REQUIRE(Cold.checkIn("ready") == 200);
  const auto Warm = Clock::now();
  std::this_thread::sleep_for(milliseconds(2500));
  Load.stop();
  // Requests that were sent to the process before do not count.
  const auto From = Start + milliseconds(50);
  BOOST_TEST(mostInASecond(Cold, From, Warm) <= Bound);
  BOOST_TEST(countBetween(Cold, From, Warm) >= 15U);
  BOOST_TEST(countBetween(Cold, Warm + milliseconds(1500),
                          Warm + milliseconds(2500)) > Before / 2);
  BOOST_TEST(Load.Failed == 0U);
  // The two others have room for nearly all.
  BOOST_TEST(Load.Refused.size() < 40U);
  BOOST_TEST_MESSAGE(Before << " before, " << countBetween(Cold, From, Warm)
                            << " while cold, " << Load.Refused.size()
                            << " refused");
}

// Guards against requests that wait for upstreams that cannot take them, and
// against refusals that are not true.
BOOST_AUTO_TEST_CASE(excessIsRefusedAtOnceWhileAllAreCold) {
  TestMesh Mesh(
      {{"cb1", "desk", "v1", "north", 6}, {"cb2", "desk", "v1", "north", 6}});
  stateColdRate(Mesh);
  for (auto &Item : Mesh.Instances)
    restartCold(*Item, 30);
  const auto Start = Clock::now();
  Callers Load(Mesh, {0, 1});
  std::this_thread::sleep_for(milliseconds(4000));
  Load.stop();
  std::size_t RefusedButRun = 0;
  for (auto &Item : Mesh.Instances) {
    BOOST_TEST(mostInASecond(*Item, Start, Clock::now()) <= Bound);
    for (const ReceivedRequest &Received : Item->upstream().receivedRequests())
      RefusedButRun += Load.Refused.count(Received.Headers.at("x-attempt-id"));
  }
  BOOST_TEST(RefusedButRun == 0U);
  // Most of what the two can handle is used.
  BOOST_TEST(Load.Served >= 60U);
  BOOST_TEST(Load.Failed == 0U);
  BOOST_TEST(!Load.Refused.empty());
  BOOST_TEST(Load.AllNameATime);
  // A part of the objective of 400 ms.
  BOOST_TEST(Load.LongestRefusalMs < 200);
}

// Guards against the requests of a warm upstream to one whose connections broke
// and which may have been restarted under the same id: no check-in says yet
// that it is cold.
BOOST_AUTO_TEST_CASE(brokenConnectionsLimitUntilACheckIn) {
  TestMesh Mesh(
      {{"cc1", "desk", "v1", "north", 6}, {"cc2", "desk", "v1", "north", 6}});
  stateColdRate(Mesh);
  Callers Load(Mesh, {0, 1});
  std::this_thread::sleep_for(milliseconds(1000));
  Instance &Cold = Mesh.at(0);
  Cold.stopCheckIns();
  std::this_thread::sleep_for(milliseconds(250));
  Cold.upstream().setBehaviour([](const ReceivedRequest &) {
    RawResponse Response;
    Response.CloseAfter = true;
    return Response;
  });
  std::this_thread::sleep_for(milliseconds(200));
  answerSlowly(Cold);
  const auto Start = Clock::now();
  std::this_thread::sleep_for(milliseconds(1500));
  const auto End = Clock::now();
  BOOST_TEST(mostInASecond(Cold, Start, End) <= Bound);
  BOOST_REQUIRE(Cold.checkIn("ready") == 200);
  std::this_thread::sleep_for(milliseconds(2500));
  BOOST_TEST(countBetween(Cold, Clock::now() - milliseconds(1000),
                          Clock::now()) > 40U);
}

// Guards against a late check-in from before a crash that lets the new process
// get the requests of a warm one before it has checked in.
BOOST_AUTO_TEST_CASE(crashedUpstreamIsLimitedUntilItsNewProcessChecksIn) {
  TestMesh Mesh(
      {{"ce1", "desk", "v1", "north", 6}, {"ce2", "desk", "v1", "north", 6}});
  stateColdRate(Mesh);
  Callers Load(Mesh, {0, 1});
  std::this_thread::sleep_for(milliseconds(1500));
  Instance &Cold = Mesh.at(0);
  Cold.stopCheckIns();
  std::this_thread::sleep_for(milliseconds(250));
  Cold.upstream().crash();
  std::this_thread::sleep_for(milliseconds(500));
  const auto Start = Clock::now();
  Cold.upstream().restart();
  BOOST_REQUIRE(Cold.checkInLate(Cold.lastSequence() + 1, Cold.startTimeMs()) ==
                200);
  std::this_thread::sleep_for(milliseconds(1500));
  const auto End = Clock::now();
  BOOST_TEST(mostInASecond(Cold, Start, End) <= Bound);
  BOOST_TEST(countBetween(Cold, Start, End) > 0U);
  // What remains of its cold time when the new process checks in.
  restartCold(Cold, 0.5);
  std::this_thread::sleep_for(milliseconds(500));
  BOOST_TEST(mostInASecond(Cold, Start, End + milliseconds(450)) <= Bound);
  std::this_thread::sleep_for(milliseconds(3000));
  BOOST_TEST(countBetween(Cold, Clock::now() - milliseconds(1000),
                          Clock::now()) > 40U);
}

// Guards against a limit where the configuration states no rate.
BOOST_AUTO_TEST_CASE(withoutARateColdUpstreamsAreServedAsBefore) {
  TestMesh Mesh({{"cd1", "desk", "v1", "north", 40}});
  answerSlowly(Mesh.at(0));
  restartCold(Mesh.at(0), 30);
  Callers Load(Mesh, {0});
  std::this_thread::sleep_for(milliseconds(2000));
  Load.stop();
  BOOST_TEST(Load.Served > 300U);
  BOOST_TEST(Load.Failed == 0U);
  BOOST_TEST(Load.Refused.empty());
}

// Guards against an upstream that turns cold while it keeps running, and gets
// the requests of a warm one until its next check-in.
BOOST_AUTO_TEST_CASE(coldPhaseWithoutARestartIsNoticed) {
  ColdPhases Phases;
  TestMesh Mesh({{"cf1", "desk", "v1", "north", 6}});
  Instance &Cold = Mesh.at(0);
  stateColdRate(Mesh, HealthField);
  Phases.attachTo(Cold);
  Callers Load(Mesh, {0}, milliseconds(500));
  std::this_thread::sleep_for(milliseconds(3000));
  Cold.stopCheckIns();
  std::this_thread::sleep_for(milliseconds(250));
  const int Before = Phases.Checks;
  const auto Start = Clock::now();
  Phases.begin(milliseconds(1500));
  std::this_thread::sleep_for(milliseconds(1500));
  const auto End = Clock::now();
  BOOST_TEST(countBetween(Cold, Start - milliseconds(1000), Start) > 30U);
  BOOST_TEST(mostInASecond(Cold, Start, End) <= Bound);
  BOOST_TEST(Phases.Checks == Before + 1);
  BOOST_TEST(Cold.metrics().find(
                 "lycheethread_health_checks_total{result=\"cold\"} 1") !=
             std::string::npos);
  // The limit ends with the time that the health check stated.
  BOOST_REQUIRE(Cold.checkIn("ready") == 200);
  std::this_thread::sleep_for(milliseconds(2000));
  BOOST_TEST(countBetween(Cold, Clock::now() - milliseconds(1000),
                          Clock::now()) > 30U);
  Load.stop();
  BOOST_TEST(Load.Failed == 0U);
}

// Guards against a slow upstream that is taken for a cold one, and against
// health checks without end.
BOOST_AUTO_TEST_CASE(slowUpstreamIsCheckedAndNotLimited) {
  ColdPhases Phases;
  TestMesh Mesh({{"cg1", "desk", "v1", "north", 6}});
  Instance &Slow = Mesh.at(0);
  stateColdRate(Mesh, HealthField);
  Phases.attachTo(Slow);
  Phases.UsualMs = 40;
  Callers Load(Mesh, {0}, milliseconds(500));
  std::this_thread::sleep_for(milliseconds(3000));
  const int Before = Phases.Checks;
  Phases.UsualMs = 100;
  std::this_thread::sleep_for(milliseconds(4000));
  BOOST_TEST(countBetween(Slow, Clock::now() - milliseconds(1000),
                          Clock::now()) > 30U);
  BOOST_TEST(Phases.Checks > Before);
  BOOST_TEST(Phases.Checks <= Before + 4);
  BOOST_TEST(Slow.metrics().find("result=\"cold\"} 0") != std::string::npos);
  Load.stop();
  BOOST_TEST(Load.Failed == 0U);
}

// Guards against an unanswered health check that ends the limit, and against a
// limit that outlasts the next check-in.
BOOST_AUTO_TEST_CASE(uncheckedUpstreamIsLimitedUntilACheckIn) {
  ColdPhases Phases;
  TestMesh Mesh({{"ci1", "desk", "v1", "north", 6}});
  Instance &Slow = Mesh.at(0);
  stateColdRate(Mesh, HealthField);
  Phases.attachTo(Slow);
  Phases.UsualMs = 40;
  Phases.IgnoresChecks = true;
  Callers Load(Mesh, {0}, milliseconds(500));
  std::this_thread::sleep_for(milliseconds(3000));
  Slow.stopCheckIns();
  std::this_thread::sleep_for(milliseconds(250));
  const auto Start = Clock::now();
  Phases.UsualMs = 90;
  std::this_thread::sleep_for(milliseconds(2000));
  BOOST_TEST(mostInASecond(Slow, Start, Clock::now()) <= Bound);
  BOOST_TEST(Phases.Checks == 1);
  BOOST_REQUIRE(Slow.checkIn("ready") == 200);
  std::this_thread::sleep_for(milliseconds(500));
  Phases.UsualMs = 40;
  BOOST_REQUIRE(Slow.checkIn("ready") == 200);
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(countBetween(Slow, Clock::now() - milliseconds(1000),
                          Clock::now()) > 30U);
  Load.stop();
  BOOST_TEST(Load.Failed == 0U);
}

// Guards against the requests of a warm upstream to one that turned cold while
// its zone was evacuated, where the check-ins that come after the lift say that
// it is warm: they may have been sent before.
BOOST_AUTO_TEST_CASE(coldUpstreamOfAReturnedZoneIsLimited) {
  ColdPhases Phases;
  TestMesh Mesh(
      {{"ch1", "desk", "v1", "north", 20}, {"ch2", "desk", "v1", "south", 6}});
  stateColdRate(Mesh, HealthField);
  Instance &Cold = Mesh.at(0);
  Phases.attachTo(Cold);
  // Its answers do not show it.
  Phases.ColdFactor = 1;
  Callers Load(Mesh, {0, 1});
  std::this_thread::sleep_for(milliseconds(1000));
  Mesh.Store.put("keyed.op", "evacuate/north", "{}");
  std::this_thread::sleep_for(milliseconds(1500));
  const auto Start = Clock::now();
  const int Before = Phases.Checks;
  Phases.begin(milliseconds(4000));
  Mesh.Store.put("keyed.op", "evacuate/north", "");
  std::this_thread::sleep_for(milliseconds(3000));
  const auto End = Clock::now();
  BOOST_TEST(mostInASecond(Cold, Start, End) <= Bound);
  BOOST_TEST(countBetween(Cold, Start, End) > 10U);
  BOOST_TEST(Phases.Checks == Before + 1);
  std::this_thread::sleep_for(milliseconds(4000));
  BOOST_TEST(countBetween(Cold, Clock::now() - milliseconds(1000),
                          Clock::now()) > 40U);
  Load.stop();
  BOOST_TEST(Load.Failed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
