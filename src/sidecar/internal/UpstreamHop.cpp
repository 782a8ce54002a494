#include "sidecar/internal/EvacuatedZones.h"
#include "sidecar/internal/HopLog.h"
#include "sidecar/internal/UpstreamHopRequest.h"
#include "sidecar/internal/UpstreamRequest.h"

#include <algorithm>
#include <utility>

namespace lycheethread::sidecar {

namespace {

using mesh::QueueDecision;
using mesh::UpstreamState;
using Poco::Net::HTTPResponse;

/// The upstream runs on the same instance.
constexpr Milliseconds ConnectTimeout{500};
/// How often the queue is checked for requests that can no longer be answered
/// in time.
constexpr Milliseconds ExpiryInterval{25};
/// An upstream stops its work at the deadline it was given; its own answer is
/// more informative than a closed connection.
constexpr Milliseconds DeadlineGrace{120};
/// Time for which the upstream counts as down after a failed connection.
constexpr Milliseconds DownTime{400};
/// A request that may run only once is not sent on a connection that has been
/// idle longer: the upstream may be closing it, and the outcome would be
/// unknown.
constexpr Milliseconds MaxIdleForOnceOnly{300};
constexpr Milliseconds MaxIdleForRepeatable{60000};
/// Part of a long body that is buffered before the request gets a slot.
constexpr std::size_t MaxBufferedBody = 512 * 1024;
/// Assumed for a body without a stated length.
constexpr std::int64_t UnknownBodyBytes = 64 * 1024;

} // namespace

UpstreamHop::UpstreamHop(NodeContext &Context, Callbacks Handlers)
    : Context_(Context), Callbacks_(std::move(Handlers)),
      // A restart may show in nothing else where no request is running.
      Pool_(Context.Loop,
            [this](const Endpoint &) {
              if (running() == 0)
                Cold_.onLoss(mesh::ConnectionLoss::Broken);
            }),
      Crashes_(Context, Pool_,
               [this] {
                 DownUntil_ = after(Context_.now(), DownTime);
                 Cold_.onLoss(mesh::ConnectionLoss::Refused);
               }),
      Cold_(Context, Pool_, Queue_,
            ColdWatch::Callbacks{
                [this] { return !checkUpstream(); },
                [this] { Context_.Loop.defer([this] { runWaiting(); }); }}),
      Callees_(Context) {}

UpstreamHop::~UpstreamHop() { Context_.Loop.cancel(Timer_); }

std::optional<RefusalReason>
UpstreamHop::checkTarget(const HopInfo &Info) const {
  const mesh::Upstream &Current = Context_.Registered.Current;
  if (Current.Service != Info.Service)
    return RefusalReason::NoUpstream;
  if (!Info.Version.empty() && Current.Version != Info.Version)
    return RefusalReason::NoUpstream;
  return checkUpstream();
}

std::optional<RefusalReason> UpstreamHop::checkUpstream() const {
  const mesh::Upstream &Current = Context_.Registered.Current;
  // Without a configuration, the limit of a cold upstream is not known.
  if (!Context_.Config && Cold_.isCold())
    return RefusalReason::NotReady;
  if (mesh::isLeaving(Current) || isOwnZoneEvacuated(Context_))
    return RefusalReason::Draining;
  if (Current.State != UpstreamState::Ready || Context_.now() < DownUntil_)
    return RefusalReason::NoUpstream;
  return std::nullopt;
}

mesh::JobId UpstreamHop::submit(HopJob Job) {
  const auto Item = std::make_shared<Running>();
  Item->Id = LastJob_ = LastJob_.next();
  Item->Job = std::move(Job);
  const HopInfo &Info = Item->Job.Info;
  const mesh::Upstream &Current = Context_.Registered.Current;
  const auto &Known = Item->Job.KnownLimit;
  if (Known && !HasAnswered_ && Known->By == Current.Id &&
      Known->StartedAtUnixMs == Current.StartedAtUnixMs)
    requests::restoreLimit(Queue_.Limit, Known->PerSecond, Context_.now());
  if (const auto Reason = checkTarget(Info)) {
    Item->Job.OnEnd(notRun(*Reason));
    return Item->Id;
  }
  if (!Info.RequestFingerprint.empty() &&
      requests::isQuarantined(Context_.Suspects, Info.RequestFingerprint,
                              Context_.now())) {
    Item->Job.OnEnd(notRun(RefusalReason::CrashSuspect));
    return Item->Id;
  }
  Jobs_.emplace(Item->Id.value(), Item);
  if (const auto Delay = Callees_.delay(Info, Queue_)) {
    finish(Item, notRun(RefusalReason::CalleeFull, *Delay));
    return Item->Id;
  }
  if (Info.Class == RequestClass::Upload && !Item->Job.Body->isEnded())
    admitUpload(Item);
  else
    admit(Item);
  return Item->Id;
}

/// Receives the body before the request takes a slot, since the slot would be
/// idle while the body crosses a slow link.
void UpstreamHop::admitUpload(const RunningPtr &Job) {
  const HopInfo &Info = Job->Job.Info;
  Job->PendingBytes = std::max(UnknownBodyBytes, Job->Job.Framing.Length);
  UploadBacklog_.BytesPerMs = Context_.Settings.LinkBytesPerMs;
  const Milliseconds RetryDelay = mesh::uploadDelay(
      UploadBacklog_, Job->PendingBytes, expectedService(Info),
      elapsed(Context_.now(), Info.ObjectiveAt));
  const Milliseconds Excess =
      mesh::uploadPermitExcess(Queue_, UploadBacklog_, UploadQueue_.size(),
                               Info.Objective, Context_.now());
  if (RetryDelay > Milliseconds(0) || Excess > Milliseconds(0)) {
    Job->PendingBytes = 0;
    finish(Job, notRun(Excess > RetryDelay ? RefusalReason::RateLimited
                                           : RefusalReason::QueueFull,
                       std::max(RetryDelay, Excess)));
    return;
  }
  UploadBacklog_.PendingBytes += Job->PendingBytes;
  Job->Timer =
      Context_.Loop.runAfter(elapsed(Context_.now(), Info.DeadlineAt),
                             [this, Weak = std::weak_ptr<Running>(Job)] {
                               if (const auto Item = Weak.lock())
                                 finish(Item, notRun(RefusalReason::Deadline));
                             });
  UploadQueue_.push_back(Job);
  receiveNext();
}

void UpstreamHop::receiveNext() {
  while (!UploadQueue_.empty() &&
         UploadBacklog_.Receiving <
             mesh::maxConcurrentUploads(UploadBacklog_)) {
    const RunningPtr Job = UploadQueue_.front();
    UploadQueue_.pop_front();
    if (!Job->Ended)
      receive(Job);
  }
}

void UpstreamHop::receive(const RunningPtr &Job) {
  Job->Receiving = true;
  ++UploadBacklog_.Receiving;
  Job->Job.Body->setHighWater(MaxBufferedBody);
  Job->Job.Body->OnChange = [this, Weak = std::weak_ptr<Running>(Job)] {
    if (const auto Item = Weak.lock())
      onBody(Item);
  };
  const auto Granted = std::move(Job->Job.OnGranted);
  Job->Job.OnGranted = nullptr;
  if (Granted)
    Granted();
  onBody(Job);
}

void UpstreamHop::onBody(const RunningPtr &Job) {
  const BodyPipePtr Body = Job->Job.Body;
  if (!Job->Receiving || (!Body->isEnded() && !Body->isFull()))
    return;
  Context_.Loop.cancel(Job->Timer);
  endReceiving(Job);
  if (const auto Reason = checkTarget(Job->Job.Info))
    finish(Job, notRun(*Reason));
  else
    admit(Job);
}

void UpstreamHop::endReceiving(const RunningPtr &Job) {
  UploadBacklog_.PendingBytes -= Job->PendingBytes;
  Job->PendingBytes = 0;
  if (!Job->Receiving)
    return;
  Job->Receiving = false;
  --UploadBacklog_.Receiving;
  Job->Job.Body->OnChange = nullptr;
  Context_.Loop.defer([this] { receiveNext(); });
}

void UpstreamHop::admit(const RunningPtr &Job) {
  const HopInfo &Info = Job->Job.Info;
  mesh::QueuedJob Queued;
  Queued.Id = Job->Id;
  Queued.Rank = Info.Rank;
  Queued.Account =
      mesh::shareAccountOf(Queue_, Info.Organisation, Context_.now());
  Queued.Arrived = Context_.now();
  Queued.Objective = Info.Objective;
  Queued.ObjectiveAt = Info.ObjectiveAt;
  Queued.DeadlineAt = Info.DeadlineAt;
  Queued.ServiceTime = expectedService(Info);
  Job->Slot = {Queued.Account, Queued.Rank, Queued.ServiceTime, SteadyTime()};
  mesh::recordArrival(Queue_, Queued, Context_.now());
  const QueueDecision Admission = mesh::admitJob(
      Queue_, Queued, mesh::meanServiceTime(Service_), Context_.now());
  switch (Admission.Choice) {
  case QueueDecision::Action::Refuse:
    finish(Job, notRun(Admission.IsRateLimited ? RefusalReason::RateLimited
                                               : RefusalReason::QueueFull,
                       Admission.RetryDelay));
    return;
  case QueueDecision::Action::Run:
    mesh::startNow(Queue_, Queued, Context_.now());
    countWork(*Job, Queued.ServiceTime);
    grant(Job);
    return;
  case QueueDecision::Action::Wait:
    break;
  }
  countWork(*Job, Queued.ServiceTime);
  Queue_.Waiting.push_back(Queued);
  runWaiting();
  scheduleExpiry();
}

void UpstreamHop::countWork(Running &Job, Milliseconds Expected) {
  ExpectedWork_ += Expected - Job.Expected;
  Job.Expected = Expected;
}

void UpstreamHop::scheduleExpiry() {
  if (Timer_ != reactor::TimerId() || Queue_.Waiting.empty())
    return;
  Milliseconds Next = ExpiryInterval;
  // No other event tells when the next permit is there.
  const Milliseconds Permit = mesh::permitDelay(Queue_, 0, Context_.now());
  if (Permit > Milliseconds(0))
    Next = std::min(Next, Permit);
  Timer_ = Context_.Loop.runAfter(Next, [this] { expireWaiting(); });
}

void UpstreamHop::grant(const RunningPtr &Job) {
  Job->HasSlot = true;
  Job->Slot.StartedAt = Context_.now();
  if (elapsed(Context_.now(), Job->Job.Info.DeadlineAt) <= Milliseconds(0)) {
    finish(Job, notRun(RefusalReason::Deadline));
    return;
  }
  connect(Job);
}

void UpstreamHop::connect(const RunningPtr &Job) {
  const bool Repeatable = Job->Job.Info.Class == RequestClass::Repeatable;
  const Endpoint &To = Context_.Registered.Address;
  Job->Connection =
      Pool_.take(To, Repeatable ? MaxIdleForRepeatable : MaxIdleForOnceOnly);
  if (Job->Connection) {
    send(Job);
    return;
  }
  // The request is sent only when the connection is established, so that a
  // refused connection leaves the body unread for another upstream.
  Job->Connection = ClientConnection::open(Context_.Loop, To, ConnectTimeout);
  Job->Connection->setBudget(Context_.HeldAnswers);
  const std::weak_ptr<Running> Weak = Job;
  Job->Connection->OnConnected = [this, Weak] {
    const auto Item = Weak.lock();
    if (!Item || Item->Ended)
      return;
    Item->Connection->OnIdleEnd = nullptr;
    send(Item);
  };
  Job->Connection->OnIdleEnd = [this, Weak] {
    const auto Item = Weak.lock();
    if (!Item || Item->Ended)
      return;
    DownUntil_ = after(Context_.now(), DownTime);
    Cold_.onLoss(mesh::ConnectionLoss::Refused);
    Context_.Log.write(LogClass::Failure, Context_.now(), "upstream-refused",
                       {{"request", Item->Job.Id.str()},
                        {"upstream", Context_.Registered.Current.Id.str()}});
    Crashes_.recordNoConnection();
    finish(Item, notRun(RefusalReason::NoUpstream));
  };
}

void UpstreamHop::send(const RunningPtr &Job) {
  const Milliseconds Left = elapsed(Context_.now(), Job->Job.Info.DeadlineAt);
  if (Left <= Milliseconds(0)) {
    finish(Job, notRun(RefusalReason::Deadline));
    return;
  }
  const Milliseconds ColdDelay =
      mesh::coldSendDelay(Queue_.Cold, Context_.now());
  if (ColdDelay > Milliseconds(0)) {
    finish(Job, notRun(RefusalReason::RateLimited, ColdDelay));
    return;
  }
  mesh::recordColdSend(Queue_.Cold, Context_.now());
  Job->Sent = true;
  Job->SentAt = Context_.now();
  Job->Target = Context_.Registered.Current;
  const auto Granted = std::move(Job->Job.OnGranted);
  Job->Job.OnGranted = nullptr;
  if (Granted)
    Granted();
  const std::weak_ptr<Running> Weak = Job;
  Job->Timer = Context_.Loop.runAfter(Left + DeadlineGrace, [this, Weak] {
    if (const auto Item = Weak.lock())
      onDeadline(Item);
  });
  ClientCallbacks Callbacks;
  Callbacks.Accept = [this, Weak](const HTTPResponse &Head) {
    const auto Item = Weak.lock();
    return !Item || isAnswerTo(Head, Context_.Platform.Headers, Item->Job.Id,
                               Item->Connection->wasUsedBefore());
  };
  Callbacks.OnAnswer = [this, Weak](ClientAnswer Answer) {
    if (const auto Item = Weak.lock())
      onAnswer(Item, std::move(Answer));
  };
  Callbacks.OnFailure = [this, Weak](ClientFailure Why) {
    if (const auto Item = Weak.lock())
      onFailure(Item, Why);
  };
  Callbacks.OnComplete = [this, Weak] {
    if (const auto Item = Weak.lock())
      release(Item);
  };
  Job->Connection->start(makeUpstreamRequest(Context_, Job->Job),
                         std::move(Callbacks));
}

std::size_t UpstreamHop::running() const {
  return static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(),
                    [](const auto &Item) { return Item.second->Sent; }));
}

