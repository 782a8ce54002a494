#include "TestMesh.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <mutex>

using namespace lycheethread::platformtest;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Time of an ordinary request. The estimate is about this.
constexpr milliseconds UsualTime{10};
/// Longer than the objective of the routes, 400 ms.
constexpr milliseconds SlowTime{700};
/// An answer within this time did not wait for one that takes SlowTime.
constexpr milliseconds HedgedTime{400};
/// Lines of answered requests are limited to about two a second.
constexpr milliseconds LogPause{1000};

/// What the upstreams do with the arrivals of the request "probe", in order.
/// All other requests are ordinary ones.
class Script {
public:
  using Step = std::function<RawResponse(const ReceivedRequest &)>;

  explicit Script(TestMesh &Mesh) {
    for (const auto &Item : Mesh.Instances)
      Item->upstream().setBehaviour([this](const ReceivedRequest &Request) {
        const auto Id = Request.Headers.find("x-attempt-id");
        if (Id == Request.Headers.end() || Id->second != "probe")
          return after(UsualTime)(Request);
        const std::lock_guard<std::mutex> Guard(Lock_);
        const std::size_t Arrival = Arrivals_++;
        return Arrival < Steps_.size() ? Steps_[Arrival](Request)
                                       : completeResponse(Request, "too many");
      });
  }

  void start(std::vector<Step> Steps) {
    const std::lock_guard<std::mutex> Guard(Lock_);
    Steps_ = std::move(Steps);
    Arrivals_ = 0;
  }

  std::size_t arrivals() {
    const std::lock_guard<std::mutex> Guard(Lock_);
    return Arrivals_;
  }

  /// Answers after \p Delay.
  static Step after(milliseconds Delay, const std::string &Body = "ok",
                    int Status = 200) {
    return [=](const ReceivedRequest &Request) {
      RawResponse Response = completeResponse(Request, Body, Status);
      Response.Delay = Delay;
      return Response;
    };
  }

  /// Closes the connection after \p Delay and a part of the answer.
  static Step cut(milliseconds Delay) {
    return [=](const ReceivedRequest &Request) {
      RawResponse Response = completeResponse(Request, "a body");
      Response.Bytes.resize(Response.Bytes.size() - 3);
      Response.Delay = Delay;
      Response.CloseAfter = true;
      return Response;
    };
  }

private:
  std::mutex Lock_;
  std::vector<Step> Steps_;
  std::size_t Arrivals_ = 0;
};

/// Two upstreams and an entry without one of this service; the entry may hedge.
std::vector<InstanceSpec> hedgingMesh(const std::string &Prefix,
                                      const std::string &MaxShare = "0.5") {
  InstanceSpec Entry;
  Entry.Name = Prefix + "0";
  Entry.Service = "store";
  Entry.MaxHedgeShare = MaxShare;
  return {Entry, {Prefix + "1"}, {Prefix + "2"}};
}

/// Sends so many ordinary requests that a few slow ones do not change the
/// estimate, for longer than a refusal stops hedging.
void warmUp(Instance &Entry, bool IsWrite = false) {
  const auto End = Clock::now() + milliseconds(1300);
  for (int Count = 0; Count < 90 || Clock::now() < End; ++Count) {
    const std::string Id = "usual-" + std::to_string(Count);
    if (IsWrite)
      Entry.post("/write/usual", "x", Id);
    else
      Entry.get("/read/usual", Id);
  }
}

struct TimedAnswer {
  lycheethread::harness::HttpAnswer Answer;
  milliseconds Took{0};
};

TimedAnswer probe(Instance &Entry) {
  const auto Start = Clock::now();
  TimedAnswer Result;
  Result.Answer = Entry.get("/read/probe", "probe");
  Result.Took = std::chrono::duration_cast<milliseconds>(Clock::now() - Start);
  return Result;
}

/// Counts the attempts of the probe that were cancelled.
long abandoned(TestMesh &Mesh) {
  long Sum = 0;
  for (const auto &Item : Mesh.Instances) {
    const auto Requests = Item->upstream().abandonedRequests();
    Sum += std::count_if(Requests.begin(), Requests.end(),
                         [](const ReceivedRequest &Request) {
                           return Request.Headers.at("x-attempt-id") == "probe";
                         });
  }
  return Sum;
}

/// Counts the log lines of the probe with the hedging result \p Result.
long logged(Instance &Entry, const std::string &Result) {
  std::ifstream Log(Entry.logFile());
  long Found = 0;
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find("request=probe") != std::string::npos &&
        Line.find("hedge=" + Result) != std::string::npos)
      ++Found;
  return Found;
}

