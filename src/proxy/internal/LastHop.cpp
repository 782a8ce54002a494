#include "proxy/internal/LastHop.h"
#include "proxy/internal/AdmissionGate.h"
#include "proxy/internal/AttemptGuard.h"
#include "proxy/internal/ClaimStore.h"
#include "proxy/internal/CrashDetector.h"
#include "proxy/internal/Readiness.h"

#include <Poco/SHA1Engine.h>

#include <array>
#include <atomic>
#include <chrono>
#include <random>

namespace lycheethread::proxy {

namespace {

using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t MaxContentType = 256;

std::chrono::microseconds elapsedSince(Clock::time_point Start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                               Start);
}

/// Returns the digest of method, target and the buffered part of the body.
std::string digestOf(const HTTPRequest &Request, const RequestBody &Body) {
  Poco::SHA1Engine Engine;
  Engine.update(Request.getMethod());
  Engine.update(' ');
  Engine.update(Request.getURI());
  Engine.update('\n');
  Engine.update(Body.buffered());
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

bool isShed(const HTTPResponse &Response) {
  return Response.getStatus() == HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
         Response.get(headers::ShedName, "") == "1";
}

/// Reads and discards a short body, so that the connection can be reused.
void discardBody(Exchange &Out, SteadyTime Deadline) {
  std::array<char, 4096> Discarded{};
  if (Out.body().read(Discarded.data(), Discarded.size(), Deadline) > 0 &&
      !Out.body().isComplete())
    Out.body().read(Discarded.data(), Discarded.size(), Deadline);
  Out.finish();
}

bool isUpstreamOutcome(const AttemptResult &Result) {
  return Result.End == AttemptEnd::Delivered ||
         (Result.End != AttemptEnd::CallerClosed && isUpstreamFailure(Result));
}

std::string randomPrefix(const NodeId &Id) {
  std::random_device Random;
  return Id.str() + "/" + std::to_string(Random()) + std::to_string(Random());
}

} // namespace

struct LastHop::Impl {
  explicit Impl(const NodeServices &Node)
      : Services(Node), Crashes(Node.Peers, Node.Settings->Upstream),
        Claims(Node.Log, Node.Settings->Service,
               randomPrefix(Node.Settings->Id)),
        UpstreamReadiness(Node.Peers, Node.Settings->Upstream,
                          [this] { Gate.endDrain(); }) {}

  NodeServices Services;
  ConnectionPool Pool;
  AdmissionGate Gate;
  CrashDetector Crashes;
  ClaimStore Claims;
  Readiness UpstreamReadiness;
  std::atomic<std::int64_t> InProgress{0};

  AttemptResult exchange(const CallContext &Call, const HTTPRequest &Request,
                         RequestBody &Body, Reply &To,
                         std::optional<Exchange> &Out, ResponseCopy *Copy) {
    Out.emplace(Pool, Services.Settings->Upstream, Call.Deadline);
    // A claimed request continues after the caller disconnects, since the
    // caller gets its outcome when it repeats the request.
    Out->setCancelOnDisconnect(Copy == nullptr);
    HTTPRequest Forwarded = makeForwardedRequest(Request, Call);
    const SteadyTime SentAt = steadyNow();
    Out->run(Forwarded, Body, false, Call.Deadline);
    recordStatement(Out->response(), SentAt);
    if (isShed(Out->response())) {
      discardBody(*Out, Call.Deadline);
      return refused(RefusalReason::Shed, Executed::No,
                     "the upstream shed the request");
    }
    To.KeepAlive = To.KeepAlive && Body.isComplete();
    return relayResponse(*Out, To, Call.Match.Found->Timeout, Copy);
  }

  /// Takes what the upstream says of itself beside its answer. A caller that is
  /// an upstream too must not pass it on as its own statement.
  void recordStatement(HTTPResponse &Response, SteadyTime SentAt) {
    const std::string Text = Response.get(headers::LimitName, "");
    const bool IsLeaving = Response.get(headers::LeavingName, "") == "1";
    Response.erase(headers::LimitName);
    Response.erase(headers::LeavingName);
    const auto Limit = requests::parseRate(Text);
    if (Limit || Text.empty())
      Gate.recordLimit(Limit, SentAt);
    if (!IsLeaving)
      return;
    Gate.beginDrain();
    UpstreamReadiness.beginLeaving();
  }

  void detectCrash(AttemptResult &Result, std::int64_t Ticket,
                   bool WasConnected) {
    if (!WasConnected) {
      UpstreamReadiness.triggerCheck();
      return;
    }
    if (!Crashes.onConnectionBroken(Ticket))
      return;
    Result.Fault = UpstreamFailure::Crashed;
    UpstreamReadiness.triggerCheck();
  }

  AttemptResult forward(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To, const std::string &Digest,
                        ResponseCopy *Copy) {
    const auto Start = Clock::now();
    const std::int64_t Ticket = Crashes.started(requests::Fingerprint(Digest));
    std::optional<Exchange> Out;
    AttemptResult Result = guardAttempt(Out, Call.Deadline, [&] {
      return exchange(Call, Request, Body, To, Out, Copy);
    });
    const bool Failed = Result.End == AttemptEnd::Refused ||
                        Result.End == AttemptEnd::Truncated;
    if (Failed && Result.Reason == RefusalReason::UpstreamFailed)
      detectCrash(Result, Ticket, Out.has_value());
    Crashes.ended(Ticket, Result.End == AttemptEnd::Delivered);
    if (isUpstreamOutcome(Result))
      Services.LastHopOutcomes->Add({Call.service(), Call.Match.Found->Group,
                                     Call.route(), Services.Settings->Version,
                                     isUpstreamFailure(Result),
                                     elapsedSince(Start)});
    return Result;
  }