void UpstreamHop::onAnswer(const RunningPtr &Job, ClientAnswer Answer) {
  const HeaderNames &Names = Context_.Platform.Headers;
  const int Status = Answer.Head.getStatus();
  const Milliseconds Took = elapsed(Job->SentAt, Context_.now());
  if (Answer.Head.has(Names.NotExecuted) ||
      Status == HTTPResponse::HTTP_MISDIRECTED_REQUEST) {
    onStatement(*Job, Answer.Head);
    HopOutcome Outcome = notRun(RefusalReason::Shed);
    Outcome.Reached = true;
    finish(Job, std::move(Outcome));
    return;
  }
  const bool IsFromUpstream =
      Answer.Head.has(Names.Seal) && !Answer.Head.has("Content-Encoding");
  if (!IsFromUpstream) {
    Context_.Log.write(
        LogClass::Failure, Context_.now(), "answer-unsealed",
        {{"request", Job->Job.Id.str()}, {"status", std::to_string(Status)}});
    recordEvidence(*Job, false, Took);
    finish(Job, failed(RefusalReason::UpstreamFailed));
    return;
  }
  onStatement(*Job, Answer.Head);
  const bool Good = !http::isServerError(Status);
  recordEvidence(*Job, Good, Took);
  if (Good) {
    mesh::recordServiceTime(Service_, Took);
    mesh::recordServiceTime(ServiceByRoute_[Job->Job.Info.Route], Took);
    Crashes_.recordAnswered(Job->Job.Info.RequestFingerprint);
    Cold_.onAnswer(Job->Job.Info.Route, Job->SentAt);
  }
  HopOutcome Outcome;
  Outcome.End = HopResult::Answered;
  Outcome.Reached = true;
  Outcome.Answer = std::move(Answer);
  // The slot is held until the whole answer has arrived.
  if (!Job->CallerDone) {
    Job->CallerDone = true;
    const auto Callback = std::move(Job->Job.OnEnd);
    Outcome.Load = load();
    Callback(std::move(Outcome));
  }
}

