#include "sidecar/internal/Rollouts.h"
#include "sidecar/internal/StoreClient.h"

#include <algorithm>
#include <iterator>

namespace lycheethread::sidecar {

namespace {

using mesh::Candidate;
using mesh::RolloutState;

constexpr Milliseconds TickInterval{100};
/// Time after which the next node in the order records a result that the node
/// before it has not recorded.
constexpr Milliseconds RecordDelayPerRank{800};
constexpr Milliseconds RecordRetryDelay{700};
constexpr std::int64_t FullShare = 1000;
constexpr Milliseconds EvidenceInterval{500};
/// The requests in progress at a node that was heard of earlier say nothing: it
/// may have been killed.
constexpr Milliseconds MaxProgressAge{3000};

bool isEnd(RolloutState State) { return State != RolloutState::Running; }

std::vector<Candidate> filterByVersion(const std::vector<Candidate> &From,
                                       const VersionName &Version,
                                       bool Wanted) {
  std::vector<Candidate> Kept;
  std::copy_if(From.begin(), From.end(), std::back_inserter(Kept),
               [&](const Candidate &Item) {
                 return (Item.Version == Version) == Wanted;
               });
  return Kept;
}

/// Whether \p Read is the order \p Known, which the store has lost since.
bool isWrittenAgain(const mesh::RolloutOrder &Known,
                    const mesh::RolloutOrder &Read) {
  return eraOf(Known.At) < eraOf(Read.At) && Known.Service == Read.Service &&
         Known.Target == Read.Target && Known.Duration == Read.Duration;
}

const char *nameOf(RolloutState State) {
  switch (State) {
  case RolloutState::Completed:
    return "completed";
  case RolloutState::RolledBack:
    return "rolled-back";
  case RolloutState::Running:
    break;
  }
  return "running";
}

} // namespace

Rollouts::Rollouts(NodeContext &Context, StoreClient &Store, Callbacks Handlers)
    : Context_(Context), Store_(Store), Callbacks_(std::move(Handlers)) {
  Timer_ = Context_.Loop.runAfter(TickInterval, [this] { tick(); });
}

Rollouts::~Rollouts() { Context_.Loop.cancel(Timer_); }

/// The order of a rollout has been written again after the store had lost it:
/// it keeps its progress under its new position.
void Rollouts::moveOrder(Item &Current, Offset To) {
  const Offset From = Current.Order.At;
  Current.Order.At = To;
  for (auto &[Id, Known] : Evidence_)
    if (Known.Order == From)
      Known.Order = To;
  Callbacks_.OnOrderMoved(From, To);
  Context_.Log.write(LogClass::State, Context_.now(), "rollout-order-moved",
                     {{"service", Current.Order.Service.str()},
                      {"from", std::to_string(From.value())},
                      {"to", std::to_string(To.value())},
                      {"state", nameOf(Current.State)}});
}

/// What was recorded of the rollouts may be lost with the records of the
/// operator.
void Rollouts::onStoreEra(StoreEra Era) {
  const bool IsRestored = Era_.has_value();
  Era_ = Era;
  if (!IsRestored)
    return;
  for (auto &[Service, Current] : Items_) {
    Current.RunningRecorded = false;
    Current.MustRecordEnd = isEnd(Current.State);
    Current.NextWrite = SteadyTime();
  }
}

void Rollouts::onRecordsChanged() {
  const StoreEra Era = eraOf(Context_.Records.Position);
  if (!Era_ || Era > *Era_)
    onStoreEra(Era);
  for (const auto &[Key, Record] : Context_.Records.Items) {
    // A rollout that was ordered goes on.
    if (isRemoval(Record))
      continue;
    std::optional<mesh::RolloutOrder> Order;
    try {
      Order =
          Context_.Platform.Operator.Rollout({Key, Record.Value, Record.At});
    } catch (const std::exception &Error) {
      Context_.Log.write(LogClass::State, Context_.now(), "order-unreadable",
                         {{"key", Key}, {"problem", Error.what()}});
      continue;
    }
    if (!Order)
      continue;
    Item &Current = Items_[Order->Service];
    if (Current.Order.At == Order->At && !Current.Order.Service.empty())
      continue;
    if (isWrittenAgain(Current.Order, *Order)) {
      moveOrder(Current, Order->At);
      continue;
    }
    Current = {};
    Current.Order = *Order;
    Current.SeenAt = Context_.now();
    for (std::int64_t &Credit : Current.Credit)
      Credit = static_cast<std::int64_t>(Context_.Random() % FullShare);
    Context_.Log.write(
        LogClass::State, Context_.now(), "rollout-ordered",
        {{"service", Order->Service.str()},
         {"version", Order->Target.str()},
         {"order", std::to_string(Order->At.value())},
         {"duration_ms", std::to_string(Order->Duration.count())}});
    const auto Known =
        Status_.find(Context_.Platform.Operator.StatusKey(Order->Service));
    if (Known == Status_.end())
      continue;
    const auto State =
        Context_.Platform.Operator.ParseStatus(*Order, Known->second);
    Current.RunningRecorded = State.has_value();
    if (State && isEnd(*State))
      finishRollout(Current, *State, "store");
  }
}

void Rollouts::onStatus(const std::vector<StoreItem> &Items) {
  for (const StoreItem &Read : Items) {
    Status_[Read.Key] = Read.Value;
    for (auto &[Service, Current] : Items_) {
      if (Context_.Platform.Operator.StatusKey(Service) != Read.Key)
        continue;
      const auto State =
          Context_.Platform.Operator.ParseStatus(Current.Order, Read.Value);
      Current.RunningRecorded = Current.RunningRecorded || State.has_value();
      if (State && isEnd(*State))
        finishRollout(Current, *State, "store");
    }
  }
}

std::optional<Offset> Rollouts::activeOrder(const ServiceName &Service) const {
  const auto Found = Items_.find(Service);
  if (Found == Items_.end() || isEnd(Found->second.State))
    return std::nullopt;
  return Found->second.Order.At;
}

std::vector<Candidate> Rollouts::select(const ServiceName &Service,
                                        RequestClass Class,
                                        std::vector<Candidate> From) {
  const auto Found = Items_.find(Service);
  if (Found == Items_.end() || From.empty())
    return From;
  Item &Current = Found->second;
  const VersionName &Target = Current.Order.Target;
  std::vector<Candidate> Old = filterByVersion(From, Target, false);
  const mesh::VersionChoice Choice =
      mesh::versionChoice(Current.State, Current.IsNewVersionBad);
  if (Choice == mesh::VersionChoice::OldOnly)
    return Old;
  std::vector<Candidate> New = filterByVersion(From, Target, true);
  if (Choice == mesh::VersionChoice::NewOnly)
    return New.empty() ? Old : New;
  if (New.empty())
    return Old;
  const bool Repeatable = Class == RequestClass::Repeatable;
  const Permille Share =
      Repeatable ? Current.Decision.Repeatable : Current.Decision.NonRepeatable;
  std::int64_t &Credit = Current.Credit[Repeatable ? 0 : 1];
  Credit += Share.value();
  const bool TakesNew = Credit >= FullShare;
  if (TakesNew)
    Credit -= FullShare;
  if (!TakesNew)
    return Old.empty() && Share.value() > 0 ? New : Old;
  if (Current.Decision.UseSingleUpstream) {
    const auto First = std::min_element(
        New.begin(), New.end(), [](const Candidate &L, const Candidate &R) {
          return L.Instance < R.Instance;
        });
    return {*First};
  }
  return New;
}

std::vector<mesh::RolloutReport> Rollouts::reports() const {
  std::vector<mesh::RolloutReport> All;
  for (const auto &[Service, Current] : Items_)
    All.push_back({Current.Order.At, elapsed(Current.SeenAt, Context_.now()),
                   Current.IsNewVersionBad, Current.State,
                   isEnd(Current.State) ? std::nullopt : judgementOf(Current)});
  return All;
}

void Rollouts::tick() {
  for (auto &[Service, Current] : Items_)
    update(Current);
  if (elapsed(EvidenceSentAt_, Context_.now()) >= EvidenceInterval) {
    sendEvidence();
    expireEvidence();
  }
  Timer_ = Context_.Loop.runAfter(TickInterval, [this] { tick(); });
}

void Rollouts::mergeReports(Item &Current) {
  const SteadyTime Now = Context_.now();
  std::optional<mesh::Judgement> Judged = judgementOf(Current);
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes)
    for (const mesh::RolloutReport &Reported : Known.LastReport.Rollouts) {
      if (Reported.Order != Current.Order.At)
        continue;
      // The age of an order counts from when the first node saw it.
      const SteadyTime FirstSeen(Known.ReportedAt.value() -
                                 Reported.Age.count());
      Current.SeenAt = std::min(Current.SeenAt, FirstSeen);
      Current.IsNewVersionBad =
          Current.IsNewVersionBad || Reported.IsNewVersionBad;
      if (Reported.Judged) {
        mesh::Judgement Read = *Reported.Judged;
        Read.Age += elapsed(Known.ReportedAt, Now);
        mesh::mergeJudgement(Judged, Read);
      }
      if (isEnd(Reported.State) && !isEnd(Current.State))
        finishRollout(Current, Reported.State, Id.str().c_str());
    }
  Current.Judged = Judged;
  Current.JudgedAt = Now;
}

