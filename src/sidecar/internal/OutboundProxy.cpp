#include "sidecar/internal/HopHeaders.h"
#include "sidecar/internal/OutboundCall.h"
#include "sidecar/internal/ReservedHeaders.h"

#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// A body up to this size is buffered whole first, so that the request can be
/// sent to another upstream when the first one does not run it.
constexpr std::int64_t MaxBufferedBody = 32 * 1024;
/// Refusals by last hops after which a request is given up: MaxSlowRefusals
/// once a part of its objective has passed, MaxRefusals in any case. Each
/// refusal costs a round trip, which only delays the caller.
constexpr std::int32_t MaxSlowRefusals = 3;
constexpr std::int32_t MaxRefusals = 10;
/// The upstreams of a service call the same services.
constexpr std::int32_t MaxCalleeRefusals = 3;
constexpr int RefusalObjectiveDivisor = 10;
/// Refusals within the own region cost less than this together.
constexpr Milliseconds MinRefusalTime{30};
/// Time to wait beyond the deadline, so that the last hop can end the request
/// first: it knows the outcome more precisely.
constexpr Milliseconds DeadlineGrace{60};
/// With less time left, a retry is not worth its cost.
constexpr Milliseconds MinTimeForRetry{30};
/// Bounds of Retry-After. Callers honour it up to a third of their remaining
/// time.
constexpr Milliseconds MinRetryAfter{60};
constexpr int RetryAfterDivisor = 3;
/// Requests that arrive before the first configuration are held for a part of
/// their time, but not longer than a start takes.
constexpr int HoldTimeDivisor = 4;
constexpr Milliseconds MaxHoldTime{500};
constexpr std::size_t MaxHeldRequests = 200;
constexpr double MillisecondsPerSecond = 1000;

/// Hash over the parts of a request that identify it as a repetition of an
/// earlier one.
class Hasher {
public:
  Hasher &add(std::string_view Text) {
    // The separator keeps the parts from running together.
    Hash_ = fnv1a(std::string_view("\0", 1), fnv1a(Text, Hash_));
    return *this;
  }
  std::string text() const { return Poco::NumberFormatter::formatHex(Hash_); }

private:
  std::uint64_t Hash_ = Fnv1aBasis;
};

/// Returns 429 or 503 only for a request that has certainly not run; 502 and
/// 504 leave that open.
int statusOf(RefusalReason Reason, bool MayHaveRun) {
  if (Reason == RefusalReason::NoRoute)
    return HTTPResponse::HTTP_NOT_FOUND;
  if (Reason == RefusalReason::UnknownKey)
    return HTTPResponse::HTTP_UNAUTHORIZED;
  if (!MayHaveRun)
    return Reason == RefusalReason::OverQuota
               ? HTTPResponse::HTTP_TOO_MANY_REQUESTS
               : HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
  return Reason == RefusalReason::UpstreamTimeout ||
                 Reason == RefusalReason::Deadline
             ? HTTPResponse::HTTP_GATEWAY_TIMEOUT
             : HTTPResponse::HTTP_BAD_GATEWAY;
}

} // namespace

OutboundProxy::OutboundProxy(NodeContext &Context, UpstreamHop &Local,
                             RemoteHop &Remote, UpstreamDirectory &Directory,
                             Rollouts &ActiveRollouts, Allotments &Permits)
    : Context_(Context), LocalHop_(Local), RemoteHop_(Remote),
      Directory_(Directory), Rollouts_(ActiveRollouts), Permits_(Permits),
      Hedger_(Context, Directory, ActiveRollouts) {}

OutboundProxy::~OutboundProxy() = default;

void OutboundProxy::handle(const ServerRequestPtr &Request) {
  const auto Item = std::make_shared<Call>();
  Item->Request = Request;
  Item->ArrivedAt = Context_.arrival();
  Item->Id =
      RequestId(Request->head().get(Context_.Platform.Headers.RequestId, ""));
  ++InProgress_;
  if (Request->hasPeerClosed()) {
    end(Item, 0, "caller-left");
    return;
  }
  Request->onGone([this, Item] {
    recordAbandonedCall(Item);
    cancelAttempts(Item);
    end(Item, 0, "caller-left");
  });
  if (Context_.Config && Context_.Serving)
    begin(Item);
  else if (Context_.Stopping || HeldRequests_.size() >= MaxHeldRequests)
    endUnanswered(Item, RefusalReason::NotReady, Milliseconds(0));
  else
    holdUntilServing(Item);
}

