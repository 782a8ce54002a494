#include "refusals/Refusals.h"

#include <algorithm>
#include <utility>

namespace lycheethread::refusals {

namespace {

template <typename Id> Id truncateName(const Id &Name) {
  return Name.str().size() <= MaxNameBytes
             ? Name
             : Id(Name.str().substr(0, MaxNameBytes));
}

RefusalKey keyOf(const Refusal &Item) {
  return {truncateName(Item.Caller), truncateName(Item.Service),
          truncateName(Item.Route), Item.Reason, Item.ExecutionStatus};
}

/// Returns the count for \p Key, or a less specific one when the ledger is
/// full. The service name of a request without a route comes from the caller,
/// so the keys under caller "(other)" are limited as well.
RefusalCount &countFor(RefusalLedger &Ledger, RefusalKey Key) {
  if (const auto It = Ledger.Open.find(Key); It != Ledger.Open.end())
    return It->second;
  if (Ledger.CallerKeys < MaxCallerKeys) {
    ++Ledger.CallerKeys;
    return Ledger.Open[std::move(Key)];
  }
  Key.Caller = CallerId(OverflowName);
  if (const auto It = Ledger.Open.find(Key); It != Ledger.Open.end())
    return It->second;
  if (Ledger.OverflowKeys < MaxOverflowKeys) {
    ++Ledger.OverflowKeys;
    return Ledger.Open[std::move(Key)];
  }
  Key.Service = ServiceName(OverflowName);
  Key.Route = RouteName(OverflowName);
  return Ledger.Open[std::move(Key)];
}

void addToCount(RefusalCount &Total, const Refusal &Item) {
  Total.First = Total.Count == 0 ? Item.At : std::min(Total.First, Item.At);
  Total.Last = Total.Count == 0 ? Item.At : std::max(Total.Last, Item.At);
  ++Total.Count;
  Total.Class = Item.Class;
  Total.ConfigPosition = std::max(Total.ConfigPosition, Item.ConfigPosition);
  if (Total.Samples.size() < MaxSamples)
    Total.Samples.push_back(truncateName(Item.Id));
}

RefusalBatch closeInterval(RefusalLedger &Ledger, WallTime Now, bool Final) {
  RefusalBatch Closed;
  Closed.Id = {Ledger.Node, Ledger.IncarnationNumber, Ledger.Next};
  Closed.From = Ledger.OpenedAt;
  // The wall clock may have been set back; the interval must not end before it
  // starts.
  Closed.To = std::max(Ledger.OpenedAt, Now);
  Closed.TotalBefore = Ledger.ClosedTotal;
  Closed.Total = std::exchange(Ledger.OpenTotal, 0);
  Closed.Final = Final;
  Closed.Counts = std::exchange(Ledger.Open, {});
  Ledger.CallerKeys = 0;
  Ledger.OverflowKeys = 0;
  Ledger.ClosedTotal += Closed.Total;
  Ledger.OpenedAt = Closed.To;
  Ledger.Next = Ledger.Next.next();
  return Closed;
}

} // namespace

RefusalLedger makeLedger(NodeId Node, Incarnation IncarnationNumber,
                         WallTime Now) {
  RefusalLedger Ledger;
  Ledger.Node = std::move(Node);
  Ledger.IncarnationNumber = IncarnationNumber;
  Ledger.OpenedAt = Now;
  return Ledger;
}

void addRefusal(RefusalLedger &Ledger, const Refusal &Item) {
  addToCount(countFor(Ledger, keyOf(Item)), Item);
  ++Ledger.OpenTotal;
}

std::shared_ptr<const RefusalBatch> takeBatch(RefusalLedger &Ledger,
                                              WallTime Now, bool Final) {
  if (!Ledger.Unconfirmed)
    Ledger.Unconfirmed =
        std::make_shared<const RefusalBatch>(closeInterval(Ledger, Now, Final));
  return Ledger.Unconfirmed;
}

bool confirmBatch(RefusalLedger &Ledger, const BatchId &Id) {
  if (!Ledger.Unconfirmed || !(Ledger.Unconfirmed->Id == Id))
    return false;
  Ledger.Unconfirmed.reset();
  return true;
}

bool batchDue(const RefusalLedger &Ledger, WallTime Now) {
  // The first batch is sent immediately, so that a node that fails soon after
  // its start appears in the report as a gap instead of not at all.
  return Ledger.Unconfirmed || Ledger.OpenTotal > 0 ||
         Ledger.Next == Sequence(1) ||
         elapsed(Ledger.OpenedAt, Now) >= LongestBatchInterval;
}

} // namespace lycheethread::refusals
