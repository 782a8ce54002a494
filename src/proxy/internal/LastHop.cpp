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

std::chrono::microseconds since(Clock::time_point Start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                               Start);
}

/// Digest of method, target and the kept part of the body.
std::string digestOf(const HTTPRequest &Request, const RequestBody &Body) {
  Poco::SHA1Engine Engine;
  Engine.update(Request.getMethod());
  Engine.update(' ');
  Engine.update(Request.getURI());
  Engine.update('\n');
  Engine.update(Body.kept());
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

bool isShed(const HTTPResponse &Answer) {
  return Answer.getStatus() == HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
         Answer.get(headers::ShedName, "") == "1";
}

/// Reads a short body off so that the connection can be used again.
void discardBody(Exchange &Out, SteadyTime Deadline) {
  std::array<char, 4096> Waste{};
  if (Out.body().read(Waste.data(), Waste.size(), Deadline) > 0 &&
      !Out.body().isComplete())
    Out.body().read(Waste.data(), Waste.size(), Deadline);
  Out.finish();
}

bool saysSomethingOfUpstream(const AttemptResult &Result) {
  return Result.End == AttemptEnd::Delivered ||
         (Result.End != AttemptEnd::CallerClosed && isUpstreamFailure(Result));
}

std::string randomPrefix(const NodeId &Id) {
  std::random_device Random;
  return Id.str() + "/" + std::to_string(Random()) + std::to_string(Random());
}

} // namespace

struct LastHop::Impl {
  explicit Impl(const NodeServices &Used)
      : Services(Used), Watch(Used.Peers, Used.Settings->Upstream),
        Claims(Used.Log, Used.Settings->Service,
               randomPrefix(Used.Settings->Id)),
        Ready(Used.Peers, Used.Settings->Upstream) {}

  NodeServices Services;
  ConnectionPool Pool;
  AdmissionGate Gate;
  CrashDetector Watch;
  ClaimStore Claims;
  Readiness Ready;
  std::atomic<std::int64_t> InProgress{0};

  AttemptResult exchange(const CallContext &Call, const HTTPRequest &Request,
                         RequestBody &Body, Reply &To,
                         std::optional<Exchange> &Out, AnswerCopy *Copy) {
    Out.emplace(Pool, Services.Settings->Upstream, Call.Deadline);
    // A claimed request runs on for its outcome, which the caller gets when it
    // sends the request again.
    Out->setFollowsCaller(Copy == nullptr);
    HTTPRequest Onward = makeForwardedRequest(Request, Call);
    Out->run(Onward, Body, false, Call.Deadline);
    if (isShed(Out->answer())) {
      discardBody(*Out, Call.Deadline);
      return refused(RefusalReason::Shed, Executed::No, "the upstream shed");
    }
    To.KeepAlive = To.KeepAlive && Body.isComplete();
    return relayAnswer(*Out, To, Call.Match.Found->Timeout, Copy);
  }

  void lookForCrash(AttemptResult &Result, std::int64_t Ticket,
                    bool Connected) {
    if (!Connected) {
      Ready.recheck();
      return;
    }
    if (!Watch.onConnectionBroken(Ticket))
      return;
    Result.Fault = UpstreamFailure::Crashed;
    Ready.recheck();
  }

  AttemptResult forward(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To, const std::string &Digest,
                        AnswerCopy *Copy) {
    const auto Start = Clock::now();
    const std::int64_t Ticket = Watch.started(requests::Fingerprint(Digest));
    std::optional<Exchange> Out;
    AttemptResult Result = guardAttempt(Out, Call.Deadline, [&] {
      return exchange(Call, Request, Body, To, Out, Copy);
    });
    const bool Failed = Result.End == AttemptEnd::Refused ||
                        Result.End == AttemptEnd::Truncated;
    if (Failed && Result.Reason == RefusalReason::UpstreamFailed)
      lookForCrash(Result, Ticket, Out.has_value());
    Watch.ended(Ticket, Result.End == AttemptEnd::Delivered);
    if (saysSomethingOfUpstream(Result))
      Services.LastHopOutcomes->Add({Call.service(), Call.Match.Found->Group,
                                     Call.route(), Services.Settings->Version,
                                     isUpstreamFailure(Result), since(Start)});
    return Result;
  }

