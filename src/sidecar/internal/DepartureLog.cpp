#include "sidecar/internal/DepartureLog.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

/// A starting node that has not learned by now whether it is listed reads its
/// departures all the same.
constexpr Milliseconds ListWaitTime{400};
constexpr Milliseconds MinBackoff{200};
/// A leaving upstream waits for an acknowledgement. Calls to a store that is
/// away are billed, too.
constexpr Milliseconds MaxWriteBackoff{1000};
/// Part of the time for an answer to a check-in after which it is answered
/// without an acknowledgement, in percent.
constexpr int AnswerTimePercent = 70;
/// Records of one node; the oldest is replaced. Two departures do not share a
/// record: a write without an answer may still take effect after a later one.
constexpr int Slots = 8;

} // namespace

DepartureLog::DepartureLog(NodeContext &Context, StoreClient &Store,
                           Callbacks Handlers)
    : Context_(Context), Store_(Store), Callbacks_(std::move(Handlers)),
      ReadAt_(after(Context.now(), ListWaitTime)) {}

DepartureLog::~DepartureLog() {
  for (Waiting &Item : Waiting_)
    Context_.Loop.cancel(Item.Timer);
}

std::string DepartureLog::keyOf(int Slot) const {
  return Context_.Settings.Id.str() + "/" + std::to_string(Slot);
}

std::optional<int> DepartureLog::slotOf(const std::string &Key) const {
  for (int Slot = 0; Slot < Slots; ++Slot)
    if (Key == keyOf(Slot))
      return Slot;
  return std::nullopt;
}

void DepartureLog::onListRead(bool IsListed) {
  Backoff_ = Milliseconds(0);
  if (!IsKnown_ && !IsBusy_) {
    if (IsListed) {
      ReadAt_ = Context_.now();
    } else {
      IsKnown_ = true;
      Callbacks_.OnKnown();
    }
  }
  update();
}

/// After a failure, calls pause; less long once other nodes have reached the
/// store.
bool DepartureLog::mayCall() const {
  if (Backoff_ == Milliseconds(0))
    return true;
  const Milliseconds Pause = Context_.ConfirmedAt > FailedAt_
                                 ? std::min(Backoff_, MaxWriteBackoff)
                                 : Backoff_;
  return elapsed(FailedAt_, Context_.now()) >= Pause;
}

void DepartureLog::recordFailure(Milliseconds Longest) {
  FailedAt_ = Context_.now();
  const Milliseconds Next = std::max(MinBackoff, Backoff_ * 2);
  std::uniform_int_distribution<std::int64_t> Jitter(Next.count() / 2,
                                                     Next.count());
  Backoff_ = std::min(Longest, Milliseconds(Jitter(Context_.Random)));
}

void DepartureLog::update() {
  if (IsBusy_ || !mayCall())
    return;
  if (!IsKnown_) {
    if (Context_.now() >= ReadAt_)
      read();
    return;
  }
  const auto Left = mesh::unrecordedDepartures(Context_.Registered);
  if (Left.empty())
    return;
  // Only a node that is listed reads its departures when it starts again.
  if (Context_.Join.IsListed) {
    write(Left.front());
    return;
  }
  recordFailure(MaxWriteBackoff);
  Callbacks_.OnUnlisted();
}

void DepartureLog::read() {
  IsBusy_ = true;
  // Up to the separator: the own keys are the first after it.
  Store_.readNewestAfter(StoreTopic::Departures,
                         Context_.Settings.Id.str() + "/",
                         [this](const StoreRead &Read) {
                           IsBusy_ = false;
                           onRead(Read);
                         });
}