void Rollouts::update(Item &Current) {
  const SteadyTime Now = Context_.now();
  mergeReports(Current);
  if (isEnd(Current.State)) {
    if (Current.MustRecordEnd)
      recordProgress(Current);
    return;
  }
  updateJudge(Current);
  const mesh::RolloutView View = viewOf(Current);
  const mesh::RolloutDecision Decided = mesh::decideRollout(View);
  if (View.MayJudge)
    recordJudgement(Current, Decided);
  if (View.MayJudge && Decided.Repeatable != Current.Decision.Repeatable)
    closeShare(Current, View);
  const bool Changed =
      Decided.Repeatable != Current.Decision.Repeatable ||
      Decided.IsNewVersionBad != Current.Decision.IsNewVersionBad;
  Current.Decision = Decided;
  if (Decided.IsNewVersionBad && !Current.IsNewVersionBad) {
    Current.IsNewVersionBad = true;
    Callbacks_.OnChange();
  }
  if (Changed)
    Context_.Log.write(
        LogClass::State, Now, "rollout-share",
        {{"service", Current.Order.Service.str()},
         {"version", Current.Order.Target.str()},
         {"permille", std::to_string(Decided.Repeatable.value())},
         {"condemned", Decided.IsNewVersionBad ? "yes" : "no"},
         {"reason", Decided.Reason},
         {"age_ms", std::to_string(elapsed(Current.SeenAt, Now).count())}});
  if (!Current.RunningRecorded || Decided.End)
    recordProgress(Current);
}

