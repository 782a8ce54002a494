#define BOOST_TEST_MODULE Refusals
#include "refusals/Refusals.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>
#include <string>

using namespace lycheethread;
using namespace lycheethread::refusals;

namespace {

Refusal refusalOf(int Caller, WallTime At) {
  Refusal Item;
  Item.Id = RefusalId("r" + std::to_string(At.value()));
  Item.At = At;
  Item.Caller = CallerId("c" + std::to_string(Caller));
  Item.Service = ServiceName("s" + std::to_string(Caller % 3));
  Item.Reason = RefusalReason::QueueFull;
  return Item;
}

/// A node whose connection to the log loses messages, and the times of all
/// requests that it refused.
struct SimulatedNode {
  RefusalLedger Ledger;
  std::vector<WallTime> Refused;
};

bool inGap(const RefusalReport &Report, const RefusalLedger &Ledger,
           WallTime At) {
  for (const ReportGap &Gap : Report.Gaps)
    if (Gap.Node == Ledger.Node &&
        Gap.IncarnationNumber == Ledger.IncarnationNumber && Gap.From <= At &&
        At <= Gap.To)
      return true;
  return false;
}

std::vector<RefusalBatch> maybeDropBatch(std::vector<RefusalBatch> Stored,
                                         std::mt19937 &Random) {
  if (Random() % 2 == 0)
    return Stored;
  Stored.erase(Stored.begin() + static_cast<long>(Random() % Stored.size()));
  return Stored;
}

} // namespace

// Guards against refusals that are counted twice after a lost response, or are
// missing without a reported gap, after kills, outages, lost responses and a
// trimmed log.
BOOST_AUTO_TEST_CASE(EveryRefusalIsReportedOrInsideAGap) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937 Random(Seed);
    std::vector<SimulatedNode> Incarnations;
    std::vector<RefusalBatch> Stored;
    std::int64_t Now = 1000000;
    for (int Run = 0; Run < 4; ++Run) {
      SimulatedNode Node{makeLedger(NodeId("n" + std::to_string(Run % 2)),
                                    Incarnation(Run), WallTime(Now)),
                         {}};
      const bool Drained = Random() % 2 == 0;
      const unsigned Steps = 20 + Random() % 60;
      for (unsigned Step = 0; Step < Steps; ++Step) {
        Now += 1 + static_cast<std::int64_t>(Random() % 2000);
        if (Random() % 3 != 0) {
          addRefusal(Node.Ledger,
                     refusalOf(static_cast<int>(Random() % 9), WallTime(Now)));
          Node.Refused.emplace_back(Now);
          continue;
        }
        const auto Batch = takeBatch(Node.Ledger, WallTime(Now), false);
        const unsigned Delivery = Random() % 4;
        if (Delivery > 0)
          Stored.push_back(*Batch);
        if (Delivery > 1)
          confirmBatch(Node.Ledger, Batch->Id);
      }
      while (Drained) {
        ++Now;
        const auto Batch = takeBatch(Node.Ledger, WallTime(Now), true);
        Stored.push_back(*Batch);
        confirmBatch(Node.Ledger, Batch->Id);
        if (Batch->Final)
          break;
      }
      Incarnations.push_back(std::move(Node));
    }
    std::shuffle(Stored.begin(), Stored.end(), Random);
    const std::vector<RefusalBatch> Kept = maybeDropBatch(Stored, Random);
    const RefusalReport Report =
        buildReport(Kept, {}, WallTime(Now + 10 * BatchOverdueAfter.count()));

    std::int64_t OutsideGaps = 0;
    std::int64_t All = 0;
    for (const SimulatedNode &Node : Incarnations)
      for (const WallTime At : Node.Refused) {
        ++All;
        OutsideGaps += inGap(Report, Node.Ledger, At) ? 0 : 1;
      }
    std::int64_t Rows = 0;
    for (const ReportRow &Row : Report.Rows)
      Rows += Row.Refused.Count;
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(Rows == Report.Total);
      BOOST_TEST(Report.Total >= OutsideGaps);
      BOOST_TEST(Report.Total <= All);
      if (Report.Gaps.empty())
        BOOST_TEST(Report.Total == All);
    }
  }
}

