#include "proxy/internal/Entry.h"
#include "proxy/internal/AttemptGuard.h"
#include "proxy/internal/Balancer.h"

#include <Poco/Format.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <random>
#include <set>

namespace lycheethread::proxy {

namespace {

using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// Longest deadline of a request. Applies as it is to requests that have
/// neither a deadline header nor a route.
constexpr Milliseconds MaxCallDuration{600000};
/// Time beyond the deadline that the entry waits for the refusal of the last
/// hop, which knows more precisely whether the request was executed.
constexpr Milliseconds RefusalGrace{20};
constexpr std::size_t MaxRefusalId = 128;

bool wantsContinue(const HTTPRequest &Request) {
  return Poco::icompare(Request.get("Expect", ""), "100-continue") == 0;
}

std::string sanitizeId(const std::string &Text) {
  const auto IsSafe = [](char Byte) {
    return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
           (Byte >= 'A' && Byte <= 'Z') || Byte == '-' || Byte == '.' ||
           Byte == '_';
  };
  std::string Safe;
  std::copy_if(Text.begin(),
               Text.begin() + static_cast<std::ptrdiff_t>(
                                  std::min(Text.size(), MaxRefusalId)),
               std::back_inserter(Safe), IsSafe);
  return Safe;
}

/// Returns whether \p Response is a refusal by the last hop of this call. The
/// refusal of a nested call has a greater depth.
bool isLastHopRefusal(const HTTPResponse &Response, const CallContext &Call) {
  int Depth = 0;
  return Response.has(headers::RefusalIdName) &&
         Poco::NumberParser::tryParse(Response.get(headers::DepthName, ""),
                                      Depth) &&
         Depth == Call.Depth;
}

AttemptResult readRefusal(Exchange &Out, SteadyTime Deadline) {
  const HTTPResponse &Response = Out.response();
  AttemptResult Result =
      refused(parseRefusalReason(Response.get(headers::ReasonName, ""))
                  .value_or(RefusalReason::UpstreamFailed),
              parseExecuted(Response.get(headers::ExecutedName, ""))
                  .value_or(Executed::Unknown),
              "refused by the last hop");
  Result.Id = RefusalId(sanitizeId(Response.get(headers::RefusalIdName)));
  const std::string Upstream = Response.get(headers::UpstreamName, "");
  if (Upstream == "crashed")
    Result.Fault = UpstreamFailure::Crashed;
  else if (Upstream == "no-connection")
    Result.Fault = UpstreamFailure::NoConnection;
  std::array<char, 1024> Discarded{};
  while (Out.body().read(Discarded.data(), Discarded.size(), Deadline) > 0) {
  }
  Out.finish();
  return Result;
}

std::chrono::microseconds elapsedSince(Clock::time_point Start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                               Start);
}

Reply makeReply(HttpConnection &To, const HTTPRequest &Request,
                const NodeId &Node) {
  return {To,
          Request.getMethod(),
          Request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0,
          http::keepsConnection(Request),
          Node,
          false};
}

} // namespace

struct Entry::Impl {
  NodeServices Services;
  LastHop *LocalHop = nullptr;
  Balancer UpstreamBalancer;
  ConnectionPool Pool;
  std::string IdPrefix;
  std::atomic<std::int64_t> LastId{0};

  Impl(const NodeServices &Node, LastHop *Hop)
      : Services(Node), LocalHop(Hop), UpstreamBalancer(Node.StoppedMoves) {
    std::random_device Random;
    IdPrefix = sanitizeId(Node.Settings->Id.str()) + "-" +
               Poco::format("%08x%08x", static_cast<unsigned>(Random()),
                            static_cast<unsigned>(Random())) +
               "-";
  }

  std::string nextId() { return IdPrefix + std::to_string(++LastId); }

  AttemptResult forwardToNode(const CallContext &Call,
                              const HTTPRequest &Request, RequestBody &Body,
                              Reply &To, const Member &Target) {
    std::optional<Exchange> Out;
    return guardAttempt(Out, Call.Deadline, [&] {
      Out.emplace(Pool, Target.Hop, Call.Deadline);
      HTTPRequest Forwarded = makeForwardedRequest(Request, Call);
      const SteadyTime Limit = after(Call.Deadline, RefusalGrace);
      Out->run(Forwarded, Body, true, Limit);
      if (isLastHopRefusal(Out->response(), Call))
        return readRefusal(*Out, after(Limit, RefusalGrace));
      To.KeepAlive = To.KeepAlive && Body.isComplete();
      return relayResponse(*Out, To, Call.Match.Found->Timeout, nullptr);
    });
  }