void OutboundProxy::begin(const CallPtr &Item) {
  if (!findRoute(Item))
    return;
  readDeadline(Item);
  acquirePermit(Item);
}

/// Holds a request until the first configuration is known. That takes less time
/// after a start than a refused caller needs to retry.
void OutboundProxy::holdUntilServing(const CallPtr &Item) {
  Milliseconds Stated{0};
  Poco::Int64 Left = 0;
  if (Poco::NumberParser::tryParse64(
          Item->Request->head().get(Context_.Platform.Headers.Deadline, ""),
          Left))
    Stated = Milliseconds(std::max<Poco::Int64>(0, Left));
  HeldRequests_.push_back(Item);
  Item->Timer = Context_.Loop.runAfter(
      std::min(Stated / HoldTimeDivisor, MaxHoldTime),
      [this, Weak = std::weak_ptr<Call>(Item)] {
        const auto Found = Weak.lock();
        if (!Found || Found->Ended)
          return;
        HeldRequests_.erase(
            std::remove(HeldRequests_.begin(), HeldRequests_.end(), Found),
            HeldRequests_.end());
        endUnanswered(Found, RefusalReason::NotReady, Milliseconds(0));
      });
}

void OutboundProxy::onServing() {
  std::vector<CallPtr> Released;
  Released.swap(HeldRequests_);
  for (const CallPtr &Item : Released) {
    if (Item->Ended)
      continue;
    Context_.Loop.cancel(Item->Timer);
    begin(Item);
  }
}

bool OutboundProxy::findRoute(const CallPtr &Item) {
  const HTTPRequest &Head = Item->Request->head();
  Item->Config = Context_.Config;
  Item->Route = mesh::findRoute(*Item->Config, Head.get(HTTPRequest::HOST, ""),
                                Head.getURI());
  if (Item->Route == nullptr) {
    endUnanswered(Item, RefusalReason::NoRoute, Milliseconds(0));
    return false;
  }
  if (!identifyCaller(Item))
    return false;
  const ServiceName *const Service = mesh::chooseService(
      *Item->Route, Splits_[Item->Route->Name], Context_.Random);
  if (Service == nullptr) {
    // All parts of the route have the weight 0.
    endUnanswered(Item, RefusalReason::NoUpstream, Milliseconds(0));
    return false;
  }
  HopInfo &Info = Item->Info;
  Info.Service = *Service;
  Info.Route = Item->Route->Name;
  Info.Class = Item->Route->Class;
  Info.Rank = organisations::rankOf(Item->Holder, Item->Route->Rank);
  Info.Caller = Context_.Settings.Service;
  Hedger_.onRequest();
  mesh::addRetryTokens(
      Budgets_[Info.Service],
      mesh::retryLimits(Context_.Bounds, Context_.KnownNodes.Nodes.size() + 1));
  return true;
}

void OutboundProxy::readDeadline(const CallPtr &Item) {
  Milliseconds Left = Item->Route->Timeout;
  const std::string Text =
      Item->Request->head().get(Context_.Platform.Headers.Deadline, "");
  Poco::Int64 Stated = 0;
  if (Poco::NumberParser::tryParse64(Text, Stated) && Stated >= 0)
    Left = std::min(Left, Milliseconds(Stated));
  Item->Info.DeadlineAt = after(Item->ArrivedAt, Left);
  setObjective(Item, Milliseconds(Stated), Left);
  Item->Timer = Context_.Loop.runAfter(
      elapsed(Context_.now(), Item->Info.DeadlineAt) + DeadlineGrace,
      [this, Weak = std::weak_ptr<Call>(Item)] {
        const auto Late = Weak.lock();
        if (!Late || Late->Ended)
          return;
        cancelAttempts(Late);
        endUnanswered(Late, RefusalReason::UpstreamTimeout, Milliseconds(0));
      });
}

/// Calls of upstreams carry no key, on routes that need none. Without a request
/// at the upstream beside this node, it is a caller who uses such a route.
bool OutboundProxy::isNestedCall(const CallPtr &Item) const {
  return Item->Info.HasOrganisations && Item->Holder == nullptr &&
         LocalHop_.running() > 0;
}

