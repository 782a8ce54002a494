#include "sidecar/internal/DepartureLog.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

/// A starting node that has not learned by now whether it is listed reads its
/// departures all the same.
constexpr Milliseconds ListWaitTime{400};
constexpr Milliseconds MinBackoff{100};
constexpr Milliseconds MaxBackoff{1000};
/// Part of the time for an answer to a check-in after which it is answered
/// without an acknowledgement, in percent.
constexpr int AnswerTimePercent = 70;
/// Records of one node; the oldest is replaced. Two departures do not share a
/// record: a write without an answer may still take effect after a later one.
constexpr int Slots = 8;

} // namespace

DepartureLog::DepartureLog(NodeContext &Context, StoreClient &Store,
                           Callbacks Handlers)
    : Context_(Context), Store_(Store), Callbacks_(std::move(Handlers)) {
  ReadTimer_ = Context_.Loop.runAfter(ListWaitTime, [this] { read(); });
}

DepartureLog::~DepartureLog() {
  Context_.Loop.cancel(ReadTimer_);
  Context_.Loop.cancel(WriteTimer_);
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
  if (IsKnown_ || IsReading_)
    return;
  if (IsListed) {
    read();
    return;
  }
  Context_.Loop.cancel(ReadTimer_);
  IsKnown_ = true;
  Callbacks_.OnKnown();
}

void DepartureLog::read() {
  if (IsKnown_ || IsReading_)
    return;
  Context_.Loop.cancel(ReadTimer_);
  IsReading_ = true;
  // Up to the separator: the own keys are the first after it.
  Store_.readNewestAfter(StoreTopic::Departures,
                         Context_.Settings.Id.str() + "/",
                         [this](const StoreRead &Read) {
                           IsReading_ = false;
                           onRead(Read);
                         });
}

void DepartureLog::onRead(const StoreRead &Read) {
  if (Read.Outcome != StoreOutcome::Done) {
    ReadTimer_ = Context_.Loop.runAfter(nextBackoff(), [this] { read(); });
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
  IsKnown_ = true;
  if (IsRegisteredLeft)
    Callbacks_.OnRestored();
  Callbacks_.OnKnown();
  update();
}

void DepartureLog::update() {
  // Only a node that is listed reads its departures when it starts again.
  if (!IsKnown_ || IsWriting_ || WriteTimer_ != reactor::TimerId() ||
      !Context_.Join.IsListed)
    return;
  const auto Left = mesh::unrecordedDepartures(Context_.Registered);
  if (!Left.empty())
    write(Left.front());
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
  IsWriting_ = true;
  const int Slot = slotFor(Item);
  Store_.append(StoreTopic::Departures, keyOf(Slot),
                Context_.Platform.Operator.Departure(Item), std::nullopt,
                [this, Slot, Item](const StoreAppend &Written) {
                  IsWriting_ = false;
                  if (Written.Outcome == StoreOutcome::Done)
                    Era_ = std::max(Era_, eraOf(Written.End));
                  onWritten(Slot, Item, Written.Outcome);
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
    WriteTimer_ = Context_.Loop.runAfter(nextBackoff(), [this] {
      WriteTimer_ = reactor::TimerId();
      update();
    });
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

Milliseconds DepartureLog::nextBackoff() {
  Backoff_ = Backoff_ == Milliseconds(0) ? MinBackoff
                                         : std::min(MaxBackoff, Backoff_ * 2);
  std::uniform_int_distribution<std::int64_t> Jitter(Backoff_.count() / 2,
                                                     Backoff_.count());
  return Milliseconds(Jitter(Context_.Random));
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
  const StoreEra Now = eraOf(Context_.Records.Position);
  if (!IsKnown_ || Now <= Era_)
    return;
  Era_ = Now;
  for (const auto &[Slot, Item] : Slots_)
    mesh::markLost(Context_.Registered, Item.Id);
  update();
}

} // namespace lycheethread::sidecar
