#include "sidecar/internal/Allotments.h"

#include <Poco/NumberFormatter.h>

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

constexpr Milliseconds TickInterval{200};
/// How often pending asks and waiting requests are looked at.
constexpr Milliseconds CheckInterval{10};
/// Owners change when nodes start, end or fall silent.
constexpr Milliseconds OwnerInterval{400};
/// A restarted node counts the nodes of the list until it has had the time to
/// hear of each that runs. The list also holds those that have ended: after a
/// restart of all nodes they took a quarter of each limit.
constexpr Milliseconds ListTime{12000};
/// A silent owner is replaced sooner than it counts as gone, by the first of
/// these that is not silent.
constexpr std::size_t OwnerCandidates = 8;
/// A node that loses a quota and owns it again sooner does not grant early
/// permits a second time.
constexpr Milliseconds EarlyInterval{15000};
constexpr Milliseconds LogInterval{5000};
/// Requests beyond this that wait for one organisation are refused at once.
constexpr std::size_t MaxWaiting = 2000;
/// Numbers of asks start at random, so that an owner does not take the first
/// ask of a restarted node for one of its past.
constexpr std::int64_t MaxFirstNumber = 1LL << 40;

} // namespace

Allotments::Allotments(NodeContext &Context, SendMessage Send)
    : Context_(Context), Send_(std::move(Send)), StartedAt_(Context.now()) {
  tick();
}

Allotments::~Allotments() {
  Context_.Loop.cancel(Timer_);
  Context_.Loop.cancel(CheckTimer_);
}

quota::QuotaTimes Allotments::times() const {
  return quota::quotaTimes(Context_.Bounds.QuotaWindow,
                           Context_.Bounds.QuotaOverage, Fleet_.Known);
}

organisations::Quota Allotments::ownerLimit(const Account &Item) const {
  return quota::ownerLimit(Item.Stock.Limit, Context_.Bounds.QuotaSlack);
}

void Allotments::tick() {
  updateFleet();
  updateOwners();
  const SteadyTime Now = Context_.now();
  for (auto &[Name, Item] : Accounts_)
    if (Item.Bucket)
      quota::refill(*Item.Bucket, ownerLimit(Item), Fleet_, Now);
  Timer_ = Context_.Loop.runAfter(TickInterval, [this] { tick(); });
}

void Allotments::updateFleet() {
  const SteadyTime Now = Context_.now();
  const Milliseconds Window = times().HeardWindow;
  quota::Fleet Nodes;
  std::vector<const NodeId *> Members;
  Members.reserve(Members_.Ids.size());
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes) {
    if (Known.LastReport.Stopping)
      continue;
    ++Nodes.Known;
    Members.push_back(&Id);
    if (elapsed(Known.HeardAt, Now) < Window)
      ++Nodes.Heard;
  }
  if (elapsed(StartedAt_, Now) < ListTime)
    Nodes.Known = std::max(Nodes.Known, Context_.Join.Others + 1);
  Fleet_ = Nodes;
  quota::updateMembers(Members_, Members);
}

/// Finding the order takes a hash for each node.
void Allotments::updateOrder(const organisations::OrganisationId &Name,
                             Account &Item) {
  if (Item.OrderVersion == Members_.Version)
    return;
  Item.Order = mesh::rendezvousOrder(Context_.KnownNodes, "quota/" + Name.str(),
                                     OwnerCandidates);
  Item.OrderVersion = Members_.Version;
}

void Allotments::updateOwners() {
  const SteadyTime Now = Context_.now();
  const bool IsNewConfig = Config_ != Context_.Config;
  if (!Context_.Config ||
      (!IsNewConfig && elapsed(OwnersAt_, Now) < OwnerInterval))
    return;
  OwnersAt_ = Now;
  Config_ = Context_.Config;
  for (const organisations::Organisation &Holder : Config_->Organisations) {
    if (!Holder.Limit)
      continue;
    Account &Item = accountOf(Holder);
    quota::setLimit(Item.Stock, *Holder.Limit);
    updateOwner(Holder.Name, Item);
  }
}