void Rollouts::addNode(mesh::RolloutView &View, const Item &Current,
                       const mesh::NodeReport &Report, bool IsRecent) const {
  if (Report.LocalUpstream.Service != Current.Order.Service)
    return;
  const bool IsNew = Report.LocalUpstream.Version == Current.Order.Target;
  const bool IsReady =
      Report.LocalUpstream.State == mesh::UpstreamState::Ready &&
      !Report.Stopping;
  if (IsReady)
    ++(IsNew ? View.ReadyNew : View.ReadyOld);
  if (!IsNew && IsRecent)
    View.OldInProgress += Report.Load.Running + Report.Load.Waiting;
  // Only a judge has all of it, and only a judge uses it.
  if (!View.MayJudge)
    return;
  if (Report.Id == Context_.Settings.Id)
    addEvidence(View, Current, Report.Id, ownEvidence(Current), IsNew);
  else if (const mesh::KnownEvidence *const Known =
               evidenceOf(Report.Id, Current))
    addEvidence(View, Current, Report.Id, Known->Routes, IsNew);
}

mesh::RolloutView Rollouts::viewOf(const Item &Current) const {
  mesh::RolloutView View;
  View.Duration = Current.Order.Duration;
  View.Age = elapsed(Current.SeenAt, Context_.now());
  View.IsNewVersionBad = Current.IsNewVersionBad;
  View.IsComparing = Current.Decision.IsComparing;
  View.ExposureShare = Context_.Bounds.ExposureShare;
  View.MayJudge = Current.JudgingSince.has_value();
  if (Current.JudgingSince)
    View.JudgedFor = elapsed(*Current.JudgingSince, Context_.now());
  View.Judged = judgementOf(Current);
  View.JudgementTimeout =
      mesh::judgementTimeout(Context_.KnownNodes.Nodes.size() + 1);
  if (View.MayJudge)
    View.Earlier = Current.Earlier;
  mesh::NodeReport Own;
  Own.Id = Context_.Settings.Id;
  Own.LocalUpstream = Context_.Registered.Current;
  Own.Load = Callbacks_.OwnLoad();
  addNode(View, Current, Own, true);
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes)
    if (mesh::isAlive(Context_.KnownNodes, Known, Context_.now()))
      addNode(View, Current, Known.LastReport,
              elapsed(Known.HeardAt, Context_.now()) < MaxProgressAge);
  return View;
}