  AttemptResult attempt(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To,
                        const requests::Selection &Chosen) {
    const auto Start = Clock::now();
    const bool IsLocal =
        LocalHop != nullptr && Chosen.Target.Id == Services.Settings->Id;
    const AttemptResult Result =
        IsLocal ? LocalHop->run(Call, Request, Body, To, false)
                : forwardToNode(Call, Request, Body, To, Chosen.Target);
    UpstreamBalancer.attemptEnded(Chosen.Target.Id, Result);
    const bool IsCounted =
        Result.End == AttemptEnd::Delivered ||
        (Result.End != AttemptEnd::CallerClosed && isUpstreamFailure(Result));
    if (IsCounted)
      Services.EntryOutcomes->Add(
          {Call.service(), Call.Match.Found->Group, Call.route(),
           Chosen.Version, isUpstreamFailure(Result), elapsedSince(Start)});
    return Result;
  }

  bool mayRetry(const CallContext &Call, const RequestBody &Body,
                const AttemptResult &Result) {
    if (Result.End != AttemptEnd::Refused)
      return false;
    requests::FailedAttempt Failed;
    Failed.Class = Call.Class;
    Failed.Reason = Result.Reason;
    Failed.ExecutionStatus = Result.ExecutionStatus;
    Failed.Attempt = Call.Attempt;
    Failed.BodyBuffered = Body.canReplay();
    Failed.TimeLeft = timeLeft(Call.Deadline);
    return UpstreamBalancer.mayRetry(Call, Failed);
  }

  AttemptResult tryUpstreams(CallContext &Call, const HTTPRequest &Request,
                             RequestBody &Body, Reply &To) {
    std::set<NodeId> Excluded;
    AttemptResult Last = refused(RefusalReason::NoUpstream, Executed::No,
                                 "no upstream is ready");
    Executed EarlierExecution = Executed::No;
    for (;;) {
      const auto Chosen = UpstreamBalancer.select(Call, Excluded);
      if (!Chosen)
        break;
      Last = attempt(Call, Request, Body, To, *Chosen);
      if (!mayRetry(Call, Body, Last))
        break;
      if (Last.ExecutionStatus != Executed::No)
        EarlierExecution = Last.ExecutionStatus;
      Excluded.insert(Chosen->Target.Id);
      ++Call.Attempt;
    }
    // "Not executed" must hold for all attempts of the request.
    if (Last.End == AttemptEnd::Refused && Last.ExecutionStatus == Executed::No)
      Last.ExecutionStatus = EarlierExecution;
    return Last;
  }

  AttemptResult serve(CallContext &Call, const HTTPRequest &Request,
                      RequestBody &Body, Reply &To) {
    auto View = Services.View->load();
    if (!View)
      return refused(RefusalReason::NotReady, Executed::No,
                     "no configuration in force");
    applyRoute(Call, Request, std::move(View));
    if (Call.Match.Found == nullptr)
      return refused(RefusalReason::NoRoute, Executed::No, "no such route");
    if (Call.Depth > MaxDepth)
      return refused(RefusalReason::TooDeep, Executed::No,
                     "the call chain is too deep");
    if (timeLeft(Call.Deadline) <= Milliseconds(0))
      return refused(RefusalReason::Deadline, Executed::No,
                     "the deadline has passed");
    Body.limit(bodyLimit(Call));
    if (wantsContinue(Request) && !Body.isComplete())
      writeContinue(To.Connection, Call.Deadline);
    Body.bufferFirstPart(Call.Deadline);
    UpstreamBalancer.recordOriginal(Call);
    return tryUpstreams(Call, Request, Body, To);
  }

  void recordRefusal(const CallContext &Call, const AttemptResult &Result) {
    Refusal Item;
    Item.Id = Result.Id;
    Item.At = wallNow();
    Item.Caller = Call.Caller;
    Item.Service = Call.service();
    Item.Route = Call.route();
    Item.Class = Call.Class;
    Item.Reason = Result.Reason;
    Item.ExecutionStatus = Result.ExecutionStatus;
    if (Call.View)
      Item.ConfigPosition = Call.View->ConfigPosition;
    Services.Refusals->Add(Item);
  }

