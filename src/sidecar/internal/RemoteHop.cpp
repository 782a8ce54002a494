#include "sidecar/internal/RemoteHop.h"
#include "sidecar/internal/HopHeaders.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

/// Allows a few round trips between regions; an instance without power does not
/// answer at all.
constexpr Milliseconds ConnectTimeout{250};
/// Nodes announce their own idle time; this is only an upper bound.
constexpr Milliseconds MaxIdle{60000};
/// A longer body is sent across a link only after the last hop has asked for
/// it.
constexpr std::int64_t MaxUnrequestedBytes = 32 * 1024;
/// Time to wait beyond the deadline, so that the last hop can end the request
/// first: it knows the outcome more precisely.
constexpr Milliseconds DeadlineGrace{200};

} // namespace

struct RemoteHop::Running {
  mesh::JobId Id;
  Endpoint To;
  HopJob Job;
  ClientConnectionPtr Connection;
  SteadyTime GrantedAt;
  bool Reported = false;
  bool Ended = false;
  reactor::TimerId Timer;
};

RemoteHop::RemoteHop(NodeContext &Context)
    : Context_(Context), Pool_(Context.Loop) {}

mesh::JobId RemoteHop::submit(const Endpoint &To, HopJob Job) {
  const auto Item = std::make_shared<Running>();
  Item->Id = LastJob_ = LastJob_.next();
  Item->To = To;
  Item->Job = std::move(Job);
  Jobs_.emplace(Item->Id.value(), Item);
  Item->Connection = Pool_.take(To, MaxIdle);
  if (Item->Connection) {
    send(Item);
    return Item->Id;
  }
  Item->Connection = ClientConnection::open(Context_.Loop, To, ConnectTimeout);
  Item->Connection->setBudget(Context_.HeldAnswers);
  const std::weak_ptr<Running> Weak = Item;
  Item->Connection->OnConnected = [this, Weak] {
    const auto Found = Weak.lock();
    if (!Found || Found->Ended)
      return;
    Found->Connection->OnIdleEnd = nullptr;
    send(Found);
  };
  Item->Connection->OnIdleEnd = [this, Weak] {
    const auto Found = Weak.lock();
    if (!Found || Found->Ended)
      return;
    finish(Found, notRun(RefusalReason::NoUpstream));
  };
  return Item->Id;
}