// The store decides which node records an end: the record is appended only if
// the topic has not changed since it was read, and the first end counts.
void Rollouts::recordProgress(Item &Current) {
  const SteadyTime Now = Context_.now();
  if (Current.Writing || Now < Current.NextWrite || Context_.Stopping)
    return;
  // A judge records first: the other nodes do not see a comparison that may
  // still be going on.
  const std::size_t Rank = mesh::rendezvousRank(
      Context_.KnownNodes, judgeSubject(Current.Order.Service), Now);
  if (Current.MustRecordEnd && Rank >= mesh::UsualJudges)
    return;
  if (Current.NextWrite == SteadyTime() && Rank > 0) {
    Current.NextWrite =
        after(Now, RecordDelayPerRank * static_cast<std::int64_t>(Rank));
    return;
  }
  Current.Writing = true;
  const ServiceName Service = Current.Order.Service;
  const Offset Order = Current.Order.At;
  Store_.readNewest(StoreTopic::Status,
                    [this, Service, Order](const StoreRead &Read) {
                      Item *const Same = onStoreCallEnded(Service, Order);
                      if (Same == nullptr || Read.Outcome != StoreOutcome::Done)
                        return;
                      onStatus(Read.Items);
                      const auto State = stateToRecord(*Same, Read.Items);
                      if (!State)
                        return;
                      Same->Writing = true;
                      append(Service, Order, *State, Read.End);
                    });
}

/// Returns what to record of a rollout whose status reads \p Items; nothing if
/// that is recorded.
std::optional<RolloutState>
Rollouts::stateToRecord(Item &Current, const std::vector<StoreItem> &Items) {
  const OperatorFormat &Format = Context_.Platform.Operator;
  if (!isEnd(Current.State)) {
    const RolloutState State =
        Current.Decision.End.value_or(RolloutState::Running);
    return isEnd(State) || !Current.RunningRecorded ? std::optional(State)
                                                    : std::nullopt;
  }
  if (!Current.MustRecordEnd)
    return std::nullopt;
  const std::string Key = Format.StatusKey(Current.Order.Service);
  for (const StoreItem &Read : Items)
    if (Read.Key == Key &&
        Format.ParseStatus(Current.Order, Read.Value) == Current.State) {
      Current.MustRecordEnd = false;
      return std::nullopt;
    }
  return Current.State;
}

Rollouts::Item *Rollouts::onStoreCallEnded(const ServiceName &Service,
                                           Offset Order) {
  const auto Found = Items_.find(Service);
  if (Found == Items_.end() || Found->second.Order.At != Order)
    return nullptr;
  Found->second.Writing = false;
  Found->second.NextWrite = after(Context_.now(), RecordRetryDelay);
  return &Found->second;
}

void Rollouts::append(const ServiceName &Service, Offset Order,
                      RolloutState State, Offset At) {
  const OperatorFormat &Format = Context_.Platform.Operator;
  const Item &Current = Items_[Service];
  Store_.append(StoreTopic::Status, Format.StatusKey(Service),
                Format.Status(Current.Order, State), At,
                [this, Service, Order, State](const StoreAppend &Written) {
                  Item *const Same = onStoreCallEnded(Service, Order);
                  // After a conflict or a lost answer the topic is read again.
                  if (Same == nullptr || Written.Outcome != StoreOutcome::Done)
                    return;
                  Same->RunningRecorded = true;
                  Same->MustRecordEnd = false;
                  if (isEnd(State))
                    finishRollout(*Same, State, "own record");
                });
}

void Rollouts::finishRollout(Item &Current, RolloutState State,
                             const char *Source) {
  if (isEnd(Current.State))
    return;
  Current.State = State;
  if (State == RolloutState::RolledBack)
    Current.IsNewVersionBad = true;
  Callbacks_.OnChange();
  Context_.Log.write(
      LogClass::State, Context_.now(), "rollout-ended",
      {{"service", Current.Order.Service.str()},
       {"version", Current.Order.Target.str()},
       {"state", nameOf(State)},
       {"source", Source},
       {"reason", Current.Decision.Reason},
       {"age_ms",
        std::to_string(elapsed(Current.SeenAt, Context_.now()).count())}});
}

} // namespace lycheethread::sidecar
