#define BOOST_TEST_MODULE Sidecar
#include "sidecar/internal/GossipCodec.h"
#include "sidecar/internal/HopHeaders.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace lycheethread;
using namespace lycheethread::sidecar;

namespace {

mesh::NodeReport fullNews() {
  mesh::NodeReport News;
  News.Id = NodeId("10.0.0.7");
  News.IncarnationNumber = Incarnation(5);
  News.Number = Sequence(9);
  News.At = {Region("east"), AvailabilityZone("north")};
  News.Hop = {"10.0.0.7", 8145};
  News.Gossip = {"10.0.0.7", 7660};
  News.Ready = true;
  News.Own.Id = mesh::UpstreamId("i-1");
  News.Own.StartedAtUnixMs = 1'700'000'000'000;
  News.Own.State = mesh::UpstreamState::Draining;
  News.Own.Capacity = 13;
  News.Load = {3, 4, Milliseconds(80), Milliseconds(120)};
  News.OperatorPosition = Offset(44);
  News.ConfirmedAge = Milliseconds(300);
  News.Rollouts.push_back(
      {Offset(40), Milliseconds(700), true, mesh::RolloutState::RolledBack});
  News.Evidence.push_back(
      {Offset(40), RouteName("r"), 20, 3, Milliseconds(1600)});
  News.Crashes.push_back({requests::Fingerprint("ab"),
                          requests::CrashId("n/i/1"),
                          requests::SuspectWeight::Answered});
  return News;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codecs)

BOOST_AUTO_TEST_CASE(newsAreReadBack) {
  const auto Read = decodeReports(encodeReports({fullNews()}));
  BOOST_REQUIRE((Read && Read->size() == 1U));
  const mesh::NodeReport &News = Read->front();
  BOOST_TEST(News.Id.str() == "10.0.0.7");
  BOOST_TEST(News.Own.StartedAtUnixMs == 1'700'000'000'000);
  BOOST_TEST((News.Own.State == mesh::UpstreamState::Draining));
  BOOST_TEST(News.Load.BodyWait.count() == 120);
  BOOST_TEST((News.Rollouts.at(0).State == mesh::RolloutState::RolledBack));
  BOOST_TEST(News.Evidence.at(0).Bad == 3);
  BOOST_TEST(News.ConfirmedAge.value().count() == 300);
  BOOST_TEST((News.Crashes.at(0).Weight == requests::SuspectWeight::Answered));
}

// Guards against a node that has not read the store yet and counts as having
// confirmed its position just now.
BOOST_AUTO_TEST_CASE(missingConfirmationIsReadBack) {
  mesh::NodeReport News = fullNews();
  News.ConfirmedAge.reset();
  const auto Read = decodeReports(encodeReports({News}));
  BOOST_REQUIRE((Read && Read->size() == 1U));
  BOOST_TEST(!Read->front().ConfirmedAge.has_value());
}

// Guards against a datagram of another sender that ends the process.
BOOST_AUTO_TEST_CASE(brokenDatagramsAreRejected) {
  const std::string Whole = encodeReports({fullNews()});
  std::mt19937 Random(7);
  for (int Count = 0; Count < 5000; ++Count) {
    std::string Broken = Whole.substr(0, Random() % (Whole.size() + 1));
    for (int Change = 0; Change < 3 && !Broken.empty(); ++Change)
      Broken[Random() % Broken.size()] = static_cast<char>(Random());
    decodeReports(Broken);
    decodeRecords(Broken);
  }
  BOOST_TEST(!decodeReports("").has_value());
  BOOST_TEST(!decodeReports(std::string(5000, 'x')).has_value());
}

BOOST_AUTO_TEST_CASE(recordsAreReadBackSmaller) {
  OperatorRecords Records;
  Records.Position = Offset(7);
  Records.Items["config"] = {std::string(100'000, 'c'), Offset(6)};
  const std::string Wire = encodeRecords(Records);
  BOOST_TEST(Wire.size() < 5000U);
  const auto Read = decodeRecords(Wire);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Position.value() == 7);
  BOOST_TEST(
      (Read->Items.at("config").Value == Records.Items.at("config").Value));
  BOOST_TEST(!decodeRecords(Wire.substr(0, Wire.size() / 2)).has_value());
}

// Guards against a record that returns to an older one by another way.
BOOST_AUTO_TEST_CASE(onlyNewerRecordsAreMerged) {
  OperatorRecords Known;
  Known.Position = Offset(9);
  Known.Items["config"] = {"new", Offset(8)};
  OperatorRecords Old;
  Old.Position = Offset(5);
  Old.Items["config"] = {"old", Offset(4)};
  BOOST_TEST(!mergeRecords(Known, Old));
  BOOST_TEST(Known.Items.at("config").Value == "new");
  Old.Items["rollout/x"] = {"order", Offset(3)};
  BOOST_TEST(mergeRecords(Known, Old));
  BOOST_TEST(Known.Position.value() == 9);
}

BOOST_AUTO_TEST_CASE(hopHeadersAreReadBack) {
  HopInfo Info;
  Info.Service = ServiceName("desk");
  Info.Route = RouteName("r-1");
  Info.Class = RequestClass::Upload;
  Info.Rank = 2;
  Info.Objective = Milliseconds(400);
  Info.ObjectiveAt = SteadyTime(1300);
  Info.DeadlineAt = SteadyTime(1800);
  Info.RequestFingerprint = requests::Fingerprint("F00D");
  const auto Read =
      decodeInfo(encodeInfo(Info, SteadyTime(1000)), SteadyTime(5000));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->ObjectiveAt.value() == 5300);
  BOOST_TEST(Read->DeadlineAt.value() == 5800);
  BOOST_TEST(Read->Version.empty());
  BOOST_TEST((Read->Class == RequestClass::Upload));
  BOOST_TEST(!decodeInfo("desk;v1;r;upload", SteadyTime(1)).has_value());
}

// Guards against a refusal whose verdict changes on its way.
BOOST_AUTO_TEST_CASE(refusalsKeepTheirVerdict) {
  for (const HopResult End : {HopResult::NotRun, HopResult::Failed}) {
    HopOutcome Outcome;
    Outcome.End = End;
    Outcome.Reason = RefusalReason::QueueFull;
    Outcome.Reached = End == HopResult::Failed;
    Outcome.RetryDelay = Milliseconds(70);
    const auto Read = decodeRefusal(encodeRefusal(Outcome));
    BOOST_REQUIRE(Read.has_value());
    BOOST_TEST((Read->End == End));
    BOOST_TEST(Read->Reached == Outcome.Reached);
    BOOST_TEST(Read->RetryDelay.count() == 70);
  }
  BOOST_TEST(!decodeRefusal("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
