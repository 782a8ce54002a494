#include "FoldFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lycheethread;
using namespace lycheethread::config;

namespace {

std::string moving(int BaseRevision, const std::string &Versions,
                   const std::string &FinishBy) {
  std::string Text = "[service]\nname = a\nteam = t\nbuilds_on = " +
                     std::to_string(BaseRevision) +
                     "\n[upstreams.main]\nversions = " + Versions + "\n";
  if (!FinishBy.empty())
    Text += "[move.main]\nfrom = v1\nto = v2\nsteps_percent = 1, 100\n"
            "finish_by = " +
            FinishBy + "\n";
  return Text;
}

Record byOwner(int Number, int Minute, RecordBody Body) {
  return {{NodeId("owner"), Incarnation(2), Sequence(Number),
           after(Noon, Milliseconds(Minute * 60'000))},
          std::move(Body)};
}

LeaseRecord lease(int Generation) {
  return {LeaseSubject("moves/a"), NodeId("owner"), Epoch(Generation),
          Milliseconds(60'000)};
}

/// Returns records of all kinds: accepted and refused documents, duplicates,
/// leases, steps and the end of a move.
std::vector<Record> history() {
  FoldFixture Fixture;
  std::vector<Record> Items;
  Items.push_back(Fixture.publish("b", 0, documentText("b", 0, "store")));
  Items.push_back(Fixture.publish("a", 0, moving(0, "v1", "")));
  Items.push_back(
      Fixture.publish("a", 1, moving(1, "v1, v2", "2026-12-05T12:30:00Z")));
  Items.push_back(Fixture.publish("a", 1, moving(1, "v1", "")));
  Items.push_back(Items[2]);
  Items.push_back(byOwner(1, 1, lease(1)));
  Items.push_back(byOwner(2, 1,
                          MoveStepRecord{MoveId("a/main/2"), Epoch(1),
                                         Permille(10), "requests 40"}));
  Items.push_back(Fixture.publish(
      "b", 1, documentText("b", 1, "store, spare", usesText("a", "main"))));
  Items.push_back(byOwner(3, 2, lease(2)));
  Items.push_back(
      byOwner(4, 2,
              MoveEndRecord{MoveId("a/main/2"), Epoch(2), MoveOutcome::Undone,
                            "slow", "route x"}));
  Items.push_back(
      Fixture.publish("a", 2, moving(2, "v1, v2", "2026-12-05T13:30:00Z")));
  Items.push_back(
      byOwner(5, 120, CheckpointNotice{Offset(3), Offset(0), 1, "x"}));
  return Items;
}

ConfigState foldFrom(ConfigState State, const std::vector<Record> &Items) {
  while (State.Position < Offset(std::int64_t(Items.size())))
    foldRecord(State, State.Position,
               Items[std::size_t(State.Position.value())]);
  return State;
}

/// Returns a state whose checkpoint has several parts.
ConfigState largeState() {
  FoldFixture Fixture;
  for (int I = 0; I < 4; ++I) {
    const std::string Name = "s" + std::to_string(I);
    Fixture.foldPublish(Name, 0, "main",
                        "; " + std::string(200'000, 'x') + "\n");
  }
  return Fixture.State;
}

} // namespace

// Guards against state that is missing from a checkpoint: a node that starts
// from it would fold later records differently from the other nodes.
BOOST_AUTO_TEST_CASE(RestoringAtAnyPositionLeadsToTheSameState) {
  const std::vector<Record> Items = history();
  const ConfigState Whole = foldFrom({}, Items);
  BOOST_TEST(Whole.Moves.Ended.size() == 2);
  BOOST_TEST(Whole.Documents.size() == 2);
  const auto Expected = makeCheckpoint(Whole);
  for (std::size_t Cut = 0; Cut <= Items.size(); ++Cut) {
    const std::vector<Record> Start(Items.begin(),
                                    Items.begin() + std::ptrdiff_t(Cut));
    const auto Parts = makeCheckpoint(foldFrom({}, Start));
    const ConfigState Restored = restoreCheckpoint(Parts);
    BOOST_TEST((makeCheckpoint(foldFrom(Restored, Items)) == Expected));
  }
}

// Guards against oversized parts, and against a state that is restored from
// incomplete, damaged or mixed parts.
BOOST_AUTO_TEST_CASE(IncompleteOrDamagedPartsAreRefused) {
  const ConfigState State = largeState();
  auto Parts = makeCheckpoint(State);
  BOOST_REQUIRE(Parts.size() >= 3);
  for (const std::string &Part : Parts)
    BOOST_TEST(Part.size() <= MaxPartBytes);
  std::reverse(Parts.begin(), Parts.end());
  BOOST_TEST(
      (makeCheckpoint(restoreCheckpoint(Parts)) == makeCheckpoint(State)));
  auto Missing = Parts;
  Missing.pop_back();
  BOOST_CHECK_THROW(restoreCheckpoint(Missing), BadCheckpoint);
  auto Damaged = Parts;
  Damaged[1][1000] ^= 1;
  BOOST_CHECK_THROW(restoreCheckpoint(Damaged), BadCheckpoint);
  auto Doubled = Parts;
  Doubled[0] = Doubled[1];
  BOOST_CHECK_THROW(restoreCheckpoint(Doubled), BadCheckpoint);
  BOOST_CHECK_THROW(restoreCheckpoint({}), BadCheckpoint);
}