// Guards against a missing batch whose number of refusals is known but not
// reported.
BOOST_AUTO_TEST_CASE(MissingBatchIsReportedAsGapWithExactCount) {
  RefusalLedger Ledger = makeLedger(NodeId("n"), Incarnation(1), WallTime(0));
  std::vector<RefusalBatch> Stored;
  for (int I = 1; I <= 3; ++I) {
    for (int J = 0; J < I; ++J)
      addRefusal(Ledger, refusalOf(J, WallTime(I * 10 + J)));
    Stored.push_back(*takeBatch(Ledger, WallTime(I * 10 + 9), I == 3));
    BOOST_TEST(confirmBatch(Ledger, Stored.back().Id));
  }
  Stored.erase(Stored.begin() + 1);
  const RefusalReport Report = buildReport(Stored, {}, WallTime(1000000));
  BOOST_TEST(Report.Total == 4);
  BOOST_TEST_REQUIRE(Report.Gaps.size() == 1);
  BOOST_TEST(Report.Gaps[0].Missing.value_or(-1) == 2);
  BOOST_TEST(Report.Gaps[0].From == WallTime(19));
  BOOST_TEST(Report.Gaps[0].To == WallTime(29));
}

// Guards against memory use that grows with the number of callers or of unknown
// service names while the log is unavailable, and against inexact totals in
// that state.
BOOST_AUTO_TEST_CASE(LongLogOutageUsesBoundedMemoryAndCountsExactly) {
  RefusalLedger Ledger = makeLedger(NodeId("n"), Incarnation(1), WallTime(0));
  takeBatch(Ledger, WallTime(1), false);
  for (int I = 0; I < 50000; ++I) {
    Refusal Item = refusalOf(I, WallTime(I));
    Item.Service = ServiceName(std::string(1000, 'x') + std::to_string(I));
    if (I % 2 == 0)
      Item.Service = ServiceName("h" + std::to_string(I));
    Item.Id = RefusalId(std::string(500, 'y'));
    addRefusal(Ledger, Item);
  }
  const std::size_t ReasonsTimesExecutionStates = 18 * 3;
  BOOST_TEST(Ledger.Open.size() <=
             MaxCallerKeys + MaxOverflowKeys + ReasonsTimesExecutionStates);
  BOOST_TEST(takeBatch(Ledger, WallTime(60000), false)->Total == 0);
  confirmBatch(Ledger, Ledger.Unconfirmed->Id);
  const auto Batch = takeBatch(Ledger, WallTime(60000), false);
  std::int64_t Sum = 0;
  for (const auto &[Key, Count] : Batch->Counts) {
    Sum += Count.Count;
    BOOST_TEST(Key.Service.str().size() <= MaxNameBytes);
    BOOST_TEST(Count.Samples.size() <= MaxSamples);
  }
  BOOST_TEST(Sum == 50000);
  BOOST_TEST(Batch->Total == 50000);
}

// Guards against a gap that is reported for a running node, and against a
// missing gap for a node that was replaced.
BOOST_AUTO_TEST_CASE(RunningNodeHasNoGapUntilOverdueOrReplaced) {
  RefusalLedger Old = makeLedger(NodeId("n"), Incarnation(1), WallTime(0));
  RefusalLedger New = makeLedger(NodeId("n"), Incarnation(2), WallTime(50));
  const RefusalBatch First = *takeBatch(Old, WallTime(10), false);
  const RefusalBatch Second = *takeBatch(New, WallTime(60), false);
  BOOST_TEST(buildReport({First}, {}, WallTime(1000)).Gaps.empty());
  BOOST_TEST(buildReport({First}, {}, WallTime(1000000)).Gaps.size() == 1);
  const RefusalReport Report = buildReport({First, Second}, {}, WallTime(1000));
  BOOST_TEST_REQUIRE(Report.Gaps.size() == 1);
  BOOST_TEST(Report.Gaps[0].From == WallTime(10));
  BOOST_TEST(Report.Gaps[0].To == WallTime(50));
}

// Guards against a filter that drops refusals, or that does not mark a count
// which extends beyond the requested time range.
BOOST_AUTO_TEST_CASE(FilterSelectsServiceAndTimeAndMarksPartialCounts) {
  RefusalLedger Ledger = makeLedger(NodeId("n"), Incarnation(1), WallTime(0));
  addRefusal(Ledger, refusalOf(0, WallTime(100)));
  addRefusal(Ledger, refusalOf(0, WallTime(200)));
  addRefusal(Ledger, refusalOf(1, WallTime(200)));
  addRefusal(Ledger, refusalOf(2, WallTime(900)));
  const RefusalBatch Batch = *takeBatch(Ledger, WallTime(1000), true);
  ReportFilter Filter;
  Filter.To = WallTime(150);
  const RefusalReport ByTime = buildReport({Batch}, Filter, WallTime(1000));
  BOOST_TEST_REQUIRE(ByTime.Rows.size() == 1);
  BOOST_TEST(ByTime.Rows[0].AtEdge == 2);
  const RefusalReport ByService =
      buildReport({Batch}, {ServiceName("s1"), {}, {}}, WallTime(1000));
  BOOST_TEST(ByService.Total == 1);
}