void DepartureLog::onRead(const StoreRead &Read) {
  if (Read.Outcome != StoreOutcome::Done) {
    // Nobody waits for it: check-ins are believed after a while without it.
    recordFailure(
        mesh::maxStoreBackoff(false, true, Context_.KnownNodes.Nodes.size()));
    return;
  }
  Backoff_ = Milliseconds(0);
  Era_ = eraOf(Read.End);
  std::optional<Offset> Newest;
  bool IsRegisteredLeft = false;
  for (const StoreItem &Item : Read.Items) {
    const auto Slot = slotOf(Item.Key);
    if (!Slot)
      continue;
    const auto Left = Context_.Platform.Operator.ParseDeparture(Item.Value);
    if (!Left) {
      Context_.Log.write(LogClass::State, Context_.now(),
                         "departure-unreadable", {{"key", Item.Key}});
      continue;
    }
    Slots_[*Slot] = *Left;
    if (!Newest || Item.At > *Newest) {
      Newest = Item.At;
      NextSlot_ = (*Slot + 1) % Slots;
    }
    IsRegisteredLeft =
        mesh::restoreDeparture(Context_.Registered, *Left, Context_.now()) ||
        IsRegisteredLeft;
  }
  Context_.Log.write(LogClass::State, Context_.now(), "departures-read",
                     {{"departures", std::to_string(Slots_.size())}});
  // The node may have heard of a later era while the answer was on its way.
  enterEra(eraOf(Context_.Records.Position));
  IsKnown_ = true;
  if (IsRegisteredLeft)
    Callbacks_.OnRestored();
  Callbacks_.OnKnown();
  update();
}

/// What the store has lost is written to the same slot again.
int DepartureLog::slotFor(const mesh::Departure &Item) const {
  const auto Found =
      std::find_if(Slots_.begin(), Slots_.end(), [&](const auto &Held) {
        return Held.second.Id == Item.Id &&
               Held.second.StartedUpTo == Item.StartedUpTo;
      });
  return Found == Slots_.end() ? NextSlot_ : Found->first;
}

void DepartureLog::write(const mesh::Departure &Item) {
  IsBusy_ = true;
  const int Slot = slotFor(Item);
  Store_.append(StoreTopic::Departures, keyOf(Slot),
                Context_.Platform.Operator.Departure(Item), std::nullopt,
                [this, Slot, Item](const StoreAppend &Written) {
                  IsBusy_ = false;
                  StoreOutcome Outcome = Written.Outcome;
                  if (Outcome == StoreOutcome::Done) {
                    // A store that has come back since may have lost it.
                    if (eraOf(Written.End) < Era_)
                      Outcome = StoreOutcome::Unavailable;
                    enterEra(eraOf(Written.End));
                  }
                  onWritten(Slot, Item, Outcome);
                });
}

void DepartureLog::onWritten(int Slot, const mesh::Departure &Item,
                             StoreOutcome Outcome) {
  const bool IsDone = Outcome == StoreOutcome::Done;
  if (IsDone || Backoff_ == Milliseconds(0))
    Context_.Log.write(LogClass::State, Context_.now(),
                       IsDone ? "departure-recorded" : "departure-unrecorded",
                       {{"upstream", Item.Id.str()}});
  if (!IsDone) {
    recordFailure(MaxWriteBackoff);
    return;
  }
  Backoff_ = Milliseconds(0);
  Slots_[Slot] = Item;
  if (Slot == NextSlot_)
    NextSlot_ = (NextSlot_ + 1) % Slots;
  mesh::markRecorded(Context_.Registered, Item);
  answerWaiting();
  update();
}

void DepartureLog::whenRecorded(const mesh::UpstreamId &Id,
                                std::function<void(bool)> Done) {
  update();
  if (!mesh::isUnrecorded(Context_.Registered, Id)) {
    Done(true);
    return;
  }
  Waiting_.push_back({Id, std::move(Done), {}});
  const auto Item = std::prev(Waiting_.end());
  Item->Timer = Context_.Loop.runAfter(
      Context_.Platform.CheckInTimeout * AnswerTimePercent / 100, [this, Item] {
        const auto Late = std::move(Item->Done);
        Waiting_.erase(Item);
        Late(false);
      });
}

void DepartureLog::answerWaiting() {
  std::list<Waiting> Ready;
  for (auto Item = Waiting_.begin(); Item != Waiting_.end();) {
    const auto Next = std::next(Item);
    if (!mesh::isUnrecorded(Context_.Registered, Item->Id))
      Ready.splice(Ready.end(), Waiting_, Item);
    Item = Next;
  }
  for (Waiting &Item : Ready) {
    Context_.Loop.cancel(Item.Timer);
    Item.Done(true);
  }
}

void DepartureLog::onRecords() {
  if (!IsKnown_ || eraOf(Context_.Records.Position) <= Era_)
    return;
  enterEra(eraOf(Context_.Records.Position));
  update();
}

void DepartureLog::enterEra(StoreEra Now) {
  if (Now <= Era_)
    return;
  Era_ = Now;
  for (const auto &[Slot, Item] : Slots_)
    mesh::markLost(Context_.Registered, Item.Id);
}

} // namespace lycheethread::sidecar