  void recordEnd(const requests::ClaimEntry &Claim, const AttemptResult &Result,
                 const AnswerCopy &Copy) {
    requests::ClaimEntry Entry = Claim;
    if (Result.End == AttemptEnd::Refused &&
        Result.ExecutionStatus == Executed::No) {
      Entry.Kind = requests::ClaimKind::Release;
      Claims.append(std::move(Entry));
      return;
    }
    if (!Result.AnswerComplete)
      return;
    Entry.Kind = requests::ClaimKind::Outcome;
    Entry.Answer.Status = Result.Status;
    Entry.Answer.ContentType = Copy.ContentType.substr(0, MaxContentType);
    if (Copy.Whole)
      Entry.Answer.Body = Copy.Body;
    Claims.append(std::move(Entry));
  }

  AttemptResult execute(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To,
                        const requests::ClaimEntry &Claim) {
    AnswerCopy Copy;
    AttemptResult Result;
    if (timeLeft(Call.Deadline) <= Milliseconds(0))
      Result = refused(RefusalReason::Deadline, Executed::No,
                       "the claim took too long");
    else
      Result =
          forward(Call, Request, Body, To, Claim.RequestFingerprint, &Copy);
    recordEnd(Claim, Result, Copy);
    return Result;
  }

  AttemptResult runOnce(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To,
                        const std::string &Digest) {
    requests::ClaimEntry Claim;
    Claim.Key = Call.Key;
    Claim.RequestFingerprint = Digest;
    requests::ClaimDecision Verdict;
    try {
      Verdict = Claims.claim(Claim, Call.Deadline);
    } catch (const streamlog::LogUnavailable &Error) {
      return refused(RefusalReason::LogUnavailable, Executed::No, Error.what());
    }
    switch (Verdict.Action) {
    case requests::ClaimAction::Execute:
      return execute(Call, Request, Body, To, Claim);
    case requests::ClaimAction::Replay: {
      To.KeepAlive = To.KeepAlive && Body.isComplete();
      writeRecorded(To, Verdict.Answer);
      AttemptResult Result;
      Result.Status = Verdict.Answer.Status;
      return Result;
    }
    case requests::ClaimAction::KeyReused:
      return refused(RefusalReason::BadRequest, Executed::No,
                     "the idempotency key belongs to another request");
    case requests::ClaimAction::Unknown:
      break;
    }
    return refused(RefusalReason::AlreadyAccepted, Verdict.ExecutionStatus,
                   "the key was accepted before");
  }

  AttemptResult runAdmitted(const CallContext &Call, const HTTPRequest &Request,
                            RequestBody &Body, Reply &To,
                            bool ExpectsContinue) {
    if (ExpectsContinue)
      writeContinue(To.To, Call.Deadline);
    Body.bufferFirstPart(Call.Deadline);
    const std::string Digest = digestOf(Request, Body);
    if (Watch.isQuarantined(requests::Fingerprint(Digest)))
      return refused(RefusalReason::CrashSuspect, Executed::No,
                     "present at two crashes");
    if (!Call.Key.empty() && Call.Class != RequestClass::Repeatable)
      return runOnce(Call, Request, Body, To, Digest);
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
  const auto Asked = Clock::now();
  std::optional<Exchange> NotYet;
  std::optional<RefusalReason> Refused;
  AttemptResult Result = guardAttempt(NotYet, Call.Deadline, [&] {
    Refused = Impl_->Gate.enter(Item, Limits, To.To);
    return AttemptResult();
  });
  if (Refused)
    return refused(*Refused, Executed::No, "not admitted");
  if (Result.End != AttemptEnd::Delivered)
    return Result;
  const auto Admitted = Clock::now();
  ++Impl_->InProgress;
  Result = guardAttempt(NotYet, Call.Deadline, [&] {
    return Impl_->runAdmitted(Call, Request, Body, To, ExpectsContinue);
  });
  --Impl_->InProgress;
  Impl_->Gate.leave(Item, Limits, since(Admitted));
  Impl_->Services.Metrics->Record(
      {metrics::Hop::LastHop, Call.Caller, Call.Class, since(Asked),
       std::chrono::duration_cast<std::chrono::microseconds>(Admitted - Asked),
       Body.received(), Result.AnswerBytes});
  return Result;
}

void LastHop::beginDrain() {
  Impl_->Gate.beginDrain();
  Impl_->Ready.beginDrain();
}

std::int64_t LastHop::inProgress() const { return Impl_->InProgress.load(); }

std::int64_t LastHop::unwrittenOutcomes() const {
  return Impl_->Claims.waiting();
}

} // namespace lycheethread::proxy
