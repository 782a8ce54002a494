#include "Mutator.h"
#include "http/Http.h"
#include "mesh/Mesh.h"
#include "platform/Platform.h"
#include "sidecar/internal/GossipCodec.h"
#include "sidecar/internal/HopHeaders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>

using namespace lycheethread;
using robustness::Mutator;

namespace {

constexpr std::uint64_t Seed = 20261205;
constexpr std::size_t MaxRandomBytes = 1500;

/// Malformed inputs for each reader; LYCHEE_MALFORMED_INPUTS asks for more.
int inputCount() {
  constexpr int Usual = 100'000;
  const char *const Wanted = std::getenv("LYCHEE_MALFORMED_INPUTS");
  return Wanted == nullptr ? Usual : std::max(Usual, std::atoi(Wanted));
}

/// Calls \p Read with malformed inputs made from \p Valid; \p Read returns
/// whether it accepted one.
void readMalformed(const std::string &Name, const std::string &Valid,
                   std::uint64_t SeedOffset,
                   const std::function<bool(const std::string &)> &Read) {
  Mutator Random(Seed + SeedOffset);
  BOOST_REQUIRE(Read(Valid));
  const int InputCount = inputCount();
  int Accepted = 0;
  for (int Input = 0; Input < InputCount; ++Input) {
    const bool UseRandomBytes = Random.nextBelow(8) == 0;
    Accepted += Read(UseRandomBytes ? Random.randomBytes(MaxRandomBytes)
                                    : Random.mutate(Valid))
                    ? 1
                    : 0;
  }
  BOOST_TEST_MESSAGE(Name << ": " << InputCount << " malformed inputs, "
                          << Accepted << " were accepted");
}

mesh::NodeReport nodeReport(const std::string &Id) {
  mesh::NodeReport Report;
  Report.Id = NodeId(Id);
  Report.IncarnationNumber = Incarnation(5);
  Report.Number = Sequence(9);
  Report.At = {Region("east"), AvailabilityZone("north")};
  Report.Hop = {"10.0.0.7", 8145};
  Report.Gossip = {"10.0.0.7", 7660};
  Report.Ready = true;
  Report.LocalUpstream.Id = mesh::UpstreamId("i-1");
  Report.LocalUpstream.Service = ServiceName("desk");
  Report.LocalUpstream.State = mesh::UpstreamState::Ready;
  Report.LocalUpstream.Capacity = 13;
  Report.Load = {3, 4, Milliseconds(80), Milliseconds(120)};
  Report.Rollouts.push_back(
      {Offset(40), Milliseconds(700), true, mesh::RolloutState::RolledBack});
  return Report;
}

/// Places a request as a node does that believes all of \p Known.
void place(const mesh::NodeTable &Known) {
  std::mt19937_64 Random(Seed);
  std::vector<mesh::Candidate> Candidates;
  for (const auto &[Id, Node] : Known.Nodes) {
    mesh::Candidate Item;
    Item.Node = Id;
    Item.Capacity = std::max(1, Node.LastReport.LocalUpstream.Capacity);
    Item.Outstanding =
        Node.LastReport.Load.Running + Node.LastReport.Load.Waiting;
    Item.ServiceTime = Node.LastReport.Load.ServiceTime;
    Candidates.push_back(Item);
  }
  mesh::PlacementRequest Request;
  Request.Objective = Request.ObjectiveLeft = Milliseconds(400);
  mesh::chooseCandidate(Candidates, Request, Random);
  mesh::rendezvousFirst(Known, "subject", 3, SteadyTime(1));
}

const std::string Configuration =
    R"({"version":"r7","limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},)"
    R"("listeners":[{"hostname":"shop.example","policy":[{"name":"read",)"
    R"("type":"idempotent","target_latency_s":0.4,"priority":1,)"
    R"("match":{"path_prefix":"/read/"},"action":{"traffic_split":[)"
    R"({"backend_service":"desk","weight":90},{"backend_service":"store",)"
    R"("weight":10}],"timeout_s":1.2,"attempts":2}}]}],"clusters":[)"
    R"({"name":"desk","max_connections":100},{"name":"store"}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(MeshInputs)

// Guards against a datagram that ends the node, also by the values that it
// carries into the node's decisions.
BOOST_AUTO_TEST_CASE(malformedDatagramsAreHarmless) {
  sidecar::GossipMessage Message;
  Message.Reports = {nodeReport("10.0.0.7"), nodeReport("10.0.0.8")};
  Message.Beats = {mesh::beatOf(nodeReport("10.0.0.7"))};
  Message.Wanted = {mesh::NodeKey(77)};
  Message.Evidence =
      mesh::EvidenceReport{NodeId("10.0.0.7"),
                           Incarnation(5),
                           Offset(40),
                           {{RouteName("r"), 20, 3, 18, Milliseconds(1600)}}};
  readMalformed(
      "gossip", encodeGossip(Message), 1, [](const std::string &Bytes) {
        const auto Read = sidecar::decodeGossip(Bytes);
        if (!Read)
          return false;
        mesh::NodeTable Known;
        Known.Self = NodeId("self");
        for (const mesh::NodeReport &Report : Read->Reports)
          mesh::mergeReport(Known, Report, SteadyTime(1));
        for (const mesh::LoadBeat &Beat : Read->Beats)
          mesh::mergeBeat(Known, Beat, SteadyTime(1));
        std::map<NodeId, mesh::KnownEvidence> Evidence;
        if (Read->Evidence)
          mesh::mergeEvidence(Evidence, *Read->Evidence, SteadyTime(1));
        place(Known);
        return true;
      });
}

