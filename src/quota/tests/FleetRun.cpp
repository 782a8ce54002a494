#include "FleetRun.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <string>

namespace lycheethread::quota {

namespace {

constexpr std::int64_t Base = 1'000'000;
constexpr std::int64_t RefillInterval = 200;
/// How long the nodes know that a partition has healed.
constexpr std::int64_t HealTime = 500;
constexpr std::int64_t WindowMs = 5000;
constexpr double Slack = 20;

struct Message {
  std::size_t To = 0;
  std::size_t From = 0;
  bool IsAsk = false;
  PermitAsk Ask;
  PermitGrant Grant;
};

struct Waiter {
  std::int64_t Arrived = 0;
  bool IsWithinLimit = false;
  /// Time of the first attempt.
  std::int64_t FirstAt = 0;
  bool IsReturning = false;
};

struct Node {
  EntryStock Stock;
  std::deque<Waiter> Waiting;
  /// Those of callers that were refused before.
  std::deque<Waiter> Returned;
  OwnerBucket Bucket;
  bool WasOwner = false;
};

class Run {
public:
  explicit Run(const FleetPlan &Plan) : Plan_(Plan) { restart(); }

  FleetResult result() {
    for (Ms_ = 0; Ms_ < Plan_.Length; Ms_ += FleetStep) {
      Result_.ServedIn.push_back(0);
      Limit_ = Plan_.LimitAt ? Plan_.LimitAt(Ms_) : Plan_.Limit;
      OwnerLimit_ = ownerLimit(Limit_, Slack);
      if (Ms_ == Plan_.RestartAt)
        restart();
      if (Ms_ % RefillInterval == 0)
        refillOwners();
      deliver();
      returnCallers();
      for (std::size_t Id = 0; Id < Nodes_.size(); ++Id)
        if (!isDead(Id))
          step(Id);
    }
    return Result_;
  }

private:
  void restart() {
    Nodes_ = std::vector<Node>(Plan_.Nodes);
    InFlight_.clear();
    for (Node &Item : Nodes_)
      Item.Stock.LastNumber =
          Sequence(static_cast<std::int64_t>(Random_() % (1ULL << 40)));
  }

  SteadyTime now() const { return SteadyTime(Base + Ms_); }
  bool isDead(std::size_t Id) const {
    return Id == 0 && Plan_.KillAt >= 0 && Ms_ >= Plan_.KillAt;
  }
  std::size_t firstPart() const {
    return Plan_.FirstPart == 0 ? Nodes_.size() / 2 : Plan_.FirstPart;
  }
  bool isCut(std::size_t From, std::size_t To) const {
    const bool IsSamePart = (From < firstPart()) == (To < firstPart());
    return !IsSamePart && Ms_ >= Plan_.CutFrom && Ms_ < Plan_.CutTo;
  }

  /// The owner as node \p Id sees it; each node learns of a change a little
  /// later than another.
  std::size_t ownerFor(std::size_t Id) const {
    const auto Skew = static_cast<std::int64_t>(Id * 7919 % 1000);
    const std::int64_t Silence = times().HeardWindow.count() + Skew;
    if (Plan_.KillAt >= 0 && Ms_ >= Plan_.KillAt + Silence)
      return 1;
    const bool IsFar = Id >= firstPart();
    if (IsFar && Plan_.CutFrom >= 0 && Ms_ >= Plan_.CutFrom + Silence &&
        Ms_ < Plan_.CutTo + Skew / 2)
      return Nodes_.size() - 1;
    return 0;
  }

  Fleet fleetFor(std::size_t Id) const {
    const QuotaTimes Times = times();
    Fleet Seen{Nodes_.size(), Nodes_.size()};
    const std::int64_t Window = Times.HeardWindow.count();
    if (Plan_.CutFrom >= 0 && Ms_ >= Plan_.CutFrom + Window &&
        Ms_ < Plan_.CutTo + HealTime)
      Seen.Heard = Id < firstPart() ? firstPart() : Nodes_.size() - firstPart();
    if (Plan_.KillAt >= 0 && Ms_ >= Plan_.KillAt + Window)
      --Seen.Heard;
    return Seen;
  }

  QuotaTimes times() const {
    return quotaTimes(Milliseconds(WindowMs), 0.1, Nodes_.size());
  }

  void refillOwners() {
    for (std::size_t Id = 0; Id < Nodes_.size(); ++Id) {
      Node &Item = Nodes_[Id];
      const bool IsOwner = !isDead(Id) && ownerFor(Id) == Id;
      if (IsOwner && !Item.WasOwner) {
        Item.Bucket = {};
        Item.Bucket.Early = earlyPermits(Limit_, Slack);
      }
      Item.WasOwner = IsOwner;
      if (IsOwner)
        refill(Item.Bucket, OwnerLimit_, fleetFor(Id), now());
    }
  }