void RemoteHop::send(const RunningPtr &Item) {
  const HopJob &Job = Item->Job;
  HTTPRequest Head(Job.Head.getMethod(), Job.Head.getURI(),
                   HTTPMessage::HTTP_1_1);
  http::copyEndToEndHeaders(Job.Head, Head);
  http::setField(Head, HopInfoName, encodeInfo(Job.Info, Context_.now()));
  if (Job.KnownLimit)
    http::setField(Head, HopStatedName, encodeStated(*Job.KnownLimit));
  http::Framing Body = Job.Framing;
  if (Body.Kind == http::FramingKind::Chunked && Job.Body->isEnded())
    Body = {http::FramingKind::Fixed,
            static_cast<std::int64_t>(Job.Body->size())};
  http::setFraming(Head, Body);
  ClientRequest Request;
  Request.Method = Head.getMethod();
  Request.Chunked = Body.Kind == http::FramingKind::Chunked;
  Request.ExpectContinue =
      Request.Chunked || (Body.Kind == http::FramingKind::Fixed &&
                          Body.Length > MaxUnrequestedBytes);
  if (Request.ExpectContinue)
    http::setField(Head, "Expect", "100-continue");
  Request.Head = http::serialize(Head);
  if (Body.Kind != http::FramingKind::None)
    Request.Body = Job.Body;

  const std::weak_ptr<Running> Weak = Item;
  const Milliseconds Left =
      elapsed(Context_.now(), Job.Info.DeadlineAt) + DeadlineGrace;
  Item->Timer =
      Context_.Loop.runAfter(std::max(Left, Milliseconds(0)), [this, Weak] {
        const auto Found = Weak.lock();
        if (!Found || Found->Ended)
          return;
        Found->Connection->close();
        HopOutcome Outcome;
        Outcome.End = HopResult::Failed;
        Outcome.Reason = RefusalReason::UpstreamTimeout;
        finish(Found, std::move(Outcome));
      });
  // A request that may run only once cannot be sent elsewhere. Its instance may
  // only be cut off for a while, and then still delivers the answer.
  if (Job.Info.Class != RequestClass::Repeatable)
    Item->Connection->setPatience(Left);
  ClientCallbacks Callbacks;
  Callbacks.OnContinue = [this, Weak] {
    const auto Found = Weak.lock();
    if (!Found)
      return;
    Found->GrantedAt = Context_.now();
    if (Found->Job.OnGranted)
      Found->Job.OnGranted();
  };
  Callbacks.OnBodySent = [this, Weak] {
    const auto Found = Weak.lock();
    if (Found && Found->Job.OnBodySent && Found->GrantedAt != SteadyTime())
      Found->Job.OnBodySent(elapsed(Found->GrantedAt, Context_.now()));
  };
  Callbacks.OnAnswer = [Weak](ClientAnswer Answer) {
    const auto Found = Weak.lock();
    if (!Found || Found->Reported)
      return;
    auto Load = decodeLoad(Answer.Head.get(HopLoadName, ""));
    if (Load)
      decodeLimit(Answer.Head.get(HopLimitName, ""), *Load);
    HopOutcome Outcome;
    if (Answer.Head.has(HopRefusalName)) {
      Outcome.End = HopResult::Failed;
      Outcome.Reason = RefusalReason::UpstreamFailed;
      if (const auto Refusal = decodeRefusal(Answer.Head.get(HopRefusalName)))
        Outcome = *Refusal;
    } else {
      Outcome.End = HopResult::Answered;
      Outcome.Reached = true;
      Answer.Head.erase(HopLoadName);
      Answer.Head.erase(HopLimitName);
      Outcome.Answer = std::move(Answer);
    }
    Outcome.Load = Load;
    Found->Reported = true;
    const auto Callback = std::move(Found->Job.OnEnd);
    Callback(std::move(Outcome));
  };
  Callbacks.OnFailure = [this, Weak](ClientFailure) {
    const auto Found = Weak.lock();
    if (!Found)
      return;
    HopOutcome Outcome;
    Outcome.End = HopResult::Failed;
    Outcome.Reason = RefusalReason::UpstreamFailed;
    finish(Found, std::move(Outcome));
  };
  Callbacks.OnComplete = [this, Weak] {
    if (const auto Found = Weak.lock())
      release(Found);
  };
  Item->Connection->start(std::move(Request), std::move(Callbacks));
}

void RemoteHop::finish(const RunningPtr &Item, HopOutcome Outcome) {
  const bool MustReport = !Item->Reported;
  Item->Reported = true;
  const auto Callback = std::move(Item->Job.OnEnd);
  release(Item);
  if (MustReport && Callback)
    Callback(std::move(Outcome));
}

void RemoteHop::release(const RunningPtr &Item) {
  if (Item->Ended)
    return;
  Item->Ended = true;
  Context_.Loop.cancel(Item->Timer);
  Jobs_.erase(Item->Id.value());
  Item->Connection->OnConnected = nullptr;
  Item->Connection->OnIdleEnd = nullptr;
  Item->Connection->setPatience(Milliseconds(0));
  Pool_.recycle(Item->Connection);
}

void RemoteHop::cancel(mesh::JobId Id) {
  const auto Found = Jobs_.find(Id.value());
  if (Found == Jobs_.end())
    return;
  const RunningPtr Item = Found->second;
  Item->Reported = true;
  Item->Job.OnEnd = nullptr;
  Item->Connection->close();
  release(Item);
}

} // namespace lycheethread::sidecar