// Guards against records of a peer that end the node or fill its memory.
BOOST_AUTO_TEST_CASE(malformedRecordsAreHarmless) {
  sidecar::OperatorRecords Records;
  Records.Position = Offset(44);
  Records.Items["config"] = {Configuration, Offset(43)};
  Records.Items["rollout/desk"] = {R"({"version":"v2"})", Offset(12)};
  readMalformed("records", encodeRecords(Records), 2,
                [](const std::string &Bytes) {
                  return sidecar::decodeRecords(Bytes).has_value();
                });
}

// Guards against a header of another node that ends this one.
BOOST_AUTO_TEST_CASE(malformedHopHeadersAreHarmless) {
  sidecar::HopInfo Info;
  Info.Service = ServiceName("desk");
  Info.Route = RouteName("read");
  Info.Caller = ServiceName("store");
  Info.ObjectiveAt = SteadyTime(400);
  Info.DeadlineAt = SteadyTime(1200);
  readMalformed("hop info", encodeInfo(Info, SteadyTime(1)), 3,
                [](const std::string &Text) {
                  return sidecar::decodeInfo(Text, SteadyTime(1)).has_value();
                });
  readMalformed("hop load",
                sidecar::encodeLoad({3, 4, Milliseconds(80), Milliseconds(1)}),
                4, [](const std::string &Text) {
                  return sidecar::decodeLoad(Text).has_value();
                });
  mesh::LoadReport Limited;
  Limited.LimitPerSecond = 7.25;
  Limited.PermitWait = Milliseconds(120);
  readMalformed("hop limit", sidecar::encodeLimit(Limited), 8,
                [](const std::string &Text) {
                  mesh::LoadReport Read;
                  sidecar::decodeLimit(Text, Read);
                  return Read.LimitPerSecond.has_value();
                });
  readMalformed("stated limit",
                sidecar::encodeStated({mesh::UpstreamId("i-1"), 17, 7.25}), 9,
                [](const std::string &Text) {
                  return sidecar::decodeStated(Text).has_value();
                });
  sidecar::HopOutcome Refusal;
  Refusal.Reason = RefusalReason::QueueFull;
  Refusal.RetryDelay = Milliseconds(70);
  readMalformed("hop refusal", sidecar::encodeRefusal(Refusal), 5,
                [](const std::string &Text) {
                  return sidecar::decodeRefusal(Text).has_value();
                });
}

// Guards against a malformed configuration that is accepted in part or ends the
// node: it is refused by std::runtime_error, or used whole.
BOOST_AUTO_TEST_CASE(malformedConfigurationsAreHarmless) {
  const sidecar::PlatformProtocol Protocol = platform::makePlatformProtocol();
  readMalformed("configuration", Configuration, 6,
                [&](const std::string &Text) {
                  try {
                    mesh::MeshConfig Config = Protocol.Operator.Config(Text);
                    mesh::updateLeastUrgent(Config);
                    std::mt19937_64 Random(Seed);
                    for (const auto &[Host, Routes] : Config.Hosts)
                      for (const auto &[Prefix, Route] : Routes) {
                        mesh::SplitState State;
                        mesh::chooseService(Route, State, Random);
                      }
                    return true;
                  } catch (const std::runtime_error &) {
                    return false;
                  }
                });
  readMalformed("bounds", R"({"grace_s":6,"budget_slack":62,"drain_s":2.5})", 7,
                [&](const std::string &Text) {
                  return Protocol.Bounds(Text).Problems.empty();
                });
  readMalformed(
      "member",
      Protocol.Operator.Member({{"10.0.0.7", 7660}, AvailabilityZone("n")}), 8,
      [&](const std::string &Text) {
        return Protocol.Operator.ParseMember(Text).has_value();
      });
  readMalformed(
      "departure",
      Protocol.Operator.Departure({mesh::UpstreamId("i-1"), 1'790'000, true}),
      10, [&](const std::string &Text) {
        const auto Left = Protocol.Operator.ParseDeparture(Text);
        mesh::Registration Known;
        if (Left)
          mesh::restoreDeparture(Known, *Left, SteadyTime(1));
        return Left.has_value();
      });
}

// Guards against a chunked body that is decoded beyond its end, or whose
// decoder ends the node.
BOOST_AUTO_TEST_CASE(malformedBodiesAreHarmless) {
  const std::string Valid =
      "5;ext=1\r\nfirst\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX: "
      "y\r\n\r\n";
  readMalformed("chunks", Valid, 9, [](const std::string &Bytes) {
    http::BodyDecoder Decoder({http::FramingKind::Chunked, 0});
    std::string Body;
    try {
      const std::size_t Used = Decoder.feed(Bytes, Body);
      BOOST_REQUIRE(Used <= Bytes.size());
      BOOST_REQUIRE(Body.size() <= Used);
      return Decoder.isComplete();
    } catch (const http::BadMessage &) {
      return false;
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
