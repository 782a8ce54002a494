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

void checkWeights(const StatedRoute &Rule, const FieldNames &Names,
                  const FindingSink &Sink) {
  const auto IsOff = [](const StatedPart &Part) { return Part.Weight == 0; };
  if (Rule.Parts.empty())
    return;
  if (std::all_of(Rule.Parts.begin(), Rule.Parts.end(), IsOff)) {
    Sink.error(Rule.At + "." + Names.Parts, "all weights are 0",
               "a weight above 0");
    return;
  }
  for (const StatedPart &Part : Rule.Parts)
    if (IsOff(Part))
      Sink.warning(Part.At + "." + Names.Weight,
                   "\"" + Part.Service.str() +
                       "\" gets no requests: its weight is 0",
                   "a weight above 0, or no such part");
}

void checkRoute(const StatedRoute &Rule, const FieldNames &Names,
                const FindingSink &Sink) {
  const Place Timeout = Rule.At + "." + Names.Timeout;
  const Place Attempts = Rule.At + "." + Names.Attempts;
  checkPositive(Rule.Route.Timeout, Timeout, Sink);
  if (Rule.Route.LatencyObjective < Milliseconds(0))
    Sink.error(Rule.At + "." + Names.Objective, "is negative",
               "0 or more; 0 for none");
  if (Rule.Route.Timeout > Milliseconds(0) &&
      Rule.Route.Timeout < Rule.Route.LatencyObjective)
    Sink.warning(Timeout,
                 "is below " + Names.Objective +
                     ": requests end before their objective has passed",
                 Names.Objective + " or more");
  if (Rule.Attempts && *Rule.Attempts == 0)
    Sink.warning(Attempts, "is 0; 1 is used", "1 or more");
  if (Rule.Attempts && *Rule.Attempts > MaxUsualAttempts)
    Sink.warning(Attempts,
                 "is " + std::to_string(*Rule.Attempts) +
                     ": one request may run on that many upstreams",
                 "1 to " + std::to_string(MaxUsualAttempts));
  checkWeights(Rule, Names, Sink);
}

void checkCallerLimits(const mesh::CallerLimits &Limits,
                       const FieldNames &Names, const FindingSink &Sink) {
  const Place At = Names.Limits + ".";
  checkPositive(Limits.HeadTimeout, At + Names.HeadTimeout, Sink);
  checkPositive(Limits.IdleTimeout, At + Names.IdleTimeout, Sink);
  if (Limits.IdleTimeout > Milliseconds(0) &&
      Limits.HeadTimeout > Limits.IdleTimeout)
    Sink.warning(At + Names.HeadTimeout, "is above " + Names.IdleTimeout,
                 Names.IdleTimeout + " or less");
  if (Limits.MaxBodyBytes <= 0)
    Sink.warning(At + Names.MaxBodyBytes,
                 "is " + std::to_string(Limits.MaxBodyBytes) +
                     ": every request with a body is refused",
                 "1 or more");
  if (Limits.MaxHeadBytes == 0)
    Sink.warning(At + Names.MaxHeadBytes, "is 0: every request is refused",
                 "1 or more");
}

void checkQuota(const StatedOrganisation &Holder, const FieldNames &Names,
                const FindingSink &Sink) {
  if (!Holder.Item.Limit)
    return;
  const organisations::Quota &Limit = *Holder.Item.Limit;
  const Place At = Holder.At + "." + Names.Burst;
  if (Limit.Burst < 1)
    Sink.warning(At, "is below one request", "1 or more");
  else if (Limit.Burst < Limit.PerSecond * LeastBurstSeconds)
    Sink.warning(At, "is below a tenth of a second of " + Names.Rate,
                 Names.Rate + " / 10 or more");
}

} // namespace

void checkLimits(const StatedConfig &Config, const FindingSink &Sink) {
  const FieldNames &Names = Config.Names;
  checkCallerLimits(Config.Limits, Names, Sink);
  for (const StatedRoute &Rule : Config.Routes)
    checkRoute(Rule, Names, Sink);
  for (const StatedService &Item : Config.Services)
    if (Item.Service.ColdPerSecond && !Item.ColdStart)
      Sink.warning(Item.At + "." + Names.ColdRate,
                   "has no effect without " + Names.ColdTime,
                   Names.ColdRate + " together with " + Names.ColdTime);
  for (const StatedOrganisation &Holder : Config.Organisations)
    checkQuota(Holder, Names, Sink);
}

} // namespace lycheethread::configcheck