  /// Writes the refusal if the result is one. Returns whether the connection
  /// may be reused.
  bool finishRequest(const CallContext &Call, RequestBody &Body, Reply &To,
                     AttemptResult &Result, bool IsFromCaller) {
    if (Result.End == AttemptEnd::Delivered)
      return To.KeepAlive && Body.isComplete();
    if (Result.End != AttemptEnd::Refused)
      return false;
    if (Result.Id.empty())
      Result.Id = RefusalId(nextId());
    if (IsFromCaller)
      recordRefusal(Call, Result);
    To.KeepAlive = To.KeepAlive && Body.isComplete();
    try {
      writeRefusal(To, Call, Result);
    } catch (const CallerDisconnected &) {
      return false;
    }
    if (!Body.isComplete())
      To.Connection.shutdownGracefully();
    return To.KeepAlive;
  }

  void initializeCall(CallContext &Call, HttpConnection &From) {
    if (Call.Id.empty())
      Call.Id = RequestId(nextId());
    if (Call.Caller.empty())
      Call.Caller = CallerId(From.peerAddress());
    ++Call.Depth;
  }

  AttemptResult serveLocally(CallContext &Call, const HTTPRequest &Request,
                             RequestBody &Body, Reply &To) {
    auto View = Services.View->load();
    if (!View || LocalHop == nullptr)
      return refused(RefusalReason::NotReady, Executed::No,
                     "no configuration in force");
    applyRoute(Call, Request, std::move(View));
    if (Call.Match.Found == nullptr ||
        Call.service() != Services.Settings->Service)
      return refused(RefusalReason::NoRoute, Executed::No, "no such route");
    Call.Class = parseRequestClass(Request.get(headers::ClassName, ""))
                     .value_or(Call.Class);
    Body.limit(bodyLimit(Call));
    return LocalHop->run(Call, Request, Body, To,
                         wantsContinue(Request) && !Body.isComplete());
  }
};

Entry::Entry(const NodeServices &Services, LastHop *LocalHop)
    : Impl_(std::make_unique<Impl>(Services, LocalHop)) {}

Entry::~Entry() = default;

bool Entry::serveCaller(HttpConnection &From, const HTTPRequest &Request,
                        const Framing &Framing) {
  const auto Start = Clock::now();
  RequestBody Body(From, Framing);
  Reply To = makeReply(From, Request, Impl_->Services.Settings->Id);
  CallContext Call;
  AttemptResult Result;
  try {
    Call = readContext(Request, steadyNow(), MaxCallDuration);
    Impl_->initializeCall(Call, From);
    std::optional<Exchange> NoExchange;
    Result = guardAttempt(NoExchange, Call.Deadline, [&] {
      return Impl_->serve(Call, Request, Body, To);
    });
  } catch (const BadMessage &Error) {
    Call.Caller = CallerId(From.peerAddress());
    Result = refused(RefusalReason::BadRequest, Executed::No, Error.what());
  }
  const bool KeepOpen = Impl_->finishRequest(Call, Body, To, Result, true);
  Impl_->Services.Metrics->Record(
      {metrics::Hop::Entry, Call.Caller, Call.Class, elapsedSince(Start),
       std::chrono::microseconds(0), Body.received(), Result.ResponseBytes});
  return KeepOpen;
}

bool Entry::serveNode(HttpConnection &From, const HTTPRequest &Request,
                      const Framing &Framing) {
  RequestBody Body(From, Framing);
  Reply To = makeReply(From, Request, Impl_->Services.Settings->Id);
  CallContext Call;
  AttemptResult Result;
  try {
    Call = readContext(Request, steadyNow(), MaxCallDuration);
    std::optional<Exchange> NoExchange;
    Result = guardAttempt(NoExchange, Call.Deadline, [&] {
      return Impl_->serveLocally(Call, Request, Body, To);
    });
  } catch (const BadMessage &Error) {
    Result = refused(RefusalReason::BadRequest, Executed::No, Error.what());
  }
  return Impl_->finishRequest(Call, Body, To, Result, false);
}

void Entry::refuseInvalid(HttpConnection &From, RefusalReason Reason,
                          bool IsFromCaller) {
  CallContext Call;
  Call.Caller = CallerId(From.peerAddress());
  Reply To{From, "GET", false, false, Impl_->Services.Settings->Id, false};
  RequestBody Body(From, {});
  AttemptResult Result = refused(Reason, Executed::No, "not a valid request");
  Impl_->finishRequest(Call, Body, To, Result, IsFromCaller);
  From.shutdownGracefully();
}

} // namespace lycheethread::proxy
