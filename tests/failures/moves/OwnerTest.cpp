#include "Callers.h"

#include "records/Records.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace lycheethread;
using namespace lycheethread::failures;

namespace {

constexpr int MoveSeconds = 48;
constexpr std::chrono::seconds EndLimit{MoveSeconds + 6};
/// The lease runs out after 10 s; then another node takes the next epoch.
constexpr std::chrono::seconds TakeoverLimit{25};
constexpr const char *StaleReason = "stale owner";

moves::Lease leaseOf(const Fleet &Tested) {
  return Tested.folded().Moves.Leases.at(
      moves::leaseSubject(ServiceName("desk")));
}

bool waitTakeover(const Fleet &Tested, const moves::Lease &Old) {
  return harness::eventually(
      TakeoverLimit, [&] { return leaseOf(Tested).Holder != Old.Holder; });
}

/// Last record of the writer in the control stream.
RecordHeader lastHeader(const streamlog::LogClient &Log, const NodeId &Writer) {
  const streamlog::LogBatch Batch =
      Log.Read(bootstrap::controlStream(), Offset(0), 10'000, Milliseconds(0));
  RecordHeader Found;
  for (const streamlog::LogRecord &Each : Batch.Records) {
    const Record Item = records::decodeRecord(Each.Data);
    if (Item.Header.Writer == Writer)
      Found = Item.Header;
  }
  return Found;
}

/// Appends an end of the move as the holder of an old lease would write it.
void appendStaleEnd(const Fleet &Tested, const std::string &Id,
                    const moves::Lease &Old) {
  const streamlog::LogClient Log =
      streamlog::makeHttpLog(Tested.Log->url(), Milliseconds(2000));
  Record Stale;
  Stale.Header = lastHeader(Log, Old.Holder);
  Stale.Header.Number = Stale.Header.Number.next();
  Stale.Body = MoveEndRecord{MoveId(Id), Old.Generation, MoveOutcome::Undone,
                             StaleReason, ""};
  Log.Append(bootstrap::controlStream(), records::encodeRecord(Stale));
}

std::string takeover(const moves::Lease &Old, const moves::Lease &New) {
  std::ostringstream Out;
  Out << Old.Holder << " epoch " << Old.Generation << " -> " << New.Holder
      << " epoch " << New.Generation;
  return Out.str();
}

} // namespace

// Guards against a move that ends with its owner.
BOOST_AUTO_TEST_CASE(AnotherNodeTakesOverFromAKilledOwner) {
  Fleet Tested("owner-killed");
  Callers Traffic(Tested);
  const std::string Id = Tested.startMove(MoveSeconds);
  const auto Deadline = Tested.deadline(Id);
  BOOST_TEST(Tested.waitSteps(Id, 1, EndLimit));
  std::this_thread::sleep_for(std::chrono::milliseconds(Tested.pick(1500)));
  const moves::Lease Old = leaseOf(Tested);
  harness::NodeProcess *Owner = Tested.owner();
  BOOST_REQUIRE(Owner != nullptr);
  const auto KilledAt = Clock::now();
  Owner->Process->kill();
  BOOST_TEST(waitTakeover(Tested, Old));
  const std::chrono::duration<double> Took = Clock::now() - KilledAt;
  const moves::Lease New = leaseOf(Tested);
  BOOST_TEST(New.Generation > Old.Generation);
  BOOST_TEST(Tested.waitEnded(Id, EndLimit));
  BOOST_TEST((Clock::now() < Deadline + std::chrono::seconds(1)));
  BOOST_TEST(Tested.inLog(Id).Status == "finished");
  BOOST_TEST(Tested.allAgree(Id));
  std::ostringstream Seen;
  Seen << describe(Tested.inLog(Id)) << ", " << takeover(Old, New) << " after "
       << Took.count() << " s";
  printLine("owner killed", Owner->Spec.Id + " killed", Seen.str());
}

// Guards against a frozen owner that goes on under its old epoch, and against
// nodes that disagree about the end.
BOOST_AUTO_TEST_CASE(AFrozenOwnersOldEpochIsDropped) {
  Fleet Tested("owner-frozen");
  Callers Traffic(Tested);
  const std::string Id = Tested.startMove(MoveSeconds);
  const auto Deadline = Tested.deadline(Id);
  BOOST_TEST(Tested.waitSteps(Id, 1, EndLimit));
  const moves::Lease Old = leaseOf(Tested);
  harness::NodeProcess *Owner = Tested.owner();
  BOOST_REQUIRE(Owner != nullptr);
  Owner->Process->pause();
  BOOST_TEST(waitTakeover(Tested, Old));
  const moves::Lease New = leaseOf(Tested);
  std::this_thread::sleep_for(std::chrono::milliseconds(Tested.pick(1500)));
  appendStaleEnd(Tested, Id, Old);
  Owner->Process->resume();
  BOOST_TEST(Tested.inLog(Id).Status != "undone");
  BOOST_TEST(Tested.waitEnded(Id, EndLimit));
  BOOST_TEST((Clock::now() < Deadline + std::chrono::seconds(1)));
  const MoveView End = Tested.inLog(Id);
  BOOST_TEST(End.Status == "finished");
  BOOST_TEST(End.Reason != StaleReason);
  BOOST_TEST(leaseOf(Tested).Generation >= New.Generation);
  BOOST_TEST(Tested.allAgree(Id));
  printLine("owner frozen past its lease",
            Owner->Spec.Id + " stopped and resumed, a stale end appended",
            describe(End) + ", " + takeover(Old, New) + ", all nodes agree");
}