void Allotments::updateOwner(const organisations::OrganisationId &Name,
                             Account &Item) {
  const SteadyTime Now = Context_.now();
  const NodeId &Self = Context_.Settings.Id;
  std::vector<quota::OwnerCandidate> InOrder;
  updateOrder(Name, Item);
  for (const NodeId &Id : Item.Order) {
    quota::OwnerCandidate Next{Id, Id == Self, Milliseconds(0), false};
    // The others leave a stopping node out.
    if (Next.IsSelf && Context_.Stopping)
      continue;
    if (!Next.IsSelf) {
      const auto Known = Context_.KnownNodes.Nodes.find(Id);
      if (Known == Context_.KnownNodes.Nodes.end())
        continue;
      const SteadyTime HeardAt = Known->second.HeardAt;
      const auto Unanswered = Item.UnresponsiveSince.find(Id);
      Next.SilentFor = elapsed(HeardAt, Now);
      Next.IsUnresponsive = Unanswered != Item.UnresponsiveSince.end() &&
                            HeardAt <= Unanswered->second;
    }
    InOrder.push_back(std::move(Next));
    if (quota::endsChoice(InOrder.back(), times()))
      break;
  }
  Item.Owner = quota::chooseOwner(InOrder);
  if (!quota::mayOwn(InOrder, times())) {
    Item.Bucket.reset();
  } else if (!Item.Bucket) {
    Item.Bucket = std::make_unique<quota::OwnerBucket>();
    if (elapsed(Item.EarlyAt, Now) > EarlyInterval)
      Item.Bucket->Early =
          quota::earlyPermits(Item.Stock.Limit, Context_.Bounds.QuotaSlack);
    Item.EarlyAt = Now;
  }
}

Allotments::Account &
Allotments::accountOf(const organisations::Organisation &Holder) {
  const auto [Found, IsNew] = Accounts_.try_emplace(Holder.Name);
  Account &Item = Found->second;
  if (IsNew) {
    Item.Place = Accounts_.size() - 1;
    Item.Stock.LastNumber = Sequence(static_cast<std::int64_t>(
        Context_.Random() % static_cast<std::uint64_t>(MaxFirstNumber)));
    if (Holder.Limit)
      Item.Stock.Limit = *Holder.Limit;
    updateOwner(Holder.Name, Item);
  }
  return Item;
}

PermitResult Allotments::tryTake(Account &Item) {
  const SteadyTime Now = Context_.now();
  if (const auto Expires = quota::takePermit(Item.Stock, Now)) {
    ++Item.Counts.FromGrants;
    return {true, *Expires, {}};
  }
  if (quota::takeFallback(Item.Stock, Fleet_, times(), Now)) {
    ++Item.Counts.FromFallback;
    return {true, after(Now, times().Lifetime), {}};
  }
  return {};
}

void Allotments::acquire(const organisations::Organisation &Holder,
                         const HopInfo &Info, Milliseconds Age, OnResult Done) {
  const SteadyTime Now = Context_.now();
  if (!Holder.Limit) {
    Done({true, Now, {}});
    return;
  }
  // A request that came before a change of the configuration was applied to the
  // accounts is judged by the newer one.
  updateOwners();
  Account &Item = accountOf(Holder);
  quota::recordDemand(Item.Stock, Now);
  PermitResult Taken;
  if (Item.Waiting.empty() && Item.Returning.empty())
    Taken = tryTake(Item);
  if (Taken.Granted) {
    Done(Taken);
    askIfNeeded(Holder.Name, Item);
    return;
  }
  const bool IsReturning =
      quota::returnsInTime(Age, Info.Objective, elapsed(Now, Info.ObjectiveAt));
  Waiters &Queue = IsReturning ? Item.Returning : Item.Waiting;
  const SteadyTime Until = after(Now, quota::longestPermitWait(Info.Objective));
  Waiter Each{std::min(Info.DeadlineAt, Until), Info.ObjectiveAt,
              Info.DeadlineAt, std::move(Done)};
  if ((!IsReturning && quota::shouldRefuse(Item.Stock, Now)) ||
      Queue.size() >= MaxWaiting) {
    refuse(Holder.Name, Item, Each);
    return;
  }
  Queue.push_back(std::move(Each));
  askIfNeeded(Holder.Name, Item);
  startCheck();
}

