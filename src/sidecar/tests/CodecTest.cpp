#define BOOST_TEST_MODULE Sidecar
#include "sidecar/internal/GossipCodec.h"
#include "sidecar/internal/HopHeaders.h"
#include "sidecar/internal/UpstreamStatement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace lycheethread;
using namespace lycheethread::sidecar;

namespace {

mesh::NodeReport fullReport() {
  mesh::NodeReport Report;
  Report.Id = NodeId("10.0.0.7");
  Report.IncarnationNumber = Incarnation(5);
  Report.Number = Sequence(9);
  Report.At = {Region("east"), AvailabilityZone("north")};
  Report.Hop = {"10.0.0.7", 8145};
  Report.Gossip = {"10.0.0.7", 7660};
  Report.Ready = true;
  Report.LocalUpstream.Id = mesh::UpstreamId("i-1");
  Report.LocalUpstream.StartedAtUnixMs = 1'700'000'000'000;
  Report.LocalUpstream.State = mesh::UpstreamState::Draining;
  Report.LocalUpstream.Capacity = 13;
  Report.Load = {3, 4, Milliseconds(80), Milliseconds(120)};
  Report.OperatorPosition = Offset(44);
  Report.ConfirmedAge = Milliseconds(300);
  Report.Rollouts.push_back(
      {Offset(40), Milliseconds(700), true, mesh::RolloutState::RolledBack,
       mesh::Judgement{Milliseconds(90), 3, true, false}});
  Report.Crashes.push_back({requests::Fingerprint("ab"),
                            requests::CrashId("n/i/1"),
                            requests::SuspectWeight::Answered});
  return Report;
}

bool neverReplaces(const std::string &, const OperatorRecord &,
                   const OperatorRecord &) {
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codecs)

BOOST_AUTO_TEST_CASE(reportsRoundTrip) {
  const auto Read = decodeGossip(encodeGossip({{fullReport()}, {}, {}}));
  BOOST_REQUIRE((Read && Read->Reports.size() == 1U));
  const mesh::NodeReport &Report = Read->Reports.front();
  BOOST_TEST(Report.Id.str() == "10.0.0.7");
  BOOST_TEST(Report.LocalUpstream.StartedAtUnixMs == 1'700'000'000'000);
  BOOST_TEST((Report.LocalUpstream.State == mesh::UpstreamState::Draining));
  BOOST_TEST(Report.Load.BodyWait.count() == 120);
  BOOST_TEST((Report.Rollouts.at(0).State == mesh::RolloutState::RolledBack));
  BOOST_TEST(Report.Rollouts.at(0).Judged.value().Age.count() == 90);
  BOOST_TEST(Report.Rollouts.at(0).Judged->StepLimit == 3);
  BOOST_TEST(Report.Rollouts.at(0).Judged->IsComparing);
  BOOST_TEST(!Report.Rollouts.at(0).Judged->HasPassed);
  BOOST_TEST(Report.ConfirmedAge.value().count() == 300);
  BOOST_TEST(
      (Report.Crashes.at(0).Weight == requests::SuspectWeight::Answered));
}

// Guards against a node that has not read the store yet but is taken to have
// confirmed its position just now.
BOOST_AUTO_TEST_CASE(missingConfirmationRoundTrips) {
  mesh::NodeReport Report = fullReport();
  Report.ConfirmedAge.reset();
  const auto Read = decodeGossip(encodeGossip({{Report}, {}, {}}));
  BOOST_REQUIRE((Read && Read->Reports.size() == 1U));
  BOOST_TEST(!Read->Reports.front().ConfirmedAge.has_value());
}

mesh::EvidenceByRoute evidenceOf(int Routes) {
  mesh::EvidenceByRoute Own;
  for (int At = 0; At < Routes; ++At) {
    const RouteName Name("fetch-of-a-package-with-a-long-name-" +
                         std::to_string(At));
    Own[Name] = {Name, 100'000, 3000, 90'000, Milliseconds(9'000'000)};
  }
  return Own;
}

// Guards against evidence that its receivers refuse for its length: with some
// hundred routes no outcome reached the nodes that judge.
BOOST_AUTO_TEST_CASE(evidenceOfManyRoutesIsSplit) {
  const mesh::EvidencePlan Plan{1100, 4, encodedRouteSize};
  mesh::EvidenceCursor State;
  std::map<NodeId, mesh::KnownEvidence> Known;
  const mesh::EvidenceByRoute Own = evidenceOf(1400);
  for (int Round = 0; Round < 40; ++Round)
    for (mesh::EvidenceReport &Part :
         mesh::composeEvidence(Offset(1LL << 40), Own, Plan, State)) {
      Part.Node = NodeId("10.100.200.107");
      Part.IncarnationNumber = Incarnation(1'700'000'000'000);
      GossipMessage Message;
      Message.Evidence = Part;
      const std::string Wire = encodeGossip(Message);
      BOOST_TEST_REQUIRE(Wire.size() <= MaxDatagramBytes);
      const auto Read = decodeGossip(Wire);
      BOOST_REQUIRE((Read && Read->Evidence));
      mesh::mergeEvidence(Known, *Read->Evidence, SteadyTime(1));
    }
  const mesh::KnownEvidence &Node = Known.at(NodeId("10.100.200.107"));
  const mesh::EvidenceByRoute &Got = Node.Routes;
  BOOST_TEST(Got.size() == 1401U);
  BOOST_TEST(Got.at(RouteName()).Bad == 1400 * 3000);
  BOOST_TEST(Node.Order.value() == 1LL << 40);
  BOOST_TEST(Got.rbegin()->second.Timed == 90'000);
}

// Guards against a node report that its receivers refuse for its length.
BOOST_AUTO_TEST_CASE(longReportsFitWithOneToForward) {
  mesh::NodeReport Report = fullReport();
  const std::size_t Usual = encodedSize(Report);
  BOOST_TEST_MESSAGE("report: " << Usual << " bytes");
  BOOST_TEST(Usual <= MaxReportBytes);
  for (int At = 0; At < 1000; ++At)
    Report.Rollouts.push_back({Offset((1LL << 40) + At), Milliseconds(90'000),
                               false, mesh::RolloutState::Completed});
  mesh::fitReport(Report, {MaxReportBytes, encodedSize}, 3);
  BOOST_TEST(encodedSize(Report) <= MaxReportBytes);
  BOOST_TEST(Report.Rollouts.size() > 1U);
  BOOST_TEST(encodeGossip({{Report, Report, Report}, {}, {}}).size() <=
             MaxDatagramBytes);
}

// Guards against permits that are taken for another organisation or ask, and
// against a report that every ask would carry along.
BOOST_AUTO_TEST_CASE(asksAndGrantsRoundTripWithoutAReport) {
  GossipMessage Message;
  Message.Asks.push_back({organisations::OrganisationId("acme"),
                          {NodeId("10.0.0.7"), Sequence(1LL << 39), 12}});
  Message.Grants.push_back({organisations::OrganisationId("corp"),
                            {Sequence(9), 3, Milliseconds(250)}});
  const std::string Wire = encodeGossip(Message);
  BOOST_TEST_MESSAGE("ask: "
                     << encodeGossip({{}, {}, {}, Message.Asks}).size()
                     << " bytes, grant: "
                     << encodeGossip({{}, {}, {}, {}, Message.Grants}).size());
  BOOST_TEST(Wire.size() < 64U);
  const auto Read = decodeGossip(Wire);
  BOOST_REQUIRE((Read && Read->Asks.size() == 1U && Read->Grants.size() == 1U));
  BOOST_TEST(Read->Reports.empty());
  BOOST_TEST(Read->Asks[0].Organisation.str() == "acme");
  BOOST_TEST(Read->Asks[0].Ask.Entry.str() == "10.0.0.7");
  BOOST_TEST((Read->Asks[0].Ask.Number == Sequence(1LL << 39)));
  BOOST_TEST(Read->Asks[0].Ask.Wanted == 12);
  BOOST_TEST(Read->Grants[0].Organisation.str() == "corp");
  BOOST_TEST((Read->Grants[0].Grant.Number == Sequence(9)));
  BOOST_TEST(Read->Grants[0].Grant.Permits == 3);
  BOOST_TEST(Read->Grants[0].Grant.RetryDelay.count() == 250);
}

// Guards against an owner that does not learn who comes back, and an entry that
// does not learn when.
BOOST_AUTO_TEST_CASE(placesOfReturningCallersRoundTrip) {
  GossipMessage Message;
  Message.Asks.push_back({organisations::OrganisationId("acme"),
                          {NodeId("10.0.0.7"), Sequence(5), 12, 3}});
  Message.Grants.push_back({organisations::OrganisationId("corp"),
                            {Sequence(9), 3, Milliseconds(250), 4,
                             Milliseconds(310), Milliseconds(7)}});
  BOOST_TEST_MESSAGE("ask with returning callers: "
                     << encodeGossip({{}, {}, {}, Message.Asks}).size()
                     << " bytes, grant with places: "
                     << encodeGossip({{}, {}, {}, {}, Message.Grants}).size());
  const auto Read = decodeGossip(encodeGossip(Message));
  BOOST_REQUIRE((Read && Read->Asks.size() == 1U && Read->Grants.size() == 1U));
  BOOST_TEST(Read->Asks[0].Ask.Returning == 3);
  BOOST_TEST(Read->Grants[0].Grant.Places == 4);
  BOOST_TEST(Read->Grants[0].Grant.ReturnDelay.count() == 310);
  BOOST_TEST(Read->Grants[0].Grant.PlaceInterval.count() == 7);
}

// Guards against a crash of the process by a datagram from a foreign sender.
BOOST_AUTO_TEST_CASE(brokenDatagramsAreRejected) {
  const std::string Whole = encodeGossip({{fullReport()}, {}, {}});
  std::mt19937 Random(7);
  for (int Count = 0; Count < 5000; ++Count) {
    std::string Broken = Whole.substr(0, Random() % (Whole.size() + 1));
    for (int Change = 0; Change < 3 && !Broken.empty(); ++Change)
      Broken[Random() % Broken.size()] = static_cast<char>(Random());
    decodeGossip(Broken);
    decodeRecords(Broken);
  }
  BOOST_TEST(!decodeGossip("").has_value());
  BOOST_TEST(!decodeGossip(std::string(5000, 'x')).has_value());
}

BOOST_AUTO_TEST_CASE(recordsRoundTripCompressed) {
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

// Guards against a record that is replaced by an older version from another
// source.
BOOST_AUTO_TEST_CASE(onlyNewerRecordsAreMerged) {
  OperatorRecords Known;
  Known.Position = Offset(9);
  Known.Items["config"] = {"new", Offset(8)};
  OperatorRecords Old;
  Old.Position = Offset(5);
  Old.Items["config"] = {"old", Offset(4)};
  BOOST_TEST(!mergeRecords(Known, Old, neverReplaces));
  BOOST_TEST(Known.Items.at("config").Value == "new");
  Old.Items["rollout/x"] = {"order", Offset(3)};
  BOOST_TEST(mergeRecords(Known, Old, neverReplaces));
  BOOST_TEST(Known.Position.value() == 9);
}

// Guards against records of a restored store that are taken for old because of
// their offsets, and against records from its copy that replace newer ones.
BOOST_AUTO_TEST_CASE(recordsOfALaterEraAreMergedByTheirAge) {
  const auto At = [](std::int64_t Era, std::int64_t Plain) {
    return positionOf(StoreEra(Era), Offset(Plain));
  };
  const ReplacesAcrossEras ByValue =
      [](const std::string &, const OperatorRecord &Known,
         const OperatorRecord &Newer) { return Newer.Value >= Known.Value; };
  OperatorRecords Lived;
  Lived.Position = At(1, 20);
  Lived.Items["config"] = {"v16", At(1, 19)};
  OperatorRecords Copy;
  Copy.Position = At(2, 14);
  Copy.Items["config"] = {"v11", At(2, 12)};
  OperatorRecords Started = Copy;
  BOOST_TEST(mergeRecords(Lived, Copy, ByValue));
  BOOST_TEST((Lived.Position == At(2, 14)));
  BOOST_TEST(Lived.Items.at("config").Value == "v16");
  BOOST_TEST(countKept(Lived) == 1);
  // A node that was started since gets the kept record, at the same position.
  BOOST_TEST(countKept(Started) == 0);
  BOOST_TEST(mergeRecords(Started, Lived, ByValue));
  BOOST_TEST(Started.Items.at("config").Value == "v16");
  BOOST_TEST(countKept(Started) == 1);
  BOOST_TEST(!mergeRecords(Started, Copy, ByValue));
  // The operator writes it again, then a later one at an offset that was used.
  OperatorRecords Later;
  Later.Position = At(2, 15);
  Later.Items["config"] = {"v16", At(2, 14)};
  BOOST_TEST(mergeRecords(Started, Later, ByValue));
  BOOST_TEST(countKept(Started) == 0);
  Later.Position = At(2, 16);
  Later.Items["config"] = {"v17", At(2, 15)};
  BOOST_TEST(mergeRecords(Started, Later, ByValue));
  BOOST_TEST(Started.Items.at("config").Value == "v17");
}

// Guards against a removal that a node does not learn, or that an older record
// undoes.
BOOST_AUTO_TEST_CASE(removalsAreKeptAndMerged) {
  OperatorRecords Known;
  Known.Position = Offset(9);
  Known.Items["evacuate/north"] = {"{}", Offset(8)};
  OperatorRecords Newer;
  Newer.Position = Offset(10);
  Newer.Items["evacuate/north"] = {"", Offset(9)};
  const auto Read = decodeRecords(encodeRecords(Newer));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(isRemoval(Read->Items.at("evacuate/north")));
  OperatorRecords Old = Known;
  BOOST_TEST(mergeRecords(Known, *Read, neverReplaces));
  BOOST_TEST(isRemoval(Known.Items.at("evacuate/north")));
  BOOST_TEST(!mergeRecords(Known, Old, neverReplaces));
  // Ordered again.
  Newer.Position = Offset(11);
  Newer.Items["evacuate/north"] = {"{}", Offset(10)};
  BOOST_TEST(mergeRecords(Known, Newer, neverReplaces));
  BOOST_TEST(!isRemoval(Known.Items.at("evacuate/north")));
}

// Guards against a removal that is missed because the store no longer shows
// it, and against records that are taken as removed although the store has
// only lost them or is read at an earlier state.
BOOST_AUTO_TEST_CASE(whatAWholeReadLacksIsRemoved) {
  const auto At = [](std::int64_t Era, std::int64_t Plain) {
    return positionOf(StoreEra(Era), Offset(Plain));
  };
  OperatorRecords Known;
  Known.Position = At(1, 9);
  Known.Items["config"] = {"v1", At(1, 2)};
  Known.Items["evacuate/north"] = {"{}", At(1, 8)};
  Known.Items["evacuate/south"] = {"", At(1, 7)};
  const auto Lacks = [&](Offset Position) {
    OperatorRecords Whole;
    Whole.Position = Position;
    addRemovals(Whole, Known, "config");
    return Whole;
  };
  const OperatorRecords Whole = Lacks(At(1, 12));
  BOOST_TEST(Whole.Items.size() == 1U);
  BOOST_TEST((Whole.Items.at("evacuate/north").At == At(1, 11)));
  OperatorRecords Merged = Known;
  BOOST_TEST(mergeRecords(Merged, Whole, neverReplaces));
  BOOST_TEST(isRemoval(Merged.Items.at("evacuate/north")));
  BOOST_TEST(Merged.Items.at("config").Value == "v1");
  BOOST_TEST(!mergeRecords(Merged, Whole, neverReplaces));
  // Also where the topic ends with the record that was removed.
  Merged = Known;
  BOOST_TEST(mergeRecords(Merged, Lacks(At(1, 9)), neverReplaces));
  BOOST_TEST(isRemoval(Merged.Items.at("evacuate/north")));
  BOOST_TEST(Lacks(At(1, 8)).Items.empty());
  BOOST_TEST(Lacks(At(2, 12)).Items.empty());
}

BOOST_AUTO_TEST_CASE(positionsHoldEraAndOffset) {
  const Offset Position = positionOf(StoreEra(3), Offset(77));
  BOOST_TEST(eraOf(Position).value() == 3);
  BOOST_TEST(plainOffset(Position).value() == 77);
  BOOST_TEST((positionOf(StoreEra(2), Offset(1'000'000)) < Position));
  // A store that states no era keeps its plain offsets.
  BOOST_TEST(positionOf(StoreEra(), Offset(5)).value() == 5);
}

BOOST_AUTO_TEST_CASE(hopHeadersRoundTrip) {
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

// Guards against a name from a record or a check-in that ends the header line
// of a request between nodes, or cannot be read by the last hop.
BOOST_AUTO_TEST_CASE(namesInHopHeadersMayHoldAnyCharacter) {
  const std::string Name = "v1;\r\nX-Caller-Service: payroll%3B\x01 \xc3\xa4";
  HopInfo Info;
  Info.Service = ServiceName("desk" + Name);
  Info.Version = VersionName(Name);
  Info.Route = RouteName("r" + Name);
  Info.Caller = ServiceName("c" + Name);
  const std::string Text = encodeInfo(Info, SteadyTime(1000));
  BOOST_TEST(http::isFieldValue(Text));
  const auto Read = decodeInfo(Text, SteadyTime(1000));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Service.str() == "desk" + Name);
  BOOST_TEST(Read->Version.str() == Name);
  BOOST_TEST(Read->Route.str() == "r" + Name);
  BOOST_TEST(Read->Caller.str() == "c" + Name);
  const std::string Limit = encodeStated({mesh::UpstreamId(Name), 17, 2});
  BOOST_TEST(http::isFieldValue(Limit));
  BOOST_TEST(decodeStated(Limit).value().By.str() == Name);
  BOOST_TEST(
      !decodeInfo("desk%;v1;r;upload;1;2;3;c;F;4", SteadyTime(1)).has_value());
}

// Guards against an upstream's limit that other nodes do not learn of, or take
// for none.
BOOST_AUTO_TEST_CASE(limitsRoundTrip) {
  mesh::NodeReport Report = fullReport();
  BOOST_TEST(!decodeGossip(encodeGossip({{Report}, {}, {}}))
                  ->Reports.front()
                  .Load.LimitPerSecond.has_value());
  for (const double PerSecond : {0.0, 7.6, 88.25}) {
    Report.Load.LimitPerSecond = PerSecond;
    Report.Load.PermitWait = Milliseconds(130);
    const auto Read =
        decodeGossip(encodeGossip({{Report}, {mesh::beatOf(Report)}, {}}));
    BOOST_REQUIRE(Read.has_value());
    BOOST_TEST(Read->Reports.front().Load.LimitPerSecond.value() == PerSecond);
    BOOST_TEST(Read->Beats.front().Load.LimitPerSecond.value() == PerSecond);
    BOOST_TEST(Read->Beats.front().Load.PermitWait.count() == 130);
    mesh::LoadReport Load;
    decodeLimit(encodeLimit(Report.Load), Load);
    BOOST_TEST(Load.LimitPerSecond.value() == PerSecond);
    BOOST_TEST(Load.PermitWait.count() == 130);
    const auto Stated =
        decodeStated(encodeStated({mesh::UpstreamId("i-1"), 17, PerSecond}));
    BOOST_REQUIRE(Stated.has_value());
    BOOST_TEST(Stated->By.str() == "i-1");
    BOOST_TEST(Stated->StartedAtUnixMs == 17);
    BOOST_TEST(Stated->PerSecond == PerSecond);
  }
}

// Guards against a malformed statement that is taken for the end of a limit.
BOOST_AUTO_TEST_CASE(statementsAreReadStrictly) {
  HeaderNames Names;
  Names.Limit = "limit";
  Names.Leaving = "leaving";
  Poco::Net::HTTPResponse Head;
  BOOST_TEST(!readStatement(Head, Names).PerSecond.has_value());
  BOOST_TEST(!readStatement(Head, Names).IsUnreadable);
  for (const char *const Text : {"", "many", "-3", "nan", "inf", "1e999"}) {
    Head.set("limit", Text);
    BOOST_TEST(!readStatement(Head, Names).PerSecond.has_value());
    BOOST_TEST(readStatement(Head, Names).IsUnreadable);
  }
  Head.set("limit", "7.25");
  BOOST_TEST(readStatement(Head, Names).PerSecond.value() == 7.25);
  Head.set("leaving", "0");
  BOOST_TEST(!readStatement(Head, Names).IsLeaving);
  Head.set("leaving", "1");
  BOOST_TEST(readStatement(Head, Names).IsLeaving);
}

// Guards against a refusal whose outcome changes in transit.
BOOST_AUTO_TEST_CASE(refusalsRoundTrip) {
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

// Guards against a node of an earlier build that takes a request which a last
// hop has rejected for one that may have run: it knows no callee-full.
BOOST_AUTO_TEST_CASE(calleeFullIsNotExecutedForEveryBuild) {
  const std::string Text =
      encodeRefusal(notRun(RefusalReason::CalleeFull, Milliseconds(250)));
  BOOST_TEST(Text.rfind("queue-full;no;", 0) == 0U);
  BOOST_TEST(std::count(Text.begin(), Text.end(), ';') == 3);
  const auto Read = decodeRefusal(Text);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST((Read->End == HopResult::NotRun));
  BOOST_TEST((Read->Reason == RefusalReason::CalleeFull));
  BOOST_TEST(!Read->Reached);
  BOOST_TEST(Read->RetryDelay.count() == 250);
}

// Guards against a refusal of a later build that counts as a failed run, and
// against a failed run that counts as not executed.
BOOST_AUTO_TEST_CASE(unknownReasonsKeepTheExecution) {
  const auto Refused = decodeRefusal("reason-of-a-later-build;no;0;80");
  BOOST_REQUIRE(Refused.has_value());
  BOOST_TEST((Refused->End == HopResult::NotRun));
  BOOST_TEST(Refused->RetryDelay.count() == 80);
  BOOST_TEST(!decodeRefusal("reason-of-a-later-build;unknown;1;0").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
