#include "World.h"

#include <Poco/SHA2Engine.h>

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

struct Tally {
  std::mutex Lock;
  int Whole = 0;
  int Foreign = 0;
  int Refused = 0;
  int Cut = 0;
  int Other = 0;
  std::string Example;
};

std::string bodyOf(int Caller, int Turn) {
  std::mt19937 Random(seed() * 7919U + static_cast<unsigned>(Caller) * 104729U +
                      static_cast<unsigned>(Turn));
  std::string Body(1 + Random() % 200000, ' ');
  const std::string Stamp =
      std::to_string(Caller) + "/" + std::to_string(Turn) + ";";
  for (std::size_t I = 0; I < Body.size(); ++I)
    Body[I] = Stamp[I % Stamp.size()];
  return Body;
}

std::string digestOf(const std::string &Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

void note(Tally &To, const HttpAnswer &Answer, const std::string &Expected) {
  const std::lock_guard<std::mutex> Guard(To.Lock);
  if (Answer.Status == 0)
    ++To.Cut;
  else if (!Answer.header("lt-refusal-id").empty())
    ++To.Refused;
  else if (Answer.Status != 200) {
    ++To.Other;
    To.Example = std::to_string(Answer.Status) + " " + Answer.Body;
  } else if (Answer.Body == Expected)
    ++To.Whole;
  else {
    ++To.Foreign;
    To.Example = "answer of " + std::to_string(Answer.Body.size()) +
                 " bytes for one of " + std::to_string(Expected.size());
  }
}

/// A link of the test: the two before upstreams, one before an entry node.
void disturb(World &Tested, const std::vector<const FaultProcess *> &Links) {
  const FaultProcess &Link =
      *Links[static_cast<std::size_t>(Tested.random(0, 2))];
  switch (Tested.random(0, 4)) {
  case 0:
    Link.rule(R"("direction":"down","close_after_bytes":)" +
              std::to_string(Tested.random(1, 150000)));
    break;
  case 1:
    Link.rule(R"("delay_ms":40,"jitter_ms":120)");
    break;
  case 2:
    Link.rule(R"("mode":"reset")");
    break;
  case 3:
    Link.rule(R"("mode":"drop")");
    break;
  default: {
    // Longer than the route's timeout, so that answers come too late.
    NodeProcess &Node =
        *Tested.Nodes[static_cast<std::size_t>(Tested.random(0, 3))];
    Node.Upstream->pause();
    pause(1800);
    Node.Upstream->resume();
  }
  }
  pause(Tested.random(200, 500));
  Link.rule("");
}

} // namespace

// Guards against an answer that a caller gets for the request of another one
// after a cut, a late answer or a reused connection, and against a shortened
// answer that looks complete.
BOOST_AUTO_TEST_CASE(EveryCallerGetsItsOwnWholeAnswer) {
  World Tested("whole");
  Tested.addFour(true);
  const FaultProcess &Entry =
      Tested.Mesh.startFault("entry-fault", Tested.Nodes[0]->RequestPort);
  Tally Seen;
  Callers Load(20, [&](int Caller, int Turn) {
    const std::string Body = bodyOf(Caller, Turn);
    const bool Digest = Turn % 2 == 1;
    HttpCall Call =
        Tested.call(*Tested.Nodes[static_cast<std::size_t>(Caller % 4)], "POST",
                    Digest ? "/lookup?digest=1" : "/echo?ms=5");
    if (Caller % 4 == 0)
      Call.Port = Entry.ListenPort;
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Call.Body = Body;
    Call.Timeout = std::chrono::milliseconds(6000);
    note(Seen, send(Call), Digest ? digestOf(Body) + "\n" : Body);
  });
  for (int Round = 0; Round < 14; ++Round)
    disturb(Tested, {Tested.Nodes[0]->UpstreamLink,
                     Tested.Nodes[2]->UpstreamLink, &Entry});
  pause(500);
  Load.stop();
  report("1 whole answers", "links cut, slow, silent; upstreams frozen",
         std::to_string(Seen.Whole) + " whole, " +
             std::to_string(Seen.Foreign) + " wrong, " +
             std::to_string(Seen.Cut) + " visibly cut or unanswered, " +
             std::to_string(Seen.Refused) + " refused, " +
             std::to_string(Seen.Other) + " other " + Seen.Example);
  BOOST_TEST(Seen.Foreign == 0);
  BOOST_TEST(Seen.Other == 0);
  BOOST_TEST(Seen.Whole > 500);
  BOOST_TEST(Seen.Cut + Seen.Refused > 0);
}