void UpstreamHop::onStatement(const Running &Job, const HTTPResponse &Head) {
  // A late answer of a process that this one has replaced.
  if (!mesh::isSameProcess(Job.Target, Context_.Registered.Current))
    return;
  const UpstreamStatement Read = readStatement(Head, Context_.Platform.Headers);
  const bool IsSame = Read.PerSecond == Stated_.PerSecond &&
                      Read.IsUnreadable == Stated_.IsUnreadable &&
                      Read.IsLeaving == Stated_.IsLeaving;
  Stated_ = Read;
  HasAnswered_ = true;
  if (!Read.IsUnreadable)
    requests::recordStatedLimit(Queue_.Limit, Read.PerSecond, Job.SentAt,
                                Context_.now());
  if (IsSame)
    return;
  Context_.Log.write(
      LogClass::State, Context_.now(), "upstream-states",
      {{"upstream", Job.Target.Id.str()},
       {"limit_per_s",
        Read.IsUnreadable ? "unreadable" : rateText(Read.PerSecond)},
       {"leaving", Read.IsLeaving ? "yes" : "no"}});
  if (Read.IsLeaving)
    Callbacks_.OnLeaving();
}

void UpstreamHop::onFailure(const RunningPtr &Job, ClientFailure Why) {
  if (Job->Ended)
    return;
  Cold_.onLoss(mesh::ConnectionLoss::Broken);
  if (!Job->CallerDone)
    recordEvidence(*Job, false, Milliseconds(0));
  if (Why == ClientFailure::NoAnswer && !Job->CallerDone)
    Crashes_.recordBrokenConnection(Job->Job.Info.RequestFingerprint);
  finish(Job, failed(RefusalReason::UpstreamFailed));
}

