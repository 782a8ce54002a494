#include "TestCluster.h"

#include <Poco/SHA2Engine.h>

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

struct Tally {
  std::mutex Lock;
  int Complete = 0;
  int Wrong = 0;
  int Refused = 0;
  int Incomplete = 0;
  int Other = 0;
  std::string Example;
};

std::string bodyOf(int Caller, int Iteration) {
  std::mt19937 Random(seed() * 7919U + static_cast<unsigned>(Caller) * 104729U +
                      static_cast<unsigned>(Iteration));
  std::string Body(1 + Random() % 200000, ' ');
  const std::string Pattern =
      std::to_string(Caller) + "/" + std::to_string(Iteration) + ";";
  for (std::size_t I = 0; I < Body.size(); ++I)
    Body[I] = Pattern[I % Pattern.size()];
  return Body;
}

std::string digestOf(const std::string &Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

void countAnswer(Tally &To, const HttpAnswer &Answer,
                 const std::string &Expected) {
  const std::lock_guard<std::mutex> Guard(To.Lock);
  if (Answer.Status == 0)
    ++To.Incomplete;
  else if (!Answer.header("lt-refusal-id").empty())
    ++To.Refused;
  else if (Answer.Status != 200) {
    ++To.Other;
    To.Example = std::to_string(Answer.Status) + " " + Answer.Body;
  } else if (Answer.Body == Expected)
    ++To.Complete;
  else {
    ++To.Wrong;
    To.Example = "answer of " + std::to_string(Answer.Body.size()) +
                 " bytes instead of " + std::to_string(Expected.size());
  }
}

/// Injects a random fault into one of the links, or freezes a random upstream.
/// \p Links has three fault proxies: two in front of upstreams and one in front
/// of an entry node.
void injectFault(TestCluster &Cluster,
                 const std::vector<const FaultProcess *> &Links) {
  const FaultProcess &Link =
      *Links[static_cast<std::size_t>(Cluster.randomBetween(0, 2))];
  switch (Cluster.randomBetween(0, 4)) {
  case 0:
    Link.rule(R"("direction":"down","close_after_bytes":)" +
              std::to_string(Cluster.randomBetween(1, 150000)));
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
    // Longer than the timeout of the route, so that the answers arrive late.
    NodeProcess &Node =
        *Cluster.Nodes[static_cast<std::size_t>(Cluster.randomBetween(0, 3))];
    Node.Upstream->pause();
    pause(1800);
    Node.Upstream->resume();
  }
  }
  pause(Cluster.randomBetween(200, 500));
  Link.rule("");
}

} // namespace

// Guards against a caller that receives the answer to another caller's request
// after a closed link, a late answer or the reuse of a connection, and against
// a truncated answer that looks complete.
BOOST_AUTO_TEST_CASE(EveryCallerGetsItsOwnWholeAnswer) {
  TestCluster Cluster("whole");
  Cluster.addFourNodes(true);
  const FaultProcess &EntryFault =
      Cluster.Mesh.startFault("entry-fault", Cluster.Nodes[0]->RequestPort);
  Tally Counts;
  WorkerThreads Load(20, [&](int Caller, int Iteration) {
    const std::string Body = bodyOf(Caller, Iteration);
    const bool Digest = Iteration % 2 == 1;
    HttpCall Call =
        Cluster.makeCall(*Cluster.Nodes[static_cast<std::size_t>(Caller % 4)],
                         "POST", Digest ? "/lookup?digest=1" : "/echo?ms=5");
    if (Caller % 4 == 0)
      Call.Port = EntryFault.ListenPort;
    Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
    Call.Body = Body;
    Call.Timeout = std::chrono::milliseconds(6000);
    countAnswer(Counts, send(Call), Digest ? digestOf(Body) + "\n" : Body);
  });
  for (int Round = 0; Round < 14; ++Round)
    injectFault(Cluster, {Cluster.Nodes[0]->UpstreamLink,
                          Cluster.Nodes[2]->UpstreamLink, &EntryFault});
  pause(500);
  Load.stop();
  report("1 whole answers", "links cut, slow, silent; upstreams frozen",
         std::to_string(Counts.Complete) + " whole, " +
             std::to_string(Counts.Wrong) + " wrong, " +
             std::to_string(Counts.Incomplete) +
             " visibly cut or unanswered, " + std::to_string(Counts.Refused) +
             " refused, " + std::to_string(Counts.Other) + " other " +
             Counts.Example);
  BOOST_TEST(Counts.Wrong == 0);
  BOOST_TEST(Counts.Other == 0);
  BOOST_TEST(Counts.Complete > 500);
  BOOST_TEST(Counts.Incomplete + Counts.Refused > 0);
}