void Allotments::release(const organisations::Organisation &Holder,
                         SteadyTime ExpiresAt) {
  if (!Holder.Limit)
    return;
  const auto Found = Accounts_.find(Holder.Name);
  if (Found == Accounts_.end())
    return;
  ++Found->second.Counts.Returned;
  quota::returnPermit(Found->second.Stock, ExpiresAt, Context_.now());
  serveWaiting(Holder.Name, Found->second);
}

void Allotments::askIfNeeded(const organisations::OrganisationId &Name,
                             Account &Item) {
  const auto Returning = static_cast<std::int32_t>(Item.Returning.size());
  const auto New = static_cast<std::int32_t>(Item.Waiting.size());
  const std::int32_t Wanted = quota::permitsToAsk(Item.Stock, Returning + New,
                                                  Context_.now(), Returning);
  if (Wanted > 0)
    sendAsk(Name, Item, Wanted, Returning);
}

void Allotments::sendAsk(const organisations::OrganisationId &Name,
                         Account &Item, std::int32_t Wanted,
                         std::int32_t Returning) {
  const quota::PermitAsk Ask =
      quota::startAsk(Item.Stock, Context_.Settings.Id, Item.Owner, Wanted,
                      Context_.now(), Returning);
  ++Item.Counts.Asks;
  startCheck();
  if (Item.Owner == Context_.Settings.Id) {
    if (const auto Grant = grantAsOwner(Item, Ask))
      onGrant(Name, Item, *Grant);
    return;
  }
  const auto Found = Context_.KnownNodes.Nodes.find(Item.Owner);
  if (Found == Context_.KnownNodes.Nodes.end())
    return;
  GossipMessage Message;
  Message.Asks.push_back({Name, Ask});
  Send_(Found->second.LastReport.Gossip, Message);
}

std::optional<quota::PermitGrant>
Allotments::grantAsOwner(Account &Item, const quota::PermitAsk &Ask) {
  const SteadyTime Now = Context_.now();
  if (!Item.Bucket)
    return std::nullopt;
  const organisations::Quota Limit = ownerLimit(Item);
  quota::refill(*Item.Bucket, Limit, Fleet_, Now);
  return quota::grant(*Item.Bucket, Limit, Ask, Now);
}

void Allotments::onMessage(const GossipMessage &Message) {
  for (const QuotaAsk &Item : Message.Asks)
    onAsk(Item);
  for (const QuotaGrant &Item : Message.Grants) {
    const auto Found = Accounts_.find(Item.Organisation);
    if (Found != Accounts_.end())
      onGrant(Item.Organisation, Found->second, Item.Grant);
  }
}

void Allotments::onAsk(const QuotaAsk &Item) {
  updateOwners();
  const auto Found = Accounts_.find(Item.Organisation);
  const auto Sender = Context_.KnownNodes.Nodes.find(Item.Ask.Entry);
  // Without an answer the entry uses its share of the limit.
  if (Found == Accounts_.end() || Sender == Context_.KnownNodes.Nodes.end())
    return;
  const auto Grant = grantAsOwner(Found->second, Item.Ask);
  if (!Grant)
    return;
  GossipMessage Answer;
  Answer.Grants.push_back({Item.Organisation, *Grant});
  Send_(Sender->second.LastReport.Gossip, Answer);
}

void Allotments::onGrant(const organisations::OrganisationId &Name,
                         Account &Item, const quota::PermitGrant &Grant) {
  if (quota::applyGrant(Item.Stock, Grant, times(), Context_.now()))
    serveWaiting(Name, Item);
}

void Allotments::serve(Account &Item, Waiters &Queue) {
  while (!Queue.empty()) {
    const PermitResult Taken = tryTake(Item);
    if (!Taken.Granted)
      return;
    const OnResult Done = std::move(Queue.front().Done);
    Queue.pop_front();
    Done(Taken);
  }
}

void Allotments::serveWaiting(const organisations::OrganisationId &Name,
                              Account &Item) {
  serve(Item, Item.Returning);
  serve(Item, Item.Waiting);
  if (quota::shouldRefuse(Item.Stock, Context_.now())) {
    Waiters Refused;
    Refused.swap(Item.Waiting);
    for (const Waiter &Each : Refused)
      refuse(Name, Item, Each);
  }
  askIfNeeded(Name, Item);
}

