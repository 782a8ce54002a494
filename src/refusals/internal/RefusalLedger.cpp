#include "refusals/Refusals.h"

#include <algorithm>
#include <utility>

namespace lycheethread::refusals {

namespace {

template <typename Id> Id bounded(const Id &Name) {
  return Name.str().size() <= MaxNameBytes
             ? Name
             : Id(Name.str().substr(0, MaxNameBytes));
}

RefusalKey keyOf(const Refusal &Item) {
  return {bounded(Item.Caller), bounded(Item.Service), bounded(Item.Route),
          Item.Reason, Item.ExecutionStatus};
}

/// The service of a refusal without a route comes from the caller, so even the
/// keys under caller "(other)" need a bound.
RefusalCount &slotFor(RefusalLedger &Ledger, RefusalKey Key) {
  if (const auto It = Ledger.Open.find(Key); It != Ledger.Open.end())
    return It->second;
  if (Ledger.OwnKeys < MaxCallerKeys) {
    ++Ledger.OwnKeys;
    return Ledger.Open[std::move(Key)];
  }
  Key.Caller = CallerId(OverflowName);
  if (const auto It = Ledger.Open.find(Key); It != Ledger.Open.end())
    return It->second;
  if (Ledger.OtherKeys < MaxOverflowKeys) {
    ++Ledger.OtherKeys;
    return Ledger.Open[std::move(Key)];
  }
  Key.Service = ServiceName(OverflowName);
  Key.Route = RouteName(OverflowName);
  return Ledger.Open[std::move(Key)];
}

void countInto(RefusalCount &Slot, const Refusal &Item) {
  Slot.First = Slot.Count == 0 ? Item.At : std::min(Slot.First, Item.At);
  Slot.Last = Slot.Count == 0 ? Item.At : std::max(Slot.Last, Item.At);
  ++Slot.Count;
  Slot.Class = Item.Class;
  Slot.ConfigPosition = std::max(Slot.ConfigPosition, Item.ConfigPosition);
  if (Slot.Samples.size() < MaxSamples)
    Slot.Samples.push_back(bounded(Item.Id));
}

RefusalBatch closeOpen(RefusalLedger &Ledger, WallTime Now, bool Final) {
  RefusalBatch Closed;
  Closed.Id = {Ledger.Node, Ledger.IncarnationNumber, Ledger.Next};
  Closed.From = Ledger.OpenedAt;
  // A wall clock that was set back must not give an interval that ends before
  // it starts.
  Closed.To = std::max(Ledger.OpenedAt, Now);
  Closed.TotalBefore = Ledger.TotalTaken;
  Closed.Total = std::exchange(Ledger.OpenTotal, 0);
  Closed.Final = Final;
  Closed.Counts = std::exchange(Ledger.Open, {});
  Ledger.OwnKeys = 0;
  Ledger.OtherKeys = 0;
  Ledger.TotalTaken += Closed.Total;
  Ledger.OpenedAt = Closed.To;
  Ledger.Next = Ledger.Next.next();
  return Closed;
}

} // namespace

RefusalLedger makeLedger(NodeId Node, Incarnation IncarnationNumber,
                         WallTime Now) {
  RefusalLedger Made;
  Made.Node = std::move(Node);
  Made.IncarnationNumber = IncarnationNumber;
  Made.OpenedAt = Now;
  return Made;
}

void addRefusal(RefusalLedger &Ledger, const Refusal &Item) {
  countInto(slotFor(Ledger, keyOf(Item)), Item);
  ++Ledger.OpenTotal;
}

std::shared_ptr<const RefusalBatch> takeBatch(RefusalLedger &Ledger,
                                              WallTime Now, bool Final) {
  if (!Ledger.Unconfirmed)
    Ledger.Unconfirmed =
        std::make_shared<const RefusalBatch>(closeOpen(Ledger, Now, Final));
  return Ledger.Unconfirmed;
}

bool confirmBatch(RefusalLedger &Ledger, const BatchId &Id) {
  if (!Ledger.Unconfirmed || !(Ledger.Unconfirmed->Id == Id))
    return false;
  Ledger.Unconfirmed.reset();
  return true;
}

bool batchDue(const RefusalLedger &Ledger, WallTime Now) {
  // The first batch is sent at once, so that a node that fails soon after its
  // start leaves a gap in the report and not nothing.
  return Ledger.Unconfirmed || Ledger.OpenTotal > 0 ||
         Ledger.Next == Sequence(1) ||
         elapsed(Ledger.OpenedAt, Now) >= LongestBatchInterval;
}

} // namespace lycheethread::refusals
