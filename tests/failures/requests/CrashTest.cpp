#include "World.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// A crash by one request counts twice before its quarantine.
constexpr int MaxCrashes = 2;
constexpr int Repeats = 24;
/// Distinct lookups that must be answered while the upstreams crash.
constexpr int ServedPercent = 90;

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
  std::string text() const {
    std::string Text;
    for (const auto &[Name, Count] : Counts)
      Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + " " + Name;
    return Text;
  }
};

/// Starts upstreams that have ended.
class Restarter {
public:
  explicit Restarter(World &Tested)
      : Loop_(1, [this, &Tested](int, int) {
          for (NodeProcess *Each : Tested.Nodes)
            if (!Each->Upstream->running()) {
              ++Crashes_;
              Tested.restartUpstream(*Each);
            }
          pause(100);
        }) {}

  int crashes() const { return Crashes_; }
  void stop() { Loop_.stop(); }

private:
  std::atomic<int> Crashes_{0};
  Callers Loop_;
};

/// What became of one request that crashes each upstream, and of others.
struct Crashed {
  int Runs = 0;
  int Crashes = 0;
  Tally Poison;
  Tally Others;
};

/// Repeats a crashing request through every node while eight callers send
/// lookups, all distinct or all the same.
void crashAndServe(World &Tested, bool Distinct, Crashed &Seen) {
  Restarter Restarts(Tested);
  Callers Load(8, [&](int Caller, int Turn) {
    const std::string Own =
        "&n=" + std::to_string(Caller) + "-" + std::to_string(Turn);
    HttpCall Call =
        Tested.call(*Tested.Nodes[static_cast<std::size_t>(Caller % 4)], "GET",
                    "/lookup?ms=20" + (Distinct ? Own : ""));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Seen.Others.add(send(Call));
  });
  pause(500);
  for (int Turn = 0; Turn < Repeats; ++Turn) {
    HttpCall Call =
        Tested.call(*Tested.Nodes[static_cast<std::size_t>(Turn % 4)], "GET",
                    "/lookup?n=poison");
    Call.Headers["lt-caller"] = "poisoner";
    Call.Headers["x-crash"] = "1";
    Call.Headers["x-run-id"] = "poison";
    Seen.Poison.add(send(Call));
    pause(Tested.random(0, 150));
  }
  pause(1000);
  Load.stop();
  Restarts.stop();
  const auto Runs = Tested.runs();
  Seen.Runs = Runs.count("poison") == 0 ? 0 : Runs.at("poison");
  Seen.Crashes = Restarts.crashes();
}

std::string text(const Crashed &Seen) {
  return std::to_string(Seen.Runs) + " runs, " + std::to_string(Seen.Crashes) +
         " crashes; told " + Seen.Poison.text() + "; others " +
         Seen.Others.text();
}

} // namespace

// Guards against a request that crashes one upstream after the other because
// its caller repeats it through every node.
BOOST_AUTO_TEST_CASE(ACrashingRequestStopsAfterTwoCrashes) {
  World Tested("crash");
  Tested.addFour(false);
  Crashed Seen;
  crashAndServe(Tested, true, Seen);
  report("5 crashing request", "one request crashes each upstream, repeated",
         text(Seen));
  BOOST_TEST(Seen.Runs <= MaxCrashes);
  BOOST_TEST(Seen.Crashes <= MaxCrashes);
  BOOST_TEST(Seen.Others.Counts["200"] * 100 >=
             Seen.Others.total() * ServedPercent);
}

// Guards against the quarantine of a page that everybody reads, which is in
// progress at each crash without being the cause.
BOOST_AUTO_TEST_CASE(APageThatAllReadIsServedAfterCrashes) {
  World Tested("crash-page");
  Tested.addFour(false);
  Crashed Seen;
  crashAndServe(Tested, false, Seen);
  report("5 crashing request", "the same, others all read one page",
         text(Seen));
  BOOST_TEST(Seen.Runs <= MaxCrashes);
  BOOST_TEST(Seen.Others.Counts["200"] * 100 >=
             Seen.Others.total() * ServedPercent);
}