/// \p Stated is the time that the caller stated, or 0, and \p Left the time
/// until the deadline.
void OutboundProxy::setObjective(const CallPtr &Item, Milliseconds Stated,
                                 Milliseconds Left) {
  Item->IsNestedCall = isNestedCall(Item);
  if (Item->IsNestedCall) {
    // Its answer serves until the deadline, which is that of the request for
    // which the upstream calls. Without it that request fails.
    Item->Info.Rank = mesh::NestedCallRank;
    Item->Info.Objective = Left;
    Item->Info.ObjectiveAt = Item->Info.DeadlineAt;
    return;
  }
  const Milliseconds Objective = mesh::objectiveOf(*Item->Route);
  // Callers state the time left since their first attempt, so the longest time
  // stated on a route tells how long this caller has been trying.
  Milliseconds &Longest = MaxStatedDeadline_[Item->Info.Route];
  Longest = std::max(Longest, Stated);
  Item->TimeSinceFirstAttempt =
      Stated > Milliseconds(0) ? Longest - Stated : Milliseconds(0);
  Item->Info.Objective = Objective;
  Item->Info.ObjectiveAt =
      after(Item->ArrivedAt, Objective - Item->TimeSinceFirstAttempt);
}

void OutboundProxy::waitForBody(const CallPtr &Item) {
  const BodyPipePtr &Body = Item->Request->body();
  const http::Framing &Framing = Item->Request->framing();
  const bool IsLong = Framing.Kind == http::FramingKind::Fixed &&
                      Framing.Length > MaxBufferedBody;
  if (Body->isEnded() || IsLong || Item->Info.Class == RequestClass::Upload) {
    prepare(Item);
    return;
  }
  if (Item->Request->head().has("Expect"))
    Item->Request->sendContinue();
  Body->OnChange = [this, Weak = std::weak_ptr<Call>(Item)] {
    const auto Found = Weak.lock();
    if (!Found || Found->Ended)
      return;
    const BodyPipePtr Growing = Found->Request->body();
    if (!Growing->isEnded() &&
        Growing->size() <= static_cast<std::size_t>(MaxBufferedBody))
      return;
    Growing->OnChange = nullptr;
    prepare(Found);
  };
}

/// Holds a request that may run only once behind others of its connection. If
/// one of their answers closes the connection, the caller sends it again.
bool OutboundProxy::waitUntilFirst(const CallPtr &Item) {
  if (Item->Info.Class == RequestClass::Repeatable || Item->Request->isFirst())
    return false;
  Item->Request->onFirst([this, Weak = std::weak_ptr<Call>(Item)] {
    const auto Found = Weak.lock();
    if (Found && !Found->Ended)
      prepare(Found);
  });
  return true;
}

void OutboundProxy::prepare(const CallPtr &Item) {
  if (waitUntilFirst(Item))
    return;
  const HTTPRequest &Head = Item->Request->head();
  const BodyPipePtr &Body = Item->Request->body();
  Hasher Hash;
  Hash.add(Head.getMethod()).add(Head.get(HTTPRequest::HOST, ""));
  Hash.add(Head.getURI()).add(Item->Info.Caller.str());
  if (Body->isEnded() &&
      Body->size() <= static_cast<std::size_t>(MaxBufferedBody)) {
    Item->BufferedBody = Body->take();
    Hash.add(*Item->BufferedBody);
  } else {
    Hash.add(std::to_string(Item->Request->framing().Length));
  }
  Item->Info.RequestFingerprint = requests::Fingerprint(Hash.text());
  if (requests::isQuarantined(Context_.Suspects, Item->Info.RequestFingerprint,
                              Context_.now())) {
    endUnanswered(Item, RefusalReason::CrashSuspect, Milliseconds(0));
    return;
  }
  dispatch(Item);
}

bool OutboundProxy::crossesLink(const CallPtr &Item,
                                const mesh::Candidate &To) {
  return To.Distance == mesh::Proximity::OtherRegion && !Item->BufferedBody &&
         Item->Request->framing().Kind != http::FramingKind::None;
}

