#include "TrafficGenerator.h"

#include "records/Records.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace lycheethread;
using namespace lycheethread::failures;

namespace {

constexpr int MoveSeconds = 48;
constexpr std::chrono::seconds EndLimit{MoveSeconds + 6};
/// The lease expires after 10 s; then another node claims it with a higher
/// epoch.
constexpr std::chrono::seconds TakeoverLimit{25};
constexpr const char *StaleReason = "stale owner";

moves::Lease currentLease(const Fleet &TestFleet) {
  return TestFleet.loadState().Moves.Leases.at(
      moves::leaseSubject(ServiceName("desk")));
}

/// Waits until another node holds the lease.
bool waitTakeover(const Fleet &TestFleet, const moves::Lease &OldLease) {
  return harness::eventually(TakeoverLimit, [&] {
    return currentLease(TestFleet).Holder != OldLease.Holder;
  });
}

/// Returns the header of the writer's last record in the control stream.
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

/// Appends a record that ends the move, as the holder of the old lease would
/// write it.
void appendStaleEnd(const Fleet &TestFleet, const std::string &Id,
                    const moves::Lease &OldLease) {
  const streamlog::LogClient Log =
      streamlog::makeHttpLog(TestFleet.Log->url(), Milliseconds(2000));
  Record Stale;
  Stale.Header = lastHeader(Log, OldLease.Holder);
  Stale.Header.Number = Stale.Header.Number.next();
  Stale.Body = MoveEndRecord{MoveId(Id), OldLease.Generation,
                             MoveOutcome::Undone, StaleReason, ""};
  Log.Append(bootstrap::controlStream(), records::encodeRecord(Stale));
}

std::string describeTakeover(const moves::Lease &OldLease,
                             const moves::Lease &NewLease) {
  std::ostringstream Out;
  Out << OldLease.Holder << " epoch " << OldLease.Generation << " -> "
      << NewLease.Holder << " epoch " << NewLease.Generation;
  return Out.str();
}

} // namespace

// Guards against a move that stops when its owner is killed.
BOOST_AUTO_TEST_CASE(AnotherNodeTakesOverFromAKilledOwner) {
  Fleet TestFleet("owner-killed");
  TrafficGenerator Traffic(TestFleet);
  const std::string Id = TestFleet.startMove(MoveSeconds);
  const auto Deadline = TestFleet.deadline(Id);
  BOOST_TEST(TestFleet.waitSteps(Id, 1, EndLimit));
  std::this_thread::sleep_for(
      std::chrono::milliseconds(TestFleet.randomUpTo(1500)));
  const moves::Lease OldLease = currentLease(TestFleet);
  harness::NodeProcess *Owner = TestFleet.leaseOwner();
  BOOST_REQUIRE(Owner != nullptr);
  const auto KilledAt = Clock::now();
  Owner->Process->kill();
  BOOST_TEST(waitTakeover(TestFleet, OldLease));
  const std::chrono::duration<double> Took = Clock::now() - KilledAt;
  const moves::Lease NewLease = currentLease(TestFleet);
  BOOST_TEST(NewLease.Generation > OldLease.Generation);
  BOOST_TEST(TestFleet.waitEnded(Id, EndLimit));
  BOOST_TEST((Clock::now() < Deadline + std::chrono::seconds(1)));
  BOOST_TEST(TestFleet.moveInLog(Id).Status == "finished");
  BOOST_TEST(TestFleet.waitAllAgree(Id));
  std::ostringstream Summary;
  Summary << describe(TestFleet.moveInLog(Id)) << ", "
          << describeTakeover(OldLease, NewLease) << " after " << Took.count()
          << " s";
  printLine("owner killed", Owner->Spec.Id + " killed", Summary.str());
}

// Guards against a frozen owner that continues the move under its old epoch
// when it resumes, and against nodes that disagree about the end of the move.
BOOST_AUTO_TEST_CASE(AFrozenOwnersOldEpochIsDropped) {
  Fleet TestFleet("owner-frozen");
  TrafficGenerator Traffic(TestFleet);
  const std::string Id = TestFleet.startMove(MoveSeconds);
  const auto Deadline = TestFleet.deadline(Id);
  BOOST_TEST(TestFleet.waitSteps(Id, 1, EndLimit));
  const moves::Lease OldLease = currentLease(TestFleet);
  harness::NodeProcess *Owner = TestFleet.leaseOwner();
  BOOST_REQUIRE(Owner != nullptr);
  Owner->Process->pause();
  BOOST_TEST(waitTakeover(TestFleet, OldLease));
  const moves::Lease NewLease = currentLease(TestFleet);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(TestFleet.randomUpTo(1500)));
  appendStaleEnd(TestFleet, Id, OldLease);
  Owner->Process->resume();
  BOOST_TEST(TestFleet.moveInLog(Id).Status != "undone");
  BOOST_TEST(TestFleet.waitEnded(Id, EndLimit));
  BOOST_TEST((Clock::now() < Deadline + std::chrono::seconds(1)));
  const MoveView End = TestFleet.moveInLog(Id);
  BOOST_TEST(End.Status == "finished");
  BOOST_TEST(End.Reason != StaleReason);
  BOOST_TEST(currentLease(TestFleet).Generation >= NewLease.Generation);
  BOOST_TEST(TestFleet.waitAllAgree(Id));
  printLine("owner frozen past its lease",
            Owner->Spec.Id + " stopped and resumed, a stale end appended",
            describe(End) + ", " + describeTakeover(OldLease, NewLease) +
                ", all nodes agree");
}