void UpstreamHop::onDeadline(const RunningPtr &Job) {
  if (Job->Ended)
    return;
  recordEvidence(*Job, false, Milliseconds(0));
  finish(Job, failed(RefusalReason::UpstreamTimeout));
}

void UpstreamHop::finish(const RunningPtr &Job, HopOutcome Outcome) {
  const bool MustReport = !Job->CallerDone;
  Job->CallerDone = true;
  const auto Callback = std::move(Job->Job.OnEnd);
  if (MustReport)
    logHopOutcome(Context_, Job->Job, Outcome, Queue_,
                  mesh::meanServiceTime(Service_));
  release(Job);
  if (MustReport && Callback) {
    Outcome.Load = load();
    Callback(std::move(Outcome));
  }
}

void UpstreamHop::release(const RunningPtr &Job) {
  if (Job->Ended)
    return;
  Job->Ended = true;
  Context_.Loop.cancel(Job->Timer);
  Jobs_.erase(Job->Id.value());
  countWork(*Job, Milliseconds(0));
  endReceiving(Job);
  if (Job->Connection) {
    Job->Connection->OnConnected = nullptr;
    Job->Connection->OnIdleEnd = nullptr;
    Pool_.recycle(Job->Connection);
    Job->Connection = nullptr;
  }
  if (!Job->HasSlot)
    return;
  mesh::endSlot(Queue_, Job->Slot, Context_.now());
  Context_.Loop.defer([this] { runWaiting(); });
}

