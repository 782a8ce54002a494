#include "World.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// Two upstreams with 8 workers and 20 ms a request serve 800 in a second.
const std::vector<std::string> LimitedUpstream{
    "--workers", "8", "--service-time-ms", "20", "--slots", "1000"};
constexpr int DeadlineMs = 400;
/// Beyond the deadline, for the way of the refusal on a busy machine.
constexpr int DeadlineSlackMs = 200;
constexpr int ServedPercent = 90;
constexpr int RunMs = 5000;

struct Share {
  std::mutex Lock;
  int Served = 0;
  int Refused = 0;
  int Late = 0;

  void add(const HttpAnswer &Answer) {
    const std::lock_guard<std::mutex> Guard(Lock);
    ++(Answer.Status == 200 ? Served : Refused);
    Late += Answer.Took.count() > DeadlineMs + DeadlineSlackMs ? 1 : 0;
  }
  int percent() const {
    return Served + Refused == 0 ? 0 : Served * 100 / (Served + Refused);
  }
  std::string text() const {
    return std::to_string(Served) + " of " + std::to_string(Served + Refused) +
           " served, " + std::to_string(Late) + " late";
  }
};

HttpCall lookupOf(const World &Tested, int Number, const std::string &Caller) {
  HttpCall Call = Tested.call(
      *Tested.Nodes[static_cast<std::size_t>(Number % 2)], "GET", "/lookup");
  Call.Headers["lt-caller"] = Caller;
  Call.Headers["lt-deadline-ms"] = std::to_string(DeadlineMs);
  return Call;
}

void addDesk(World &Tested) {
  Tested.addOf("desk", "west-1", LimitedUpstream);
  Tested.addOf("desk", "west-2", LimitedUpstream);
  Tested.waitUntilReady();
}

} // namespace

// Guards against a caller that takes the share of the others with twice the
// capacity, and against answers after the deadline.
BOOST_AUTO_TEST_CASE(OthersKeepTheirShareUnderOverload) {
  World Tested("overload");
  addDesk(Tested);
  Share Greedy;
  Share Modest;
  // 80 threads at 20 calls a second each send twice the capacity; 8 threads at
  // 20 are three callers with a fifth of the capacity together.
  Callers Load(88, [&](int Number, int) {
    const auto Start = std::chrono::steady_clock::now();
    const bool IsGreedy = Number < 80;
    const HttpCall Call =
        lookupOf(Tested, Number,
                 IsGreedy ? "greedy" : "modest-" + std::to_string(Number % 3));
    (IsGreedy ? Greedy : Modest).add(send(Call));
    std::this_thread::sleep_until(Start + std::chrono::milliseconds(50));
  });
  pause(RunMs);
  Load.stop();
  report("7 overload", "one caller sends twice the capacity",
         "greedy " + Greedy.text() + "; others " + Modest.text());
  BOOST_TEST(Modest.percent() >= ServedPercent);
  BOOST_TEST(Greedy.Late + Modest.Late == 0);
}

// Guards against uploads that hold every slot.
BOOST_AUTO_TEST_CASE(UploadsLeaveSlotsForLookups) {
  World Tested("uploads");
  addDesk(Tested);
  Share Uploads;
  Share Lookups;
  Callers Load(60, [&](int Number, int) {
    if (Number < 52) {
      HttpCall Call =
          Tested.call(*Tested.Nodes[static_cast<std::size_t>(Number % 2)],
                      "POST", "/upload");
      Call.Headers["lt-caller"] = "restorer-" + std::to_string(Number);
      Call.Body.assign(400000, 'u');
      Uploads.add(send(Call));
      return pause(20);
    }
    Lookups.add(
        send(lookupOf(Tested, Number, "caller-" + std::to_string(Number))));
    pause(20);
  });
  pause(RunMs);
  Load.stop();
  report("7 overload", "52 uploaders at 40 slots",
         "uploads " + Uploads.text() + "; lookups " + Lookups.text());
  BOOST_TEST(Lookups.percent() >= ServedPercent);
  BOOST_TEST(Lookups.Late == 0);
}

// Guards against retries that multiply from service to service when the
// answers of the last one of a chain are lost.
BOOST_AUTO_TEST_CASE(RetriesStayInTheBudgetInAChain) {
  World Tested("chain");
  const std::vector<std::string> Services{"tier1", "tier2", "tier3", "tier4"};
  for (const std::string &Service : Services)
    Tested.publish(Service, 3000);
  for (const std::string &Service : Services)
    for (const char *Suffix : {"-a", "-b"})
      Tested.addOf(Service, Service + Suffix, {"--slots", "1000"},
                   Service == "tier4");
  Tested.waitUntilReady();
  // The last service runs each call and its answer is lost.
  for (std::size_t I = 6; I < 8; ++I)
    Tested.Nodes[I]->UpstreamLink->rule(
        R"("direction":"down","close_after_bytes":1)");
  constexpr int Threads = 8;
  constexpr int CallsOfThread = 30;
  std::vector<std::thread> Load;
  for (int Number = 0; Number < Threads; ++Number)
    Load.emplace_back([&, Number] {
      for (int Turn = 0; Turn < CallsOfThread; ++Turn) {
        HttpCall Call = Tested.call(
            *Tested.Nodes[static_cast<std::size_t>(Number % 2)], "GET",
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
  constexpr int Originals = Threads * CallsOfThread;
  // 10 % of the originals, and ten retries at the start on each of two nodes.
  constexpr int Allowed = Originals + Originals / 10 + 20;
  std::size_t Last = 0;
  std::string Text = std::to_string(Originals) + " calls;";
  for (std::size_t I = 0; I < Services.size(); ++I) {
    const std::size_t Runs = Tested.runsAt(*Tested.Nodes[2 * I]).size() +
                             Tested.runsAt(*Tested.Nodes[2 * I + 1]).size();
    Text += " " + Services[I] + " " + std::to_string(Runs);
    BOOST_TEST(Runs <= static_cast<std::size_t>(Allowed));
    BOOST_TEST(Runs >= static_cast<std::size_t>(Originals));
    Last = Runs;
  }
  // Otherwise the budget was not used at all.
  BOOST_TEST(Last > static_cast<std::size_t>(Originals));
  report("7 retries", "answers of the last of four services are lost", Text);
}