std::optional<mesh::Candidate> OutboundProxy::choose(const CallPtr &Item) {
  const HopInfo &Info = Item->Info;
  const std::vector<mesh::Candidate> Candidates = Rollouts_.select(
      Info.Service, Info.Class,
      Directory_.candidates(Info.Service, Item->Excluded, Item->Allowed));
  mesh::PlacementRequest Wanted;
  Wanted.BodyBytes = std::max<std::int64_t>(
      0, Item->Request->framing().Kind == http::FramingKind::Fixed
             ? Item->Request->framing().Length
             : 0);
  Wanted.Objective = Info.Objective;
  Wanted.ObjectiveLeft = elapsed(Context_.now(), Info.ObjectiveAt);
  Wanted.LongestWait = mesh::longestWait(Info.Objective);
  Wanted.MayExplore =
      Info.Class == RequestClass::Repeatable && Item->Attempt == 0;
  Wanted.IsServedLast =
      mesh::isServedLast(*Item->Config, Info.Service, *Item->Route, Info.Rank);
  Wanted.OwnRegionIsFull = Item->OwnRegionIsFull;
  const auto Chosen =
      mesh::chooseCandidate(Candidates, Wanted, Context_.Random);
  if (!Chosen) {
    const RefusalReason Without = Item->Allowed.IsAny
                                      ? RefusalReason::NoUpstream
                                      : RefusalReason::NoAllowedRegion;
    endUnanswered(Item, Item->RetryDelay ? Item->FullReason : Without,
                  Item->RetryDelay.value_or(Milliseconds(0)));
    return std::nullopt;
  }
  const mesh::Candidate &Best = Candidates[Chosen->Index];
  if (crossesLink(Item, Best)) {
    const Milliseconds Room = mesh::sendDelay(RegionLink_, Context_.now());
    if (Room > Milliseconds(0)) {
      endUnanswered(Item, RefusalReason::QueueFull, Room);
      return std::nullopt;
    }
  }
  const bool EndsFirst =
      Context_.Stopping &&
      !mesh::canFinish(mesh::planStop(Context_.Bounds),
                       elapsed(Context_.StopAt, Context_.now()), Chosen->Wait,
                       Best.ServiceTime);
  if (EndsFirst) {
    endUnanswered(Item, RefusalReason::Draining, Milliseconds(0));
    return std::nullopt;
  }
  // Requests without a chance are refused before they cross the mesh.
  // Only the last hop knows which organisation goes first.
  const mesh::EntryRequest AtEntry{Wanted.IsServedLast &&
                                       !Info.HasOrganisations,
                                   Item->TimeSinceFirstAttempt, Info.Objective,
                                   Wanted.ObjectiveLeft, Best.ServiceTime};
  const Milliseconds Excess = mesh::excessWaitAtEntry(AtEntry, Chosen->Wait);
  if (Excess > Milliseconds(0)) {
    const bool IsLimited = Best.PermitWait >= Chosen->Wait;
    endUnanswered(
        Item, IsLimited ? RefusalReason::RateLimited : RefusalReason::QueueFull,
        Excess);
    return std::nullopt;
  }
  return Best;
}

void OutboundProxy::dispatch(const CallPtr &Item) {
  if (elapsed(Context_.now(), Item->Info.DeadlineAt) <= Milliseconds(0)) {
    endUnanswered(Item, RefusalReason::Deadline, Milliseconds(0));
    return;
  }
  const auto Best = choose(Item);
  if (!Best)
    return;
  send(Item, *Best);
  scheduleHedge(Item);
}

void OutboundProxy::send(const CallPtr &Item, const mesh::Candidate &To) {
  ++Item->Attempt;
  Offer Sent;
  Sent.Number = Item->Attempt;
  Sent.IsLocal = To.Node == Context_.Settings.Id;
  Sent.IsOwnRegion = To.Distance < mesh::Proximity::OtherRegion;
  Sent.Node = To.Node;
  Sent.Zone = To.At.Zone;
  Sent.Instance = To.Instance;
  Sent.SentAt = Context_.now();
  Item->InFlight.push_back(Sent);
  Item->Trace += (Item->Trace.empty() ? "" : ",") + To.Node.str();
  HopJob Job;
  Job.Info = Item->Info;
  Job.Info.Version = To.Version;
  Job.Id = Item->Id;
  Job.Head = Item->Request->head();
  removeReservedHeaders(Context_.Platform.Headers, Job.Info, Job.Head);
  Job.KnownLimit = Directory_.knownLimit(To.Node);
  Job.Framing = Item->Request->framing();
  if (Item->BufferedBody) {
    Job.Body = BodyPipe::complete(*Item->BufferedBody);
    if (Job.Framing.Kind == http::FramingKind::Chunked)
      Job.Framing = {http::FramingKind::Fixed,
                     static_cast<std::int64_t>(Item->BufferedBody->size())};
  } else {
    Job.Body = Item->Request->body();
  }
  const std::weak_ptr<Call> Weak = Item;
  const std::int32_t Attempt = Item->Attempt;
  if (!Item->BufferedBody && Item->Request->head().has("Expect"))
    Job.OnGranted = [Weak] {
      if (const auto Found = Weak.lock())
        Found->Request->sendContinue();
    };
  Job.OnEnd = [this, Weak, Attempt](HopOutcome Outcome) {
    const auto Found = Weak.lock();
    if (Found && !Found->Ended)
      onOutcome(Found, Attempt, std::move(Outcome));
  };
  if (crossesLink(Item, To)) {
    const std::int64_t Bytes = std::max<std::int64_t>(
        MaxBufferedBody, Item->Request->framing().Length);
    mesh::consumeTokens(RegionLink_, Bytes, Context_.now());
    Job.OnBodySent = [this, Bytes](Milliseconds Took) {
      mesh::recordTransfer(RegionLink_, Bytes, Took, Context_.now());
    };
  }
  Directory_.onSent(To.Node);
  // The node's own last hop may refuse before submit() returns; the attempt has
  // then ended.
  const mesh::JobId Started =
      Sent.IsLocal
          ? LocalHop_.submit(std::move(Job))
          : RemoteHop_.submit(Directory_.hopOf(To.Node), std::move(Job));
  for (Offer &Running : Item->InFlight)
    if (Running.Number == Attempt)
      Running.Job = Started;
}

