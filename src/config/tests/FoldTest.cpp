#define BOOST_TEST_MODULE Config
#include "FoldFixture.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace lycheethread;
using namespace lycheethread::config;

namespace {

const std::string Move = "[move.main]\nfrom = v1\nto = v2\n"
                         "finish_by = 2026-12-05T18:00:00Z\n";

std::string moveText(int BaseRevision, const std::string &Versions) {
  return "[service]\nname = a\nteam = t\nbuilds_on = " +
         std::to_string(BaseRevision) +
         "\n[upstreams.main]\nversions = " + Versions + "\n";
}

bool hasProblem(const PublishResult &Result, const std::string &Key,
                bool HasLine = true) {
  for (const Finding &Item : Result.Problems)
    if (Item.Key == Key && (Item.Line > 0) == HasLine && !Item.Allowed.empty())
      return true;
  return false;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Fold, FoldFixture)

// Guards against concurrent edits that silently overwrite each other.
BOOST_AUTO_TEST_CASE(OneOfTwoConcurrentEditsWins) {
  BOOST_TEST(foldPublish("a", 0, "main").Accepted);
  BOOST_TEST(foldPublish("a", 1, "main, side").Accepted);
  const PublishResult Late = foldPublish("a", 1, "main");
  BOOST_TEST(!Late.Accepted);
  BOOST_TEST(Late.InForce == Revision(2));
  BOOST_TEST(hasProblem(Late, "service.builds_on"));
  BOOST_TEST(State.Documents.at(ServiceName("a")).Document.Groups.size() == 2);
}

// Guards against a record that names another service or base revision than its
// document.
BOOST_AUTO_TEST_CASE(RecordAndDocumentMustAgree) {
  const std::string Text = documentText("a", 0, "main");
  BOOST_TEST(hasProblem(fold(publish("b", 0, Text)), "service.name"));
  BOOST_TEST(hasProblem(fold(publish("a", 1, Text)), "service.builds_on"));
  BOOST_TEST(State.Documents.empty());
}

// Guards against a document that is partly applied.
BOOST_AUTO_TEST_CASE(DocumentWithAMistakeChangesNothing) {
  foldPublish("a", 0, "main");
  const PublishResult Result =
      foldPublish("a", 1, "main, side", "[limits]\nslots = 0\n");
  BOOST_TEST(!Result.Accepted);
  BOOST_TEST(inForce("a") == Revision(1));
  BOOST_TEST(State.Documents.at(ServiceName("a")).Document.Groups.size() == 1);
}

// Guards against references to services and groups that do not exist.
BOOST_AUTO_TEST_CASE(UsesMustNameAnAcceptedGroup) {
  BOOST_TEST(hasProblem(foldPublish("a", 0, "main", usesText("b", "store")),
                        "uses.other.service"));
  foldPublish("b", 0, "store");
  BOOST_TEST(hasProblem(foldPublish("a", 0, "main", usesText("b", "desk")),
                        "uses.other.upstreams"));
  BOOST_TEST(foldPublish("a", 0, "main", usesText("b", "store")).Accepted);
}

// Guards against a dangling reference when service A starts to use a group
// while service B removes it: the first record is accepted, the second refused.
BOOST_AUTO_TEST_CASE(CrossingUseAndRemovalInEitherOrder) {
  for (const bool UseFirst : {true, false}) {
    FoldFixture Own;
    Own.foldPublish("b", 0, "store, spare");
    Own.foldPublish("a", 0, "main");
    const Record Use = Own.publish(
        "a", 1, documentText("a", 1, "main", usesText("b", "spare")));
    const Record Removal = Own.publish("b", 1, documentText("b", 1, "store"));
    const PublishResult First = Own.fold(UseFirst ? Use : Removal);
    const PublishResult Second = Own.fold(UseFirst ? Removal : Use);
    BOOST_TEST(First.Accepted);
    BOOST_TEST(!Second.Accepted);
    // The removed section has no line in the refused text.
    BOOST_TEST(hasProblem(Second,
                          UseFirst ? "upstreams.spare" : "uses.other.upstreams",
                          !UseFirst));
    for (const auto &Item : Own.State.Documents)
      BOOST_TEST(checkAgainst(Own.State, Item.second.Document).empty());
  }
}

// Guards against a duplicate record that counts as a second edit.
BOOST_AUTO_TEST_CASE(RepeatedRecordIsFoldedOnce) {
  const Record First = publish("a", 0, documentText("a", 0, "main"));
  BOOST_TEST(fold(First).Accepted);
  const PublishResult Again = fold(First);
  BOOST_TEST(Again.Accepted);
  BOOST_TEST(Again.At == Offset(0));
  BOOST_TEST(State.PublishResults.size() == 1);
  BOOST_TEST(State.Position == Offset(2));
}

// Guards against records that are folded at another offset than State.Position.
BOOST_AUTO_TEST_CASE(OtherOffsetsHaveNoEffect) {
  const Record Item = publish("a", 0, documentText("a", 0, "main"));
  foldRecord(State, Offset(1), Item);
  skipRecord(State, Offset(1));
  BOOST_TEST(State.Position == Offset(0));
  BOOST_TEST(State.Documents.empty());
  skipRecord(State, Offset(0));
  BOOST_TEST(State.Position == Offset(1));
}

// Guards against an immediate switch of all traffic to an untested version.
BOOST_AUTO_TEST_CASE(OnlyAMoveChangesTheServingVersion) {
  BOOST_TEST(fold(publish("a", 0, moveText(0, "v1"))).Accepted);
  BOOST_TEST(hasProblem(fold(publish("a", 1, moveText(1, "v2"))),
                        "upstreams.main.versions"));
  const std::string Swapped = moveText(1, "v2, v1") +
                              "[move.main]\nfrom = v2\nto = v1\n"
                              "finish_by = 2026-12-05T18:00:00Z\n";
  BOOST_TEST(!fold(publish("a", 1, Swapped)).Accepted);
  BOOST_TEST(fold(publish("a", 1, moveText(1, "v1, v2") + Move)).Accepted);
  BOOST_TEST(State.Moves.Running.size() == 1);
}

// Guards against an edit that is refused because an unchanged plan, whose move
// has already started, no longer fits before its deadline.
BOOST_AUTO_TEST_CASE(AnUnchangedPlanMayStayAfterItsDeadline) {
  fold(publish("a", 0, moveText(0, "v1")));
  fold(publish("a", 1, moveText(1, "v1, v2") + Move));
  Record Late = publish("a", 2, moveText(2, "v1, v2") + Move);
  Late.Header.WrittenAt = after(Noon, std::chrono::hours(7));
  BOOST_TEST(fold(Late).Accepted);
  BOOST_TEST(State.Moves.Running.empty());
  BOOST_TEST(State.Moves.Ended.size() == 1);
}

// Guards against plans that cannot finish before their deadline.
BOOST_AUTO_TEST_CASE(PlanThatDoesNotFitIsRefused) {
  fold(publish("a", 0, moveText(0, "v1")));
  Record Late = publish("a", 1, moveText(1, "v1, v2") + Move);
  Late.Header.WrittenAt = after(Noon, Milliseconds(6 * 3600 * 1000 - 60'000));
  BOOST_TEST(hasProblem(fold(Late), "move.main.finish_by"));
}

// Guards against state that grows with the number of publications.
BOOST_AUTO_TEST_CASE(ResultsAndWritersAreBounded) {
  std::string Bad;
  for (int I = 0; I < 100; ++I)
    Bad += "[" + std::string(300, 'x') + std::to_string(I) + "]\n";
  for (std::size_t I = 0; I < MaxWriters + 10; ++I)
    fold(publish("a", 0, I < 3 ? Bad : ""));
  BOOST_TEST(State.PublishResults.size() == MaxPublishResults);
  BOOST_TEST(State.Writers.size() <= MaxWriters);
  BOOST_TEST(State.Writers.size() >= MaxWriters / 2);
  FoldFixture Own;
  const PublishResult Result = Own.fold(Own.publish("a", 0, Bad));
  BOOST_TEST(Result.Problems.size() == MaxResultFindings);
  for (const Finding &Item : Result.Problems)
    BOOST_TEST(Item.Problem.size() <= MaxFindingTextBytes);
}

// Guards against an exception from the fold, or a dangling reference, after
// malformed records: folds 5,000 records with random bodies, texts and extreme
// numbers.
BOOST_AUTO_TEST_CASE(FoldIsTotal) {
  constexpr unsigned Seed = 20261204;
  std::mt19937_64 Random(Seed);
  const auto Number = [&] {
    const std::int64_t Extremes[] = {INT64_MIN, -1, 0, 1, 2, 1000, INT64_MAX};
    return Extremes[Random() % 7];
  };
  const auto Text = [&] {
    std::string Made = documentText("a", int(Random() % 3), "main");
    for (auto Flips = Random() % 4; Flips > 0; --Flips)
      Made[Random() % Made.size()] = static_cast<char>(Random());
    return Made;
  };
  const auto Body = [&]() -> RecordBody {
    switch (Random() % 5) {
    case 0:
      return PublishRecord{ServiceName(Random() % 2 ? "a" : "\xFF"),
                           Revision(Number()), Text()};
    case 1:
      return LeaseRecord{LeaseSubject("moves/a"), NodeId("n"), Epoch(Number()),
                         Milliseconds(Number())};
    case 2:
      return MoveStepRecord{MoveId("a/main/2"), Epoch(Number()),
                            Permille(Number()), Text()};
    case 3:
      return MoveEndRecord{MoveId("a/main/2"), Epoch(Number()),
                           MoveOutcome::Finished, Text(), Text()};
    default:
      return CheckpointNotice{Offset(Number()), Offset(Number()), 1, "x"};
    }
  };
  for (int I = 0; I < 5000; ++I) {
    const bool Regular = Random() % 2 == 0;
    const RecordHeader Header =
        Regular ? RecordHeader{NodeId("n"), Incarnation(1), Sequence(I + 1),
                               after(Noon, Milliseconds(I))}
                : RecordHeader{NodeId(std::string(Random() % 300, 'w')),
                               Incarnation(Number()), Sequence(Number()),
                               WallTime(Number())};
    const Record Item{Header, Body()};
    BOOST_REQUIRE_NO_THROW(foldRecord(State, State.Position, Item));
  }
  BOOST_TEST(State.Position == Offset(5000));
  BOOST_TEST(State.LogTime <= LatestWrittenAt);
  BOOST_TEST(inForce("a") > Revision(0));
}

BOOST_AUTO_TEST_SUITE_END()