void UpstreamHop::runWaiting() {
  if (checkUpstream())
    return;
  while (const auto Next = mesh::startNext(Queue_, Context_.now())) {
    const auto Found = Jobs_.find(Next->value());
    if (Found != Jobs_.end())
      grant(RunningPtr(Found->second));
    else
      --Queue_.Running;
  }
}

void UpstreamHop::expireWaiting() {
  Timer_ = reactor::TimerId();
  if (const auto Reason = checkUpstream())
    refuseWaiting(*Reason);
  for (const mesh::JobId Id : mesh::removeOverdue(Queue_, Context_.now())) {
    const auto Found = Jobs_.find(Id.value());
    if (Found != Jobs_.end())
      finish(RunningPtr(Found->second),
             notRun(RefusalReason::QueueFull, mesh::meanServiceTime(Service_)));
  }
  runWaiting();
  scheduleExpiry();
}

void UpstreamHop::refuseWaiting(RefusalReason Reason) {
  for (const mesh::QueuedJob &Queued : std::exchange(Queue_.Waiting, {})) {
    const auto Found = Jobs_.find(Queued.Id.value());
    if (Found != Jobs_.end())
      finish(RunningPtr(Found->second), notRun(Reason));
  }
}

void UpstreamHop::refuseUnsent() {
  Queue_.Waiting.clear();
  const auto Copy = Jobs_;
  for (const auto &[Id, Job] : Copy)
    if (!Job->Sent && !Job->Ended) {
      if (Job->Connection)
        Job->Connection->close();
      finish(Job, notRun(RefusalReason::Draining));
    }
}