void Allotments::refuse(const organisations::OrganisationId &Name,
                        Account &Item, const Waiter &Each) {
  const SteadyTime Now = Context_.now();
  ++Item.Counts.Refused;
  if (elapsed(Item.RefusalLoggedAt, Now) >= LogInterval) {
    Item.RefusalLoggedAt = Now;
    Context_.Log.write(
        LogClass::State, Now, "over-quota",
        {{"organisation", Name.str()},
         {"owner", Item.Owner.str()},
         {"limit_per_s",
          Poco::NumberFormatter::format(Item.Stock.Limit.PerSecond, 2)},
         {"burst", Poco::NumberFormatter::format(Item.Stock.Limit.Burst, 2)},
         {"owner_silent", quota::isOwnerSilent(Item.Stock) ? "yes" : "no"},
         {"refused", std::to_string(Item.Counts.Refused)}});
  }
  Each.Done({false,
             {},
             quota::takeReturnDelay(
                 Item.Stock, elapsed(Now, Each.DeadlineAt), Now,
                 quota::latestReturnInTime(elapsed(Now, Each.ObjectiveAt)))});
}

void Allotments::refuseLate(const organisations::OrganisationId &Name,
                            Account &Item, Waiters &Queue) {
  const SteadyTime Now = Context_.now();
  while (!Queue.empty() && Queue.front().Until <= Now) {
    const Waiter Late = std::move(Queue.front());
    Queue.pop_front();
    refuse(Name, Item, Late);
  }
}

/// An owner that has not been heard of either is taken for gone.
void Allotments::replaceSilentOwner(const organisations::OrganisationId &Name,
                                    Account &Item) {
  const auto Found = Context_.KnownNodes.Nodes.find(Item.Owner);
  if (!quota::isOwnerSilent(Item.Stock) ||
      Found == Context_.KnownNodes.Nodes.end() ||
      elapsed(Found->second.HeardAt, Context_.now()) < times().HeardWindow)
    return;
  Item.UnresponsiveSince[Item.Owner] = Context_.now();
  updateOwner(Name, Item);
}

void Allotments::startCheck() {
  if (CheckTimer_ == reactor::TimerId())
    CheckTimer_ = Context_.Loop.runAfter(CheckInterval, [this] { check(); });
}

/// Repeats asks, gives up those without an answer, and ends the wait of
/// requests whose time is over.
void Allotments::check() {
  CheckTimer_ = reactor::TimerId();
  const SteadyTime Now = Context_.now();
  const double Phase =
      std::uniform_real_distribution<double>(0, 1)(Context_.Random);
  bool IsBusy = false;
  for (auto &[Name, Item] : Accounts_) {
    if (quota::giveUpAsk(Item.Stock, Phase, Now)) {
      ++Item.Counts.Unanswered;
      if (elapsed(Item.SilenceLoggedAt, Now) >= LogInterval) {
        Item.SilenceLoggedAt = Now;
        Context_.Log.write(
            LogClass::State, Now, "quota-owner-silent",
            {{"organisation", Name.str()}, {"owner", Item.Owner.str()}});
      }
      replaceSilentOwner(Name, Item);
      serveWaiting(Name, Item);
    } else if (quota::shouldRepeat(Item.Stock, Now)) {
      const quota::PendingAsk &Pending = *Item.Stock.Pending;
      const auto Found = Context_.KnownNodes.Nodes.find(Pending.Owner);
      if (Found != Context_.KnownNodes.Nodes.end()) {
        GossipMessage Message;
        Message.Asks.push_back({Name, Pending.Ask});
        Send_(Found->second.LastReport.Gossip, Message);
      }
    }
    refuseLate(Name, Item, Item.Returning);
    refuseLate(Name, Item, Item.Waiting);
    const bool IsWaiting = !Item.Waiting.empty() || !Item.Returning.empty();
    if (IsWaiting)
      askIfNeeded(Name, Item);
    IsBusy = IsBusy || Item.Stock.Pending || IsWaiting;
  }
  if (IsBusy)
    startCheck();
}

} // namespace lycheethread::sidecar
