#include "World.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

constexpr int KeysOfRound = 12;

/// Sends keys, each one again and through other nodes.
class Repeater {
public:
  explicit Repeater(World &Tested) : World_(Tested) {}

  /// First attempts through the node, side by side, without waiting for them.
  void start(const std::string &Round, std::size_t Entry) {
    for (int I = 0; I < KeysOfRound; ++I)
      Threads_.emplace_back([this, Key = Round + "-" + std::to_string(I),
                             Entry] { attempt(Key, Entry, "first"); });
  }

  /// Sends the keys of a round again through the node and waits for that.
  void repeat(const std::string &Round, std::size_t Entry) {
    std::vector<std::thread> Again;
    for (int I = 0; I < KeysOfRound; ++I)
      Again.emplace_back([this, Key = Round + "-" + std::to_string(I), Entry] {
        attempt(Key, Entry, "again");
      });
    for (std::thread &Each : Again)
      Each.join();
  }

  void join() {
    for (std::thread &Each : Threads_)
      Each.join();
    Threads_.clear();
  }

  std::map<std::string, int> Counts;

private:
  void attempt(const std::string &Key, std::size_t Entry,
               const std::string &Kind) {
    HttpCall Call = World_.call(*World_.Nodes[Entry], "POST", "/orders?ms=100");
    Call.Headers["idempotency-key"] = Key;
    Call.Headers["x-run-id"] = Key;
    Call.Headers["lt-caller"] = "caller-" + Key;
    Call.Body = "order " + Key;
    Call.Timeout = std::chrono::milliseconds(5000);
    const HttpAnswer Answer = send(Call);
    const std::string ExecutionStatus = Answer.header("lt-executed");
    const std::lock_guard<std::mutex> Guard(Lock_);
    ++Counts[Kind + "/" +
             (Answer.Status == 0
                  ? "unanswered"
                  : std::to_string(Answer.Status) +
                        (ExecutionStatus.empty() ? ""
                                                 : "/" + ExecutionStatus))];
  }

  World &World_;
  std::mutex Lock_;
  std::vector<std::thread> Threads_;
};

std::string text(const std::map<std::string, int> &Counts) {
  std::string Text;
  for (const auto &[Name, Count] : Counts)
    Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + " " + Name;
  return Text;
}

void checkRuns(const World &Tested, const std::string &Injected,
               Repeater &Sent) {
  const auto Runs = Tested.runs();
  int Twice = 0;
  std::string Example;
  for (const auto &[Id, Count] : Runs)
    if (Count > 1) {
      ++Twice;
      Example = " (" + Id + ")";
    }
  report("3 at most once", Injected,
         std::to_string(Runs.size()) + " keys ran, " + std::to_string(Twice) +
             " twice" + Example + "; " + text(Sent.Counts));
  BOOST_TEST(Twice == 0);
  Sent.Counts.clear();
}

} // namespace

// Guards against a second execution of a key that its caller sends again
// through another node and region while the outcome of the first attempt is
// not known.
BOOST_AUTO_TEST_CASE(AKeyRunsAtMostOnce) {
  World Tested("once");
  Tested.addFour(false);
  Repeater Sent(Tested);

  Sent.start("plain", 0);
  Sent.repeat("plain", 2);
  Sent.repeat("plain", 3);
  Sent.join();
  checkRuns(Tested, "repeats at once through the other region", Sent);

  for (int Round = 0; Round < 2; ++Round) {
    const std::string Name = "upstream" + std::to_string(Round);
    Tested.Nodes[0]->Upstream->pause();
    Tested.Nodes[1]->Upstream->pause();
    Sent.start(Name, 0);
    pause(Tested.random(0, 400));
    Sent.repeat(Name, 2);
    // In the second round the first attempts end at their deadline.
    pause(Round * 1600);
    Tested.Nodes[0]->Upstream->resume();
    Tested.Nodes[1]->Upstream->resume();
    Sent.repeat(Name, 3);
    Sent.join();
  }
  checkRuns(Tested, "upstreams of the first attempt frozen", Sent);

  for (int Round = 0; Round < 2; ++Round) {
    const std::string Name = "node" + std::to_string(Round);
    Sent.start(Name, 0);
    pause(Tested.random(0, 60));
    Tested.Nodes[1]->Process->pause();
    Sent.repeat(Name, 2);
    pause(500);
    Sent.repeat(Name, 0);
    Tested.Nodes[1]->Process->resume();
    Sent.repeat(Name, 3);
    Sent.join();
    pause(300);
  }
  checkRuns(Tested, "node of the last hop frozen", Sent);

  Sent.start("killed", 0);
  pause(Tested.random(0, 90));
  Tested.Nodes[1]->Process->kill();
  Tested.Nodes[1]->Upstream->kill();
  Sent.repeat("killed", 2);
  Sent.repeat("killed", 0);
  Sent.join();
  Tested.restartUpstream(*Tested.Nodes[1]);
  Tested.restart(*Tested.Nodes[1]);
  BOOST_TEST(Mesh::waitReady(*Tested.Nodes[1], std::chrono::seconds(10)));
  Sent.repeat("killed", 1);
  checkRuns(Tested, "instance of the last hop killed", Sent);

  Sent.start("log", 0);
  pause(Tested.random(20, 90));
  Tested.LogFault->rule(R"("mode":"reset")");
  Sent.repeat("log", 2);
  Sent.repeat("log", 1);
  Tested.LogFault->rule("");
  pause(600);
  // The first claims after an outage find out that the log is back.
  Sent.repeat("log", 3);
  Sent.repeat("log", 3);
  Sent.repeat("log", 0);
  Sent.join();
  // Appends arrive and only their answers are lost.
  Tested.LogFault->rule(R"("direction":"down","close_after_bytes":1)");
  Sent.start("lost", 0);
  Sent.repeat("lost", 2);
  Tested.LogFault->rule("");
  pause(600);
  Sent.repeat("lost", 3);
  Sent.repeat("lost", 3);
  Sent.repeat("lost", 0);
  Sent.join();
  pause(500);
  checkRuns(Tested, "log down, answers of the log lost", Sent);
}