  void recordOutcome(const requests::ClaimEntry &Claim,
                     const AttemptResult &Result, const ResponseCopy &Copy) {
    requests::ClaimEntry Entry = Claim;
    if (Result.End == AttemptEnd::Refused &&
        Result.ExecutionStatus == Executed::No) {
      Entry.Kind = requests::ClaimKind::Release;
      Claims.append(std::move(Entry));
      return;
    }
    if (!Result.IsResponseComplete)
      return;
    Entry.Kind = requests::ClaimKind::Outcome;
    Entry.Answer.Status = Result.Status;
    Entry.Answer.ContentType = Copy.ContentType.substr(0, MaxContentType);
    if (Copy.IsComplete)
      Entry.Answer.Body = Copy.Body;
    Claims.append(std::move(Entry));
  }

  AttemptResult execute(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To,
                        const requests::ClaimEntry &Claim) {
    ResponseCopy Copy;
    AttemptResult Result;
    if (timeLeft(Call.Deadline) <= Milliseconds(0))
      Result = refused(RefusalReason::Deadline, Executed::No,
                       "the deadline passed while the key was claimed");
    else
      Result =
          forward(Call, Request, Body, To, Claim.RequestFingerprint, &Copy);
    recordOutcome(Claim, Result, Copy);
    return Result;
  }

  AttemptResult runClaimed(const CallContext &Call, const HTTPRequest &Request,
                           RequestBody &Body, Reply &To,
                           const std::string &Digest) {
    requests::ClaimEntry Claim;
    Claim.Key = Call.Key;
    Claim.RequestFingerprint = Digest;
    requests::ClaimDecision Decision;
    try {
      Decision = Claims.claim(Claim, Call.Deadline);
    } catch (const streamlog::LogUnavailable &Error) {
      return refused(RefusalReason::LogUnavailable, Executed::No, Error.what());
    }
    switch (Decision.Action) {
    case requests::ClaimAction::Execute:
      return execute(Call, Request, Body, To, Claim);
    case requests::ClaimAction::Replay: {
      To.KeepAlive = To.KeepAlive && Body.isComplete();
      writeRecorded(To, Decision.Answer);
      AttemptResult Result;
      Result.Status = Decision.Answer.Status;
      return Result;
    }
    case requests::ClaimAction::KeyReused:
      return refused(RefusalReason::BadRequest, Executed::No,
                     "the idempotency key belongs to another request");
    case requests::ClaimAction::Unknown:
      break;
    }
    return refused(RefusalReason::AlreadyAccepted, Decision.ExecutionStatus,
                   "a request with this idempotency key was accepted before");
  }

  AttemptResult runAdmitted(const CallContext &Call, const HTTPRequest &Request,
                            RequestBody &Body, Reply &To,
                            bool ExpectsContinue) {
    if (ExpectsContinue)
      writeContinue(To.Connection, Call.Deadline);
    Body.bufferFirstPart(Call.Deadline);
    const std::string Digest = digestOf(Request, Body);
    if (Crashes.isQuarantined(requests::Fingerprint(Digest)))
      return refused(RefusalReason::CrashSuspect, Executed::No,
                     "the request was in progress at two upstream crashes");
    if (!Call.Key.empty() && Call.Class != RequestClass::Repeatable)
      return runClaimed(Call, Request, Body, To, Digest);
    return forward(Call, Request, Body, To, Digest, nullptr);
  }
};

LastHop::LastHop(const NodeServices &Services)
    : Impl_(std::make_unique<Impl>(Services)) {}

LastHop::~LastHop() = default;

AttemptResult LastHop::run(const CallContext &Call, const HTTPRequest &Request,
                           RequestBody &Body, Reply &To, bool ExpectsContinue) {
  const ServiceLimits &Limits = Call.Match.Service->Limits;
  requests::AdmissionRequest Item;
  Item.Caller = Call.Caller;
  Item.Class = Call.Class;
  Item.Deadline = Call.Deadline;
  const auto QueuedAt = Clock::now();
  std::optional<Exchange> NoExchange;
  std::optional<RefusalReason> Refused;
  AttemptResult Result = guardAttempt(NoExchange, Call.Deadline, [&] {
    Refused = Impl_->Gate.acquireSlot(Item, Limits, To.Connection);
    return AttemptResult();
  });
  if (Refused)
    return refused(*Refused, Executed::No, "not admitted");
  if (Result.End != AttemptEnd::Delivered)
    return Result;
  const auto AdmittedAt = Clock::now();
  ++Impl_->InProgress;
  Result = guardAttempt(NoExchange, Call.Deadline, [&] {
    return Impl_->runAdmitted(Call, Request, Body, To, ExpectsContinue);
  });
  --Impl_->InProgress;
  Impl_->Gate.releaseSlot(Item, Limits, elapsedSince(AdmittedAt));
  Impl_->Services.Metrics->Record(
      {metrics::Hop::LastHop, Call.Caller, Call.Class, elapsedSince(QueuedAt),
       std::chrono::duration_cast<std::chrono::microseconds>(AdmittedAt -
                                                             QueuedAt),
       Body.received(), Result.ResponseBytes});
  return Result;
}

void LastHop::beginDrain() {
  // After this, the end of a leaving process admits no requests again.
  Impl_->UpstreamReadiness.beginDrain();
  Impl_->Gate.beginDrain();
}

std::int64_t LastHop::inProgress() const { return Impl_->InProgress.load(); }

std::int64_t LastHop::unwrittenOutcomes() const {
  return Impl_->Claims.queued();
}

} // namespace lycheethread::proxy
