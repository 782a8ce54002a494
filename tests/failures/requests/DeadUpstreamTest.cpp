#include "World.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

/// An upstream that has gone gets no new work after this time.
constexpr int LeaveMs = 4000;
constexpr int WatchMs = 3000;

/// Answers by status and reason, and those that passed one node's upstream.
struct Watch {
  std::mutex Lock;
  bool On = false;
  bool CountsUnanswered = true;
  int Good = 0;
  int Bad = 0;
  std::map<std::string, int> Reasons;

  void add(const HttpAnswer &Answer) {
    const std::lock_guard<std::mutex> Guard(Lock);
    if (!On || (Answer.Status == 0 && !CountsUnanswered))
      return;
    if (Answer.Status == 200) {
      ++Good;
      return;
    }
    ++Bad;
    ++Reasons[std::to_string(Answer.Status) + "/" + Answer.header("lt-reason")];
  }

  void set(bool Active) {
    const std::lock_guard<std::mutex> Guard(Lock);
    On = Active;
  }

  void setUnansweredCount(bool Counts) {
    const std::lock_guard<std::mutex> Guard(Lock);
    CountsUnanswered = Counts;
  }

  std::string take(int &WasBad, int &WasGood) {
    const std::lock_guard<std::mutex> Guard(Lock);
    std::string Text =
        std::to_string(Good) + " served, " + std::to_string(Bad) + " not";
    for (const auto &[Name, Count] : Reasons)
      Text += ", " + std::to_string(Count) + " " + Name;
    WasBad = Bad;
    WasGood = Good;
    Good = Bad = 0;
    Reasons.clear();
    return Text;
  }
};

void control(const NodeProcess &Node, const std::string &Query) {
  HttpCall Call;
  Call.Port = Node.UpstreamPort;
  Call.Path = "/control?" + Query;
  send(Call);
}

void check(Watch &Seen, const std::string &Injected) {
  pause(LeaveMs);
  Seen.set(true);
  pause(WatchMs);
  Seen.set(false);
  int Bad = 0;
  int Good = 0;
  report("6 dead upstream", Injected, Seen.take(Bad, Good));
  BOOST_TEST(Bad == 0, Injected);
  BOOST_TEST(Good > 50, Injected);
}

} // namespace

// Guards against work that goes on to an upstream that died or sheds
// everything, and against a health endpoint that empties a service.
BOOST_AUTO_TEST_CASE(AnUpstreamThatIsGoneGetsNoWork) {
  World Tested("dead");
  Tested.addFour(false);
  Watch Seen;
  Callers Load(8, [&](int Caller, int Turn) {
    HttpCall Call =
        Tested.call(*Tested.Nodes[static_cast<std::size_t>(Caller % 4)], "GET",
                    "/lookup?ms=10&n=" + std::to_string(Caller) + "-" +
                        std::to_string(Turn));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Seen.add(send(Call));
    pause(10);
  });
  for (const NodeProcess *Each : Tested.Nodes)
    control(*Each, "health=bad");
  check(Seen, "every health endpoint says bad");
  for (const NodeProcess *Each : Tested.Nodes)
    control(*Each, "health=good");
  Tested.Nodes[1]->Upstream->kill();
  check(Seen, "an upstream was killed");
  Tested.restartUpstream(*Tested.Nodes[1]);
  pause(2000);
  // Callers at the killed node get no answer, which is not counted.
  Seen.setUnansweredCount(false);
  Tested.Nodes[2]->Process->kill();
  check(Seen, "the node beside an upstream was killed");
  Load.stop();
}

// Guards against work for an upstream that drains and sheds all of it.
BOOST_AUTO_TEST_CASE(AnUpstreamThatDrainsGetsNoWork) {
  World Tested("drains");
  Tested.addFour(false);
  Watch Seen;
  Callers Load(8, [&](int Caller, int Turn) {
    HttpCall Call =
        Tested.call(*Tested.Nodes[static_cast<std::size_t>(Caller % 4)], "GET",
                    "/lookup?ms=10&n=" + std::to_string(Caller) + "-" +
                        std::to_string(Turn));
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Seen.add(send(Call));
    pause(10);
  });
  control(*Tested.Nodes[1], "drain=1");
  check(Seen, "an upstream drains and sheds");
  Load.stop();
}