void OutboundProxy::recordRefusal(const CallPtr &Item, const Offer &By,
                                  const HopOutcome &Outcome) {
  ++Item->Refusals;
  Hedger_.onRefusal(Item->Info.Service);
  const bool IsCalleeFull = Outcome.Reason == RefusalReason::CalleeFull;
  if (Outcome.Reason != RefusalReason::QueueFull &&
      Outcome.Reason != RefusalReason::RateLimited && !IsCalleeFull)
    return;
  Item->FullReason = Outcome.Reason;
  Item->CalleeRefusals += IsCalleeFull ? 1 : 0;
  Item->OwnRegionIsFull =
      Item->OwnRegionIsFull || (By.IsOwnRegion && !IsCalleeFull);
  Item->RetryDelay = std::min(Outcome.RetryDelay,
                              Item->RetryDelay.value_or(Outcome.RetryDelay));
}

bool OutboundProxy::mayRetry(const CallPtr &Item, const HopOutcome &Outcome) {
  const Milliseconds Left = elapsed(Context_.now(), Item->Info.DeadlineAt);
  const bool BodyIsConsumed =
      !Item->BufferedBody && Item->Request->body()->wasTaken();
  if (Left < MinTimeForRetry)
    return false;
  mesh::MeshRetryBudget &Budget = Budgets_[Item->Info.Service];
  if (Outcome.End == HopResult::NotRun) {
    const bool TookLong = elapsed(Item->ArrivedAt, Context_.now()) >
                          std::max(MinRefusalTime, Item->Info.Objective /
                                                       RefusalObjectiveDivisor);
    if (Item->Refusals >= MaxRefusals || BodyIsConsumed ||
        Item->CalleeRefusals >= MaxCalleeRefusals ||
        (Item->Refusals >= MaxSlowRefusals && TookLong &&
         !Item->IsNestedCall) ||
        Outcome.Reason == RefusalReason::CrashSuspect)
      return false;
    // Only a request that reached the upstream counts against the retry budget.
    return !Outcome.Reached ||
           mesh::takeRetryToken(Budget, mesh::RetryKind::Rejected);
  }
  if (Item->Info.Class != RequestClass::Repeatable || BodyIsConsumed ||
      Item->Runs >= Item->Route->MaxAttempts ||
      Outcome.Reason == RefusalReason::UpstreamTimeout)
    return false;
  return mesh::takeRetryToken(Budget, mesh::RetryKind::Rerun);
}

void OutboundProxy::deliver(const CallPtr &Item, const Offer &From,
                            HopOutcome Outcome) {
  HTTPResponse &Received = Outcome.Answer.Head;
  HTTPResponse Head(Received.getStatus(), Received.getReason());
  http::copyEndToEndHeaders(Received, Head);
  // An upstream beside this node may send what only nodes exchange.
  for (const std::string &Name : {HopLoadName, HopLimitName, HopRefusalName})
    Head.erase(Name);
  const int Status = Head.getStatus();
  if (Item->IsNestedCall && !http::isServerError(Status))
    LocalHop_.callees().onAnswered(Item->Info.Service, Item->ArrivedAt);
  end(Item, Status, "answered");
  // The caller may leave while a long answer is still being forwarded.
  Item->Request->onGone([this, Item] { cancelAttempts(Item); });
  if (!Outcome.Answer.Body->isEnded())
    Item->InFlight.push_back(From);
  Item->Request->answer(Head, Outcome.Answer.Body, Outcome.Answer.KnownLength);
}

