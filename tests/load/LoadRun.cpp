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

/// A keep-alive connection to a target.
class Caller {
public:
  Caller(const LoadPlan &Plan, const std::string &Target)
      : Plan_(Plan), Address_(Target) {}

  /// Sends a request; returns an empty string for a good response, else the
  /// reason of the failure.
  std::string call(Clock::time_point DueTime) {
    try {
      return exchange(DueTime);
    } catch (const Poco::Exception &Error) {
      Session_.reset();
      return Error.name();
    }
  }

  bool isLate(double Milliseconds) const {
    return Plan_.DeadlineMs > 0 && Milliseconds > Plan_.DeadlineMs;
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

  /// Sets the time that remains until the deadline, which counts from the time
  /// when the call was due even if the connection was still busy then. Returns
  /// false when no time remains.
  bool setDeadline(HTTPRequest &Request, Clock::time_point DueTime) const {
    const auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - DueTime);
    const auto Remaining = Plan_.DeadlineMs - Elapsed.count();
    Request.set("lt-deadline-ms", std::to_string(Remaining));
    return Remaining > 0;
  }

  std::string exchange(Clock::time_point DueTime) {
    const bool IsNewConnection = !Session_;
    if (IsNewConnection)
      connect();
    HTTPRequest Request(HTTPRequest::HTTP_GET, Plan_.Path,
                        HTTPRequest::HTTP_1_1);
    Request.setHost(Plan_.Host);
    Request.set("lt-caller", Plan_.Caller);
    if (Plan_.DeadlineMs > 0 && !setDeadline(Request, DueTime))
      return "late before sending";
    Session_->sendRequest(Request);
    if (IsNewConnection)
      Session_->socket().setNoDelay(true);
    HTTPResponse Response;
    Poco::NullOutputStream Discarded;
    Poco::StreamCopier::copyStream(Session_->receiveResponse(Response),
                                   Discarded);
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

void measureCall(LoadResult &Result, Caller &Sender,
                 Clock::time_point DueTime) {
  std::string Error = Sender.call(DueTime);
  const std::chrono::duration<double, std::milli> Latency =
      Clock::now() - DueTime;
  if (Error.empty() && Sender.isLate(Latency.count()))
    Error = "late";
  ++Result.Sent;
  if (!Error.empty()) {
    ++Result.Errors[Error];
    return;
  }
  ++Result.Good;
  Result.LatencyMs.push_back(Latency.count());
}

/// Calls both targets, each timed from its own start. The caller chooses the
/// order at random, since the second call finds warmer caches.
void measureBoth(LoadResults &Results, Caller &TargetCaller,
                 Caller &CompareCaller, bool TargetFirst) {
  if (TargetFirst)
    measureCall(Results.Target, TargetCaller, Clock::now());
  measureCall(Results.Compare, CompareCaller, Clock::now());
  if (!TargetFirst)
    measureCall(Results.Target, TargetCaller, Clock::now());
}

LoadResults runConnection(const LoadPlan &Plan, int Index) {
  LoadResults Results;
  Caller TargetCaller(Plan, Plan.Target);
  std::unique_ptr<Caller> CompareCaller;
  if (!Plan.Compare.empty())
    CompareCaller = std::make_unique<Caller>(Plan, Plan.Compare);
  for (int I = 0; I < Plan.Warmup; ++I) {
    TargetCaller.call(Clock::now());
    if (CompareCaller)
      CompareCaller->call(Clock::now());
  }
  std::mt19937_64 Random(Plan.Seed + static_cast<std::uint64_t>(Index));
  std::exponential_distribution<double> Interval(
      Plan.Rate > 0 ? Plan.Rate / Plan.Connections : 1);
  const auto End = Clock::now() + std::chrono::seconds(Plan.Seconds);
  auto DueTime = Clock::now();
  while (DueTime < End) {
    if (Plan.Rate > 0) {
      DueTime += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(Interval(Random)));
      if (DueTime >= End)
        break;
      std::this_thread::sleep_until(DueTime);
    } else {
      DueTime = Clock::now();
    }
    if (CompareCaller)
      measureBoth(Results, TargetCaller, *CompareCaller, Random() % 2 == 0);
    else
      measureCall(Results.Target, TargetCaller, DueTime);
  }
  return Results;
}

void merge(LoadResult &Into, const LoadResult &Source) {
  Into.Sent += Source.Sent;
  Into.Good += Source.Good;
  for (const auto &[Reason, Count] : Source.Errors)
    Into.Errors[Reason] += Count;
  Into.LatencyMs.insert(Into.LatencyMs.end(), Source.LatencyMs.begin(),
                        Source.LatencyMs.end());
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