/// Returns the counter of hedged requests with the result \p Result.
int counted(Instance &Entry, const std::string &Result) {
  const std::string Name =
      "lycheethread_hedged_requests_total{result=\"" + Result + "\"} ";
  const std::string Text = Entry.metrics();
  const std::size_t At = Text.find("\n" + Name);
  return At == std::string::npos ? -1
                                 : std::stoi(Text.substr(At + 1 + Name.size()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HedgedRequests)

// Guards against a caller that waits for one slow upstream, and against a
// cancelled attempt that keeps its slot at the upstream.
BOOST_AUTO_TEST_CASE(slowUpstreamIsHedgedAndCancelled) {
  TestMesh Mesh(hedgingMesh("hs"));
  Script Upstreams(Mesh);
  Instance &Entry = Mesh.at(0);
  warmUp(Entry);
  std::this_thread::sleep_for(LogPause);
  const long Before = abandoned(Mesh);
  Upstreams.start(
      {Script::after(SlowTime, "first"), Script::after(UsualTime, "second")});
  const TimedAnswer Result = probe(Entry);
  BOOST_TEST(Result.Answer.Status == 200);
  BOOST_TEST(Result.Answer.Body == "second");
  BOOST_TEST(Result.Took.count() < HedgedTime.count());
  BOOST_TEST(holdsWithin([&] { return abandoned(Mesh) == Before + 1; },
                         milliseconds(250)));
  BOOST_TEST(Upstreams.arrivals() == 2U);
  BOOST_TEST(holdsWithin([&] { return logged(Entry, "won") == 1; },
                         milliseconds(500)));

  BOOST_TEST(counted(Entry, "won") >= 1);

  // The first attempt may still win.
  warmUp(Entry);
  std::this_thread::sleep_for(LogPause);
  Upstreams.start({Script::after(milliseconds(200), "first"),
                   Script::after(SlowTime, "second")});
  const int Lost = counted(Entry, "lost");
  BOOST_TEST(probe(Entry).Answer.Body == "first");
  BOOST_TEST(counted(Entry, "lost") == Lost + 1);
  BOOST_TEST(Upstreams.arrivals() == 2U);
  BOOST_TEST(holdsWithin([&] { return abandoned(Mesh) == Before + 2; },
                         milliseconds(250)));
  BOOST_TEST(holdsWithin([&] { return logged(Entry, "lost") == 1; },
                         milliseconds(500)));

  // An answer too long to be held is delivered while it arrives.
  warmUp(Entry);
  const std::string Long(600'000, 'x');
  Upstreams.start(
      {Script::after(SlowTime, "first"), Script::after(UsualTime, Long)});
  const TimedAnswer Streamed = probe(Entry);
  BOOST_TEST(Streamed.Answer.Status == 200);
  BOOST_TEST((Streamed.Answer.Body == Long));
  BOOST_TEST(holdsWithin([&] { return abandoned(Mesh) == Before + 3; },
                         milliseconds(250)));
}

// Guards against an attempt at the upstream beside the entry that is not
// cancelled: it takes another way than those at other nodes.
BOOST_AUTO_TEST_CASE(attemptAtTheOwnUpstreamIsCancelled) {
  InstanceSpec Beside;
  Beside.Name = "hw0";
  Beside.MaxHedgeShare = "0.5";
  TestMesh Mesh({Beside, {"hw1"}});
  Script Upstreams(Mesh);
  Instance &Entry = Mesh.at(0);
  long Before = abandoned(Mesh);
  const auto Slow = Script::after(SlowTime, "slow");
  const auto Medium = Script::after(milliseconds(200), "quick");
  // Whichever attempt is at the own upstream, it loses once.
  for (const auto &Steps : {std::vector<Script::Step>{Slow, Medium},
                            std::vector<Script::Step>{Medium, Slow}}) {
    warmUp(Entry);
    Upstreams.start(Steps);
    const TimedAnswer Result = probe(Entry);
    BOOST_TEST(Result.Answer.Body == "quick");
    BOOST_TEST(Upstreams.arrivals() == 2U);
    ++Before;
    BOOST_TEST(holdsWithin([&] { return abandoned(Mesh) == Before; },
                           milliseconds(250)));
  }
}

// Guards against a second run of a request that may run only once.
BOOST_AUTO_TEST_CASE(onceOnlyRequestIsNeverHedged) {
  TestMesh Mesh(hedgingMesh("ho"));
  Script Upstreams(Mesh);
  Instance &Entry = Mesh.at(0);
  warmUp(Entry, true);
  warmUp(Entry);
  Upstreams.start({Script::after(SlowTime)});
  BOOST_TEST(Entry.post("/write/probe", "order", "probe").Status == 200);
  BOOST_TEST(Upstreams.arrivals() == 1U);
}

// Guards against a failure of one attempt that ends the request or starts a
// third attempt while the other one runs.
BOOST_AUTO_TEST_CASE(failureOfOneAttemptWaitsForTheOther) {
  TestMesh Mesh(hedgingMesh("hf"));
  Script Upstreams(Mesh);
  Instance &Entry = Mesh.at(0);
  const Script::Step Late = Script::after(milliseconds(300), "second");
  const Script::Step Refused =
      Script::after(milliseconds(150), "not here", 421);
  for (const auto &First : {Script::cut(milliseconds(150)), Refused,
                            Script::after(milliseconds(150), "bad", 500)}) {
    warmUp(Entry);
    Upstreams.start({First, Late});
    const TimedAnswer Result = probe(Entry);
    BOOST_TEST(Result.Answer.Status == 200);
    BOOST_TEST(Result.Answer.Body == "second");
    BOOST_TEST(Upstreams.arrivals() == 2U);
  }
  // The hedged request is refused while the first attempt runs.
  warmUp(Entry);
  Upstreams.start({Script::after(milliseconds(300), "first"),
                   Script::after(UsualTime, "not here", 421)});
  BOOST_TEST(probe(Entry).Answer.Body == "first");
  BOOST_TEST(Upstreams.arrivals() == 2U);
}

// Guards against a 503 for a request that may have run, and against more runs
// than the route's attempts.
BOOST_AUTO_TEST_CASE(failureOfBothAttemptsIsOneAnswer) {
  TestMesh Mesh(hedgingMesh("hb"));
  Script Upstreams(Mesh);
  Instance &Entry = Mesh.at(0);
  const auto Check = [&](const Script::Step &First, const Script::Step &Second,
                         int Status) {
    warmUp(Entry);
    Upstreams.start({First, Second});
    const auto Answer = probe(Entry).Answer;
    BOOST_TEST(Answer.Status == Status);
    BOOST_TEST(Upstreams.arrivals() == 2U);
    return Answer.Body;
  };
  const milliseconds Soon{150};
  const milliseconds TooLong{2500};
  Check(Script::cut(Soon), Script::cut(Soon), 502);
  // The only answer is that of an upstream.
  BOOST_TEST(Check(Script::after(Soon, "why", 500), Script::cut(2 * Soon),
                   500) == "why");
  BOOST_TEST(Check(Script::cut(Soon), Script::after(2 * Soon, "why", 500),
                   500) == "why");
  const long Before = abandoned(Mesh);
  Check(Script::after(TooLong), Script::after(TooLong), 504);
  BOOST_TEST(holdsWithin([&] { return abandoned(Mesh) == Before + 2; },
                         milliseconds(500)));
}

// Guards against work that goes on at one of the upstreams when the caller has
// left.
BOOST_AUTO_TEST_CASE(leavingCallerCancelsBothAttempts) {
  TestMesh Mesh(hedgingMesh("hl"));
  Script Upstreams(Mesh);
  Instance &Entry = Mesh.at(0);
  warmUp(Entry);
  const long Before = abandoned(Mesh);
  Upstreams.start({Script::after(SlowTime), Script::after(SlowTime)});
  {
    Poco::Net::StreamSocket Caller(
        Poco::Net::SocketAddress("127.0.0.1", Entry.outboundPort()));
    const std::string Text =
        "GET /read/probe HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Attempt-Id: probe\r\nX-Deadline-Ms: 1500\r\n\r\n";
    Caller.sendBytes(Text.data(), static_cast<int>(Text.size()));
    BOOST_TEST(
        holdsWithin([&] { return Upstreams.arrivals() == 2U; }, HedgedTime));
  }
  BOOST_TEST(holdsWithin([&] { return abandoned(Mesh) == Before + 2; },
                         milliseconds(250)));
}

// Guards against hedging that nobody has asked for, and against a share that is
// taken only at the start.
BOOST_AUTO_TEST_CASE(hedgingIsOffByDefaultAndFollowsTheSettings) {
  TestMesh Mesh(hedgingMesh("hd", "0"));
  Script Upstreams(Mesh);
  Instance &Entry = Mesh.at(0);
  const auto Slow = Script::after(SlowTime, "first");
  const auto Quick = Script::after(UsualTime, "second");
  warmUp(Entry);
  std::this_thread::sleep_for(LogPause);
  Upstreams.start({Slow, Quick});
  BOOST_TEST(probe(Entry).Answer.Body == "first");
  BOOST_TEST(Upstreams.arrivals() == 1U);
  BOOST_TEST(counted(Entry, "won") == 0);
  BOOST_TEST(counted(Entry, "lost") == 0);
  BOOST_TEST(holdsWithin([&] { return logged(Entry, "none") == 1; },
                         milliseconds(500)));

  Entry.writeMaxHedgeShare("0.5");
  // The settings file is read every second.
  std::this_thread::sleep_for(milliseconds(1500));
  warmUp(Entry);
  Upstreams.start({Slow, Quick});
  BOOST_TEST(probe(Entry).Answer.Body == "second");

  Entry.writeMaxHedgeShare("0");
  std::this_thread::sleep_for(milliseconds(1500));
  Upstreams.start({Slow, Quick});
  BOOST_TEST(probe(Entry).Answer.Body == "first");
  BOOST_TEST(Upstreams.arrivals() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