void OutboundProxy::endUnanswered(const CallPtr &Item, RefusalReason Reason,
                                  Milliseconds RetryDelay) {
  if (Item->Failure && !Item->Ended) {
    HopOutcome Answered = std::move(*Item->Failure);
    Item->Failure.reset();
    deliver(Item, Offer(), std::move(Answered));
    return;
  }
  const bool MayHaveRun = Item->Runs > 0;
  if (!MayHaveRun && !Item->Ended)
    releasePermit(Item);
  answerRefusal(Item, statusOf(Reason, MayHaveRun), Reason, RetryDelay);
}

void OutboundProxy::answerRefusal(const CallPtr &Item, int Status,
                                  RefusalReason Reason,
                                  Milliseconds RetryDelay) {
  if (Item->Ended)
    return;
  if (Item->IsNestedCall)
    LocalHop_.callees().onRefused(Item->Info.Service, Item->ArrivedAt, Reason,
                                  RetryDelay);
  Item->Trace += ":" + std::string(toString(Reason));
  end(Item, Status, "refused", Reason);
  HTTPResponse Head(static_cast<HTTPResponse::HTTPStatus>(Status));
  const std::string &IdName = Context_.Platform.Headers.RequestId;
  if (!Item->Id.empty())
    Head.set(IdName, Item->Id.str());
  Head.set("lt-reason", std::string(toString(Reason)));
  const bool IsOverQuota = Status == HTTPResponse::HTTP_TOO_MANY_REQUESTS;
  if (IsOverQuota || Status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
    const Milliseconds Left = elapsed(Context_.now(), Item->Info.DeadlineAt);
    // Before the quota has a permit again, or a called service has recovered, a
    // retry is of no use.
    const bool IsUseless = IsOverQuota || Reason == RefusalReason::CalleeFull;
    const std::int64_t Least = IsUseless
                                   ? std::max(RetryDelay, MinRetryAfter).count()
                                   : MinRetryAfter.count();
    const std::int64_t Longest =
        std::max<std::int64_t>(Left.count() / RetryAfterDivisor, Least);
    const std::int64_t Wanted = std::clamp<std::int64_t>(
        RetryDelay.count(), MinRetryAfter.count(), Longest);
    // The jitter keeps requests that were refused together from returning
    // together. A quota states a different time for each.
    std::uniform_int_distribution<std::int64_t> Jitter(
        Wanted,
        IsOverQuota ? Wanted : std::max(Wanted, std::min(2 * Wanted, Longest)));
    Head.set("Retry-After", Poco::NumberFormatter::format(
                                static_cast<double>(Jitter(Context_.Random)) /
                                    MillisecondsPerSecond,
                                3));
  }
  Item->Request->answer(Head, BodyPipe::complete(""));
}

void OutboundProxy::end(const CallPtr &Item, int Status, const char *Result,
                        std::optional<RefusalReason> Reason) {
  if (Item->Ended)
    return;
  Item->Ended = true;
  --InProgress_;
  Context_.Loop.cancel(Item->Timer);
  Context_.Loop.cancel(Item->HedgeTimer);
  if (Item->HedgedAttempt != 0)
    Hedger_.onEnd(Item->HedgeWon);
  Item->Request->onGone(nullptr);
  const SteadyTime Now = Context_.now();
  const Milliseconds Took = elapsed(Item->ArrivedAt, Now);
  recordSample(Item, {Status, Reason, Item->Runs > 0}, Took);
  const bool Good =
      Status >= HTTPResponse::HTTP_OK && !http::isServerError(Status);
  const LogClass Class = Good ? LogClass::Success : LogClass::Failure;
  Context_.Log.write(
      Class, Now, "request",
      {{"request", Item->Id.str()},
       {"result", Result},
       {"status", std::to_string(Status)},
       {"route", Item->Info.Route.str()},
       {"service", Item->Info.Service.str()},
       {"organisation", Item->Info.Organisation.str()},
       {"config",
        Item->Config ? std::to_string(Item->Config->Version.value()) : "none"},
       {"path", Item->Trace},
       {"runs", std::to_string(Item->Runs)},
       {"hedge", Item->HedgedAttempt == 0 ? "none"
                 : Item->HedgeWon         ? "won"
                                          : "lost"},
       {"ms", std::to_string(Took.count())},
       {"left_ms",
        Item->Route == nullptr
            ? "unknown"
            : std::to_string(elapsed(Now, Item->Info.DeadlineAt).count())}});
}

} // namespace lycheethread::sidecar
