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

/// For requests without deadline and route.
constexpr Milliseconds LongestCall{600000};
/// How long the entry waits beyond the deadline for the last hop's own
/// refusal, which says more precisely whether the request ran.
constexpr Milliseconds RefusalGrace{20};
constexpr std::size_t MaxRefusalId = 128;

bool wantsContinue(const HTTPRequest &Request) {
  return Poco::icompare(Request.get("Expect", ""), "100-continue") == 0;
}

std::string safeId(const std::string &Text) {
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

/// Whether \p Answer is a refusal of the last hop of this very call. One of a
/// call further down the chain carries its own, greater depth.
bool isOwnRefusal(const HTTPResponse &Answer, const CallContext &Call) {
  int Depth = 0;
  return Answer.has(headers::RefusalIdName) &&
         Poco::NumberParser::tryParse(Answer.get(headers::DepthName, ""),
                                      Depth) &&
         Depth == Call.Depth;
}

AttemptResult readRefusal(Exchange &Out, SteadyTime Deadline) {
  const HTTPResponse &Answer = Out.answer();
  AttemptResult Result =
      refused(parseRefusalReason(Answer.get(headers::ReasonName, ""))
                  .value_or(RefusalReason::UpstreamFailed),
              parseExecuted(Answer.get(headers::ExecutedName, ""))
                  .value_or(Executed::Unknown),
              "refused by the last hop");
  Result.Id = RefusalId(safeId(Answer.get(headers::RefusalIdName)));
  const std::string Upstream = Answer.get(headers::UpstreamName, "");
  if (Upstream == "crashed")
    Result.Fault = UpstreamFailure::Crashed;
  else if (Upstream == "no-connection")
    Result.Fault = UpstreamFailure::NoConnection;
  std::array<char, 1024> Waste{};
  while (Out.body().read(Waste.data(), Waste.size(), Deadline) > 0) {
  }
  Out.finish();
  return Result;
}

std::chrono::microseconds since(Clock::time_point Start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                               Start);
}

Reply makeReply(HttpConnection &To, const HTTPRequest &Request,
                const NodeId &Node) {
  return {To,
          Request.getMethod(),
          Request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0,
          Request.getKeepAlive(),
          Node,
          false};
}

} // namespace

struct Entry::Impl {
  NodeServices Services;
  LastHop *Own = nullptr;
  Balancer Choice;
  ConnectionPool Pool;
  std::string IdPrefix;
  std::atomic<std::int64_t> LastId{0};

  Impl(const NodeServices &Used, LastHop *OwnHop)
      : Services(Used), Own(OwnHop), Choice(Used.StoppedMoves) {
    std::random_device Random;
    IdPrefix = safeId(Used.Settings->Id.str()) + "-" +
               Poco::format("%08x%08x", static_cast<unsigned>(Random()),
                            static_cast<unsigned>(Random())) +
               "-";
  }

  std::string nextId() { return IdPrefix + std::to_string(++LastId); }

  AttemptResult viaNode(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To, const Member &Target) {
    std::optional<Exchange> Out;
    return guardAttempt(Out, Call.Deadline, [&] {
      Out.emplace(Pool, Target.Hop, Call.Deadline);
      HTTPRequest Onward = makeForwardedRequest(Request, Call);
      const SteadyTime Limit = after(Call.Deadline, RefusalGrace);
      Out->run(Onward, Body, true, Limit);
      if (isOwnRefusal(Out->answer(), Call))
        return readRefusal(*Out, after(Limit, RefusalGrace));
      To.KeepAlive = To.KeepAlive && Body.isComplete();
      return relayAnswer(*Out, To, Call.Match.Found->Timeout, nullptr);
    });
  }

  AttemptResult attempt(const CallContext &Call, const HTTPRequest &Request,
                        RequestBody &Body, Reply &To,
                        const requests::Selection &Chosen) {
    const auto Start = Clock::now();
    const bool IsOwn =
        Own != nullptr && Chosen.Target.Id == Services.Settings->Id;
    const AttemptResult Result =
        IsOwn ? Own->run(Call, Request, Body, To, false)
              : viaNode(Call, Request, Body, To, Chosen.Target);
    Choice.done(Chosen.Target.Id, Result);
    const bool Counts =
        Result.End == AttemptEnd::Delivered ||
        (Result.End != AttemptEnd::CallerClosed && isUpstreamFailure(Result));
    if (Counts)
      Services.EntryOutcomes->Add({Call.service(), Call.Match.Found->Group,
                                   Call.route(), Chosen.Version,
                                   isUpstreamFailure(Result), since(Start)});
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
    return Choice.mayRetry(Call, Failed);
  }

