#include "configcheck/internal/FindingSink.h"

#include <algorithm>

namespace lycheethread::configcheck {

namespace {

/// More upstreams for one request are rarely meant, and each repeats its load.
constexpr std::int32_t MaxUsualAttempts = 10;
/// A burst that holds less than this part of a second of the rate refuses
/// requests that arrive evenly but for the delays of the network.
constexpr double LeastBurstSeconds = 0.1;

void checkPositive(Milliseconds Time, const Place &At,
                   const FindingSink &Sink) {
  if (Time <= Milliseconds(0))
    Sink.error(At, "is not positive", "0.001 s or more");
}

void checkWeights(const StatedRoute &Rule, const FindingSink &Sink) {
  const auto IsOff = [](const StatedPart &Part) { return Part.Weight == 0; };
  if (Rule.Parts.empty())
    return;
  if (std::all_of(Rule.Parts.begin(), Rule.Parts.end(), IsOff)) {
    Sink.error(Rule.At + ".action.traffic_split", "all weights are 0",
               "a weight above 0");
    return;
  }
  for (const StatedPart &Part : Rule.Parts)
    if (IsOff(Part))
      Sink.warning(Part.At + ".weight",
                   "\"" + Part.Service.str() +
                       "\" gets no requests: its weight is 0",
                   "a weight above 0, or no such part");
}

void checkRoute(const StatedRoute &Rule, const FindingSink &Sink) {
  const Place Action = Rule.At + ".action";
  checkPositive(Rule.Route.Timeout, Action + ".timeout_s", Sink);
  if (Rule.Route.LatencyObjective < Milliseconds(0))
    Sink.error(Rule.At + ".target_latency_s", "is negative",
               "0 or more; 0 for none");
  if (Rule.Route.Timeout > Milliseconds(0) &&
      Rule.Route.Timeout < Rule.Route.LatencyObjective)
    Sink.warning(Action + ".timeout_s",
                 "is below target_latency_s: requests end before their "
                 "objective has passed",
                 "target_latency_s or more");
  if (Rule.Attempts && *Rule.Attempts == 0)
    Sink.warning(Action + ".attempts", "is 0; 1 is used", "1 or more");
  if (Rule.Attempts && *Rule.Attempts > MaxUsualAttempts)
    Sink.warning(Action + ".attempts",
                 "is " + std::to_string(*Rule.Attempts) +
                     ": one request may run on that many upstreams",
                 "1 to " + std::to_string(MaxUsualAttempts));
  checkWeights(Rule, Sink);
}

void checkCallerLimits(const mesh::CallerLimits &Limits,
                       const FindingSink &Sink) {
  checkPositive(Limits.HeadTimeout, "limits.header_timeout_s", Sink);
  checkPositive(Limits.IdleTimeout, "limits.idle_timeout_s", Sink);
  if (Limits.IdleTimeout > Milliseconds(0) &&
      Limits.HeadTimeout > Limits.IdleTimeout)
    Sink.warning("limits.header_timeout_s", "is above idle_timeout_s",
                 "idle_timeout_s or less");
  if (Limits.MaxBodyBytes <= 0)
    Sink.warning("limits.max_body_bytes",
                 "is " + std::to_string(Limits.MaxBodyBytes) +
                     ": every request with a body is refused",
                 "1 or more");
  if (Limits.MaxHeadBytes == 0)
    Sink.warning("limits.max_header_bytes", "is 0: every request is refused",
                 "1 or more");
}

void checkQuota(const StatedOrganisation &Holder, const FindingSink &Sink) {
  if (!Holder.Item.Limit)
    return;
  const organisations::Quota &Limit = *Holder.Item.Limit;
  const Place At = Holder.At + ".burst";
  if (Limit.Burst < 1)
    Sink.warning(At, "is below one request", "1 or more");
  else if (Limit.Burst < Limit.PerSecond * LeastBurstSeconds)
    Sink.warning(At, "is below a tenth of a second of rate_per_s",
                 "rate_per_s / 10 or more");
}

} // namespace

void checkLimits(const StatedConfig &Config, const FindingSink &Sink) {
  checkCallerLimits(Config.Limits, Sink);
  for (const StatedRoute &Rule : Config.Routes)
    checkRoute(Rule, Sink);
  for (const StatedService &Item : Config.Services)
    if (Item.Service.ColdPerSecond && !Item.ColdStart)
      Sink.warning(Item.At + ".cold_per_s",
                   "has no effect without cold_start_s",
                   "cold_per_s together with cold_start_s");
  for (const StatedOrganisation &Holder : Config.Organisations)
    checkQuota(Holder, Sink);
}

} // namespace lycheethread::configcheck
