#include "LoadRun.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <thread>

namespace lycheethread::load {

namespace {

using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr int FirstError = 400;

/// One keep-alive connection to one target.
class Caller {
public:
  Caller(const LoadPlan &Plan, const std::string &Target)
      : Plan_(Plan), Address_(Target) {}

  /// Empty for a good answer, else the reason.
  std::string call(Clock::time_point Due) {
    try {
      return exchange(Due);
    } catch (const Poco::Exception &Error) {
      Session_.reset();
      return Error.name();
    }
  }

  bool isLate(double Ms) const {
    return Plan_.DeadlineMs > 0 && Ms > Plan_.DeadlineMs;
  }

private:
  void connect() {
    Session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        Address_.host().toString(), Address_.port());
    Session_->setKeepAlive(true);
    Session_->setTimeout(
        Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(Plan_.TimeoutMs) *
                       Poco::Timespan::MILLISECONDS));
  }

  /// The deadline counts from the time when the call was due, also when the
  /// connection was still busy then.
  bool setDeadline(HTTPRequest &Request, Clock::time_point Due) const {
    const auto Waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - Due);
    const auto Left = Plan_.DeadlineMs - Waited.count();
    Request.set("lt-deadline-ms", std::to_string(Left));
    return Left > 0;
  }

  std::string exchange(Clock::time_point Due) {
    const bool Fresh = !Session_;
    if (Fresh)
      connect();
    HTTPRequest Request(HTTPRequest::HTTP_GET, Plan_.Path,
                        HTTPRequest::HTTP_1_1);
    Request.setHost(Plan_.Host);
    Request.set("lt-caller", Plan_.Caller);
    if (Plan_.DeadlineMs > 0 && !setDeadline(Request, Due))
      return "late before sending";
    Session_->sendRequest(Request);
    if (Fresh)
      Session_->socket().setNoDelay(true);
    HTTPResponse Response;
    Poco::NullOutputStream Null;
    Poco::StreamCopier::copyStream(Session_->receiveResponse(Response), Null);
    if (!Response.getKeepAlive())
      Session_.reset();
    if (Response.getStatus() < FirstError)
      return "";
    return Response.get("lt-reason", std::to_string(Response.getStatus()));
  }

  const LoadPlan &Plan_;
  Poco::Net::SocketAddress Address_;
  std::unique_ptr<Poco::Net::HTTPClientSession> Session_;
};

void count(LoadResult &Result, Caller &From, Clock::time_point Due) {
  std::string Error = From.call(Due);
  const std::chrono::duration<double, std::milli> Took = Clock::now() - Due;
  if (Error.empty() && From.isLate(Took.count()))
    Error = "late";
  ++Result.Sent;
  if (!Error.empty()) {
    ++Result.Errors[Error];
    return;
  }
  ++Result.Good;
  Result.LatencyMs.push_back(Took.count());
}

/// In random order, since the second call finds warmer caches, and both timed
/// from their own start.
void countBoth(LoadResults &Results, Caller &To, Caller &Other,
               bool TargetFirst) {
  if (TargetFirst)
    count(Results.Target, To, Clock::now());
  count(Results.Compare, Other, Clock::now());
  if (!TargetFirst)
    count(Results.Target, To, Clock::now());
}

LoadResults runConnection(const LoadPlan &Plan, int Index) {
  LoadResults Results;
  Caller To(Plan, Plan.Target);
  std::unique_ptr<Caller> Other;
  if (!Plan.Compare.empty())
    Other = std::make_unique<Caller>(Plan, Plan.Compare);
  for (int I = 0; I < Plan.Warmup; ++I) {
    To.call(Clock::now());
    if (Other)
      Other->call(Clock::now());
  }
  std::mt19937_64 Random(Plan.Seed + static_cast<std::uint64_t>(Index));
  std::exponential_distribution<double> Gap(
      Plan.Rate > 0 ? Plan.Rate / Plan.Connections : 1);
  const auto End = Clock::now() + std::chrono::seconds(Plan.Seconds);
  auto Due = Clock::now();
  while (Due < End) {
    if (Plan.Rate > 0) {
      Due += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(Gap(Random)));
      if (Due >= End)
        break;
      std::this_thread::sleep_until(Due);
    } else {
      Due = Clock::now();
    }
    if (Other)
      countBoth(Results, To, *Other, Random() % 2 == 0);
    else
      count(Results.Target, To, Due);
  }
  return Results;
}

void merge(LoadResult &Into, const LoadResult &From) {
  Into.Sent += From.Sent;
  Into.Good += From.Good;
  for (const auto &[Reason, Count] : From.Errors)
    Into.Errors[Reason] += Count;
  Into.LatencyMs.insert(Into.LatencyMs.end(), From.LatencyMs.begin(),
                        From.LatencyMs.end());
}

} // namespace

LoadResults runLoad(const LoadPlan &Plan) {
  std::vector<LoadResults> Parts(static_cast<std::size_t>(Plan.Connections));
  std::vector<std::thread> Threads;
  Threads.reserve(Parts.size());
  for (int I = 0; I < Plan.Connections; ++I)
    Threads.emplace_back([&Plan, &Parts, I] {
      Parts[static_cast<std::size_t>(I)] = runConnection(Plan, I);
    });
  for (std::thread &Each : Threads)
    Each.join();
  LoadResults Sum;
  for (const LoadResults &Part : Parts) {
    merge(Sum.Target, Part.Target);
    merge(Sum.Compare, Part.Compare);
  }
  std::sort(Sum.Target.LatencyMs.begin(), Sum.Target.LatencyMs.end());
  std::sort(Sum.Compare.LatencyMs.begin(), Sum.Compare.LatencyMs.end());
  return Sum;
}

double quantile(const LoadResult &Result, double Fraction) {
  if (Result.LatencyMs.empty())
    return 0;
  const auto Last = static_cast<double>(Result.LatencyMs.size() - 1);
  return Result.LatencyMs[static_cast<std::size_t>(Last * Fraction)];
}

} // namespace lycheethread::load