  AttemptResult tryUpstreams(CallContext &Call, const HTTPRequest &Request,
                             RequestBody &Body, Reply &To) {
    std::set<NodeId> Excluded;
    AttemptResult Last = refused(RefusalReason::NoUpstream, Executed::No,
                                 "no upstream is ready");
    Executed Before = Executed::No;
    for (;;) {
      const auto Chosen = Choice.select(Call, Excluded);
      if (!Chosen)
        break;
      Last = attempt(Call, Request, Body, To, *Chosen);
      if (!mayRetry(Call, Body, Last))
        break;
      if (Last.ExecutionStatus != Executed::No)
        Before = Last.ExecutionStatus;
      Excluded.insert(Chosen->Target.Id);
      ++Call.Attempt;
    }
    // "Not executed" must hold for all attempts together.
    if (Last.End == AttemptEnd::Refused && Last.ExecutionStatus == Executed::No)
      Last.ExecutionStatus = Before;
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
                     "too many calls in a chain");
    if (timeLeft(Call.Deadline) <= Milliseconds(0))
      return refused(RefusalReason::Deadline, Executed::No,
                     "the deadline has passed");
    Body.limit(bodyLimit(Call));
    if (wantsContinue(Request) && !Body.isComplete())
      writeContinue(To.To, Call.Deadline);
    Body.bufferFirstPart(Call.Deadline);
    Choice.recordOriginal(Call);
    return tryUpstreams(Call, Request, Body, To);
  }

  void account(const CallContext &Call, const AttemptResult &Result) {
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

  /// Writes a refusal, if it is one, and tells whether the connection may be
  /// used again.
  bool conclude(const CallContext &Call, RequestBody &Body, Reply &To,
                AttemptResult &Result, bool CallersSide) {
    if (Result.End == AttemptEnd::Delivered)
      return To.KeepAlive && Body.isComplete();
    if (Result.End != AttemptEnd::Refused)
      return false;
    if (Result.Id.empty())
      Result.Id = RefusalId(nextId());
    if (CallersSide)
      account(Call, Result);
    To.KeepAlive = To.KeepAlive && Body.isComplete();
    try {
      writeRefusal(To, Call, Result);
    } catch (const CallerDisconnected &) {
      return false;
    }
    if (!Body.isComplete())
      To.To.shutdownGracefully();
    return To.KeepAlive;
  }

  void prepareCaller(CallContext &Call, HttpConnection &From) {
    if (Call.Id.empty())
      Call.Id = RequestId(nextId());
    if (Call.Caller.empty())
      Call.Caller = CallerId(From.peerAddress());
    ++Call.Depth;
  }

  AttemptResult serveHere(CallContext &Call, const HTTPRequest &Request,
                          RequestBody &Body, Reply &To) {
    auto View = Services.View->load();
    if (!View || Own == nullptr)
      return refused(RefusalReason::NotReady, Executed::No,
                     "no configuration in force");
    applyRoute(Call, Request, std::move(View));
    if (Call.Match.Found == nullptr ||
        Call.service() != Services.Settings->Service)
      return refused(RefusalReason::NoRoute, Executed::No, "no such route");
    Call.Class = parseRequestClass(Request.get(headers::ClassName, ""))
                     .value_or(Call.Class);
    Body.limit(bodyLimit(Call));
    return Own->run(Call, Request, Body, To,
                    wantsContinue(Request) && !Body.isComplete());
  }
};

Entry::Entry(const NodeServices &Services, LastHop *Own)
    : Impl_(std::make_unique<Impl>(Services, Own)) {}

Entry::~Entry() = default;

bool Entry::serveCaller(HttpConnection &From, const HTTPRequest &Request,
                        const Framing &Framing) {
  const auto Start = Clock::now();
  RequestBody Body(From, Framing);
  Reply To = makeReply(From, Request, Impl_->Services.Settings->Id);
  CallContext Call;
  AttemptResult Result;
  try {
    Call = readContext(Request, steadyNow(), LongestCall);
    Impl_->prepareCaller(Call, From);
    std::optional<Exchange> NotYet;
    Result = guardAttempt(NotYet, Call.Deadline, [&] {
      return Impl_->serve(Call, Request, Body, To);
    });
  } catch (const BadMessage &Error) {
    Call.Caller = CallerId(From.peerAddress());
    Result = refused(RefusalReason::BadRequest, Executed::No, Error.what());
  }
  const bool Keep = Impl_->conclude(Call, Body, To, Result, true);
  Impl_->Services.Metrics->Record({metrics::Hop::Entry, Call.Caller, Call.Class,
                                   since(Start), std::chrono::microseconds(0),
                                   Body.received(), Result.AnswerBytes});
  return Keep;
}

bool Entry::serveNode(HttpConnection &From, const HTTPRequest &Request,
                      const Framing &Framing) {
  RequestBody Body(From, Framing);
  Reply To = makeReply(From, Request, Impl_->Services.Settings->Id);
  CallContext Call;
  AttemptResult Result;
  try {
    Call = readContext(Request, steadyNow(), LongestCall);
    std::optional<Exchange> NotYet;
    Result = guardAttempt(NotYet, Call.Deadline, [&] {
      return Impl_->serveHere(Call, Request, Body, To);
    });
  } catch (const BadMessage &Error) {
    Result = refused(RefusalReason::BadRequest, Executed::No, Error.what());
  }
  return Impl_->conclude(Call, Body, To, Result, false);
}

void Entry::refuseInvalid(HttpConnection &From, RefusalReason Reason,
                          bool CallersSide) {
  CallContext Call;
  Call.Caller = CallerId(From.peerAddress());
  Reply To{From, "GET", false, false, Impl_->Services.Settings->Id, false};
  RequestBody Body(From, {});
  AttemptResult Result = refused(Reason, Executed::No, "not a valid request");
  Impl_->conclude(Call, Body, To, Result, CallersSide);
  From.shutdownGracefully();
}

} // namespace lycheethread::proxy