void UpstreamHop::cancel(mesh::JobId Id) {
  const auto Found = Jobs_.find(Id.value());
  if (Found == Jobs_.end())
    return;
  const RunningPtr Job = Found->second;
  Job->CallerDone = true;
  Job->Job.OnEnd = nullptr;
  Job->Job.OnGranted = nullptr;
  // The upstream has stopped its work at the deadline; its slot must be free
  // when the caller, which has its answer, sends the next request.
  const bool IsOver =
      elapsed(Context_.now(), Job->Job.Info.DeadlineAt) <= Milliseconds(0);
  const bool MustComplete =
      Job->Sent && Job->Job.Info.Class != RequestClass::Repeatable && !IsOver;
  if (MustComplete && !Job->Job.Body->hasFailed())
    return;
  mesh::removeWaiting(Queue_, Id);
  if (Job->Connection)
    Job->Connection->close();
  release(Job);
}

void UpstreamHop::onRegistrationChanged() {
  const mesh::Registration &Known = Context_.Registered;
  if (!mesh::isSameProcess(Known.Current, CurrentUpstream_)) {
    // A cold upstream gets too few requests for its times to be learned anew
    // before it is warm: it would look slow and stay unused.
    const bool KeepsTimes = Queue_.Cold.PerSecond &&
                            Known.Current.Service == CurrentUpstream_.Service &&
                            Known.Current.Version == CurrentUpstream_.Version;
    CurrentUpstream_ = Known.Current;
    DownUntil_ = SteadyTime();
    Stated_ = {};
    HasAnswered_ = false;
    Queue_.Limit = {};
    if (!KeepsTimes) {
      Service_ = {};
      ServiceByRoute_.clear();
    }
    Crashes_.reset();
    Callees_.reset();
    Pool_.closeAll(Known.Address);
  }
  Queue_.Slots = mesh::slotsOf(Context_.Config.get(), Known.Current);
  Queue_.SharesSlots =
      Context_.Config && !Context_.Config->Organisations.empty();
  Cold_.onConfig();
  if (isOwnZoneEvacuated(Context_))
    refuseUnsent();
  else if (Known.Current.State == UpstreamState::Ready)
    runWaiting();
  else
    refuseWaiting(RefusalReason::Draining);
}

void UpstreamHop::onCheckIn() {
  Cold_.onCheckIn(
      !mesh::isSameProcess(Context_.Registered.Current, CurrentUpstream_));
}

} // namespace lycheethread::sidecar