  void send(const Message &Item) {
    ++Result_.Messages;
    std::uniform_real_distribution<double> Chance(0, 1);
    if (Chance(Random_) < Plan_.Loss || isCut(Item.From, Item.To))
      return;
    auto Delay = static_cast<std::int64_t>(1 + Random_() % 60);
    if (Plan_.SlowPart > 0 && Chance(Random_) < Plan_.SlowPart)
      Delay += static_cast<std::int64_t>(Chance(Random_) *
                                         static_cast<double>(Plan_.SlowMs));
    InFlight_.emplace(Ms_ + Delay, Item);
  }

  void deliver() {
    while (!InFlight_.empty() && InFlight_.begin()->first <= Ms_) {
      const Message Item = InFlight_.begin()->second;
      InFlight_.erase(InFlight_.begin());
      if (isDead(Item.To))
        continue;
      if (!Item.IsAsk)
        take(Item.To, Item.Grant);
      else if (const auto Grant = answer(Item.To, Item.Ask))
        send({Item.From, Item.To, false, {}, *Grant});
    }
  }

  std::optional<PermitGrant> answer(std::size_t Id, const PermitAsk &Ask) {
    Node &Item = Nodes_[Id];
    if (!Item.WasOwner)
      return std::nullopt;
    refill(Item.Bucket, OwnerLimit_, fleetFor(Id), now());
    return grant(Item.Bucket, OwnerLimit_, Ask, now());
  }

  void take(std::size_t Id, const PermitGrant &Grant) {
    if (applyGrant(Nodes_[Id].Stock, Grant, times(), now()))
      serve(Id);
  }

  bool tryTake(std::size_t Id) {
    EntryStock &Stock = Nodes_[Id].Stock;
    return takePermit(Stock, now()).has_value() ||
           takeFallback(Stock, fleetFor(Id), times(), now());
  }

  void count(const Waiter &Request) {
    ++Result_.Served;
    ++Result_.ServedIn.back();
    Result_.LongestWait = std::max(Result_.LongestWait, Ms_ - Request.Arrived);
    if (Request.FirstAt != Request.Arrived)
      Result_.ReturnedMs += Ms_ - Request.FirstAt;
  }

  void serve(std::size_t Id) {
    Node &Item = Nodes_[Id];
    for (std::deque<Waiter> *Queue : {&Item.Returned, &Item.Waiting})
      while (!Queue->empty() && tryTake(Id)) {
        count(Queue->front());
        Queue->pop_front();
      }
    if (shouldRefuse(Item.Stock, now())) {
      for (const Waiter &Each : Item.Waiting)
        reject(Id, Each,
               isOwnerSilent(Item.Stock) ? Result_.Lost.Silent
                                         : Result_.Lost.TooFew);
      Item.Waiting.clear();
    }
    ask(Id);
  }

  /// Refuses the request and decides whether its caller comes back.
  void reject(std::size_t Id, const Waiter &Each, std::int64_t &Reason) {
    Reason += Each.IsWithinLimit ? 1 : 0;
    if (Plan_.CallerTime == 0)
      return;
    if (Each.FirstAt != Each.Arrived) {
      ++Result_.RefusedAgain;
      return;
    }
    const Milliseconds Left(Plan_.CallerTime - (Ms_ - Each.FirstAt));
    std::int64_t Delay = Plan_.FixedReturnMs;
    if (Delay == 0)
      Delay = takeReturnDelay(Nodes_[Id].Stock, Left, now()).count();
    if (Delay > Left.count() / 3)
      return;
    ++Result_.Returned;
    Returns_.emplace(Ms_ + Delay, std::make_pair(Id, Each));
  }

  void returnCallers() {
    while (!Returns_.empty() && Returns_.begin()->first <= Ms_) {
      auto [Id, Request] = Returns_.begin()->second;
      Returns_.erase(Returns_.begin());
      Request.IsWithinLimit = false;
      Request.Arrived = Ms_;
      Request.IsReturning = Plan_.FixedReturnMs == 0;
      if (!isDead(Id))
        receive(Id, Request);
    }
  }

  /// Whether a token bucket of the limit lets one more request pass.
  bool takeToken() {
    Tokens_ =
        std::min(Limit_.Burst,
                 Tokens_ + Limit_.PerSecond *
                               static_cast<double>(Ms_ - TokensAt_) / 1000);
    TokensAt_ = Ms_;
    if (Tokens_ < 1)
      return false;
    Tokens_ -= 1;
    ++Result_.WithinLimit;
    return true;
  }

  void ask(std::size_t Id) {
    EntryStock &Stock = Nodes_[Id].Stock;
    const auto Returning =
        static_cast<std::int32_t>(Nodes_[Id].Returned.size());
    const auto All =
        Returning + static_cast<std::int32_t>(Nodes_[Id].Waiting.size());
    const std::int32_t Wanted = permitsToAsk(Stock, All, now(), Returning);
    if (Wanted == 0)
      return;
    const std::size_t Owner = ownerFor(Id);
    const PermitAsk Ask =
        startAsk(Stock, NodeId(std::to_string(Id)),
                 NodeId(std::to_string(Owner)), Wanted, now(), Returning);
    if (Owner != Id)
      send({Owner, Id, true, Ask, {}});
    else if (const auto Grant = answer(Id, Ask))
      take(Id, *Grant);
  }

  void arrive(std::size_t Id) {
    ++Result_.Offered;
    receive(Id, {Ms_, takeToken(), Ms_, false});
  }

  void receive(std::size_t Id, const Waiter &Request) {
    Node &Item = Nodes_[Id];
    recordDemand(Item.Stock, now());
    if (Item.Returned.empty() && Item.Waiting.empty() && tryTake(Id)) {
      count(Request);
      ask(Id);
      return;
    }
    if (Request.IsReturning) {
      Item.Returned.push_back(Request);
    } else if (shouldRefuse(Item.Stock, now())) {
      reject(Id, Request,
             isOwnerSilent(Item.Stock) ? Result_.Lost.Silent
                                       : Result_.Lost.BackOff);
      return;
    } else {
      Item.Waiting.push_back(Request);
    }
    ask(Id);
  }

  void step(std::size_t Id) {
    Node &Item = Nodes_[Id];
    setLimit(Item.Stock, Limit_);
    std::uniform_real_distribution<double> Phase(0, 1);
    if (giveUpAsk(Item.Stock, Phase(Random_), now()))
      serve(Id);
    else if (shouldRepeat(Item.Stock, now()))
      send({ownerFor(Id), Id, true, Item.Stock.Pending->Ask, {}});
    for (std::deque<Waiter> *Queue : {&Item.Returned, &Item.Waiting})
      while (!Queue->empty() &&
             Ms_ - Queue->front().Arrived >= PermitWaitLimit.count()) {
        const Waiter Late = Queue->front();
        Queue->pop_front();
        reject(Id, Late, Result_.Lost.Late);
      }
    if (!Item.Waiting.empty() || !Item.Returned.empty())
      ask(Id);
    const std::size_t Entries =
        Plan_.Entries == 0 ? Nodes_.size() : Plan_.Entries;
    if (Id >= Entries)
      return;
    const double Mean = Plan_.Rate(Ms_) * static_cast<double>(FleetStep) /
                        1000 / static_cast<double>(Entries);
    std::poisson_distribution<int> Arrivals(Mean);
    for (int Left = Mean > 0 ? Arrivals(Random_) : 0; Left > 0; --Left)
      arrive(Id);
  }

  const FleetPlan &Plan_;
  std::vector<Node> Nodes_;
  std::multimap<std::int64_t, Message> InFlight_;
  std::multimap<std::int64_t, std::pair<std::size_t, Waiter>> Returns_;
  std::mt19937_64 Random_{17};
  organisations::Quota Limit_;
  organisations::Quota OwnerLimit_;
  std::int64_t Ms_ = 0;
  /// Of the token bucket with which the result is compared.
  double Tokens_ = 0;
  std::int64_t TokensAt_ = -60'000;
  FleetResult Result_;
};

} // namespace

std::int64_t FleetResult::servedBetween(std::int64_t From,
                                        std::int64_t To) const {
  return std::accumulate(ServedIn.begin() + From / FleetStep,
                         ServedIn.begin() + To / FleetStep, std::int64_t{0});
}

std::int64_t FleetResult::mostInWindow(std::int64_t From,
                                       std::int64_t To) const {
  std::int64_t Most = 0;
  std::int64_t Sum = 0;
  for (std::int64_t At = From; At < To; At += FleetStep) {
    Sum += ServedIn[static_cast<std::size_t>(At / FleetStep)];
    if (At - From >= WindowMs)
      Sum -= ServedIn[static_cast<std::size_t>((At - WindowMs) / FleetStep)];
    Most = std::max(Most, Sum);
  }
  return Most;
}

FleetResult runFleet(const FleetPlan &Plan) { return Run(Plan).result(); }

} // namespace lycheethread::quota
