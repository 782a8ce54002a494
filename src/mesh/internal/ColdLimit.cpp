#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

constexpr double MillisecondsPerSecond = 1000;
/// The window of the bound. Times have a resolution of 1 ms, so a request that
/// was sent this long ago may still be within the second.
constexpr Milliseconds Window{1001};
/// Half of what the bound allows beyond the rate is left to requests that are
/// delayed on the way and reach the upstream in the next second.
constexpr double UsedExcess = 0.5;
/// Permits that may be saved for a burst.
constexpr double MostSaved = 2;
constexpr double SavedSlackShare = 0.25;
/// Check-ins may arrive this late. After a refused connection, the return of
/// the zone or a health check, one of the same process is believed only if it
/// was received later than that; the check-in of a new process is believed at
/// once.
constexpr Milliseconds LatestCheckIn{3000};

double permitsPerMs(const ColdLimit &Limit) {
  return *Limit.PerSecond / MillisecondsPerSecond;
}

Milliseconds timeForPermits(const ColdLimit &Limit, double Permits) {
  // A rate may be so small that the time does not fit 64 bits.
  constexpr double LongestMs = 1e12;
  return Milliseconds(static_cast<std::int64_t>(
      std::min(LongestMs, std::ceil(Permits / permitsPerMs(Limit)))));
}

double mostSaved(const ColdLimit &Limit) {
  return std::clamp(Limit.Slack * SavedSlackShare, 1.0, MostSaved);
}

double permitsAt(const ColdLimit &Limit, SteadyTime Now) {
  const auto Since = static_cast<double>(
      std::max<std::int64_t>(0, elapsed(Limit.RefilledAt, Now).count()));
  return std::min(mostSaved(Limit),
                  Limit.Permits + Since * permitsPerMs(Limit));
}

/// Returns how many requests may be sent in any second.
std::int64_t mostInWindow(const ColdLimit &Limit) {
  const double Most =
      *Limit.PerSecond * (1 + (Limit.Overage - 1) * UsedExcess) +
      Limit.Slack * UsedExcess;
  // An upstream that gets nothing could not be seen to work.
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(Most));
}

/// Returns the time until \p Count more requests fit in the last second.
Milliseconds windowDelay(const ColdLimit &Limit, std::int64_t Count,
                         SteadyTime Now) {
  const auto First = std::upper_bound(Limit.Sent.begin(), Limit.Sent.end(),
                                      after(Now, -Window));
  const std::int64_t InWindow = Limit.Sent.end() - First;
  const std::int64_t Excess = InWindow + Count - mostInWindow(Limit);
  if (Excess <= 0 || InWindow == 0)
    return Milliseconds(0);
  const SteadyTime LastToLeave = First[std::min(Excess, InWindow) - 1];
  return elapsed(Now, after(LastToLeave, Window));
}

/// To be called before a change that may start the limit.
void startIfUnlimited(ColdLimit &Limit, SteadyTime Now) {
  if (isLimited(Limit, Now))
    return;
  Limit.Permits = 1;
  Limit.RefilledAt = Now;
}

/// Returns the end of the cold time that an upstream states. That of an earlier
/// one stays known: requests that were sent before are not answered as usual.
SteadyTime coldEnd(const ColdLimit &Limit, Milliseconds Remaining,
                   SteadyTime Now) {
  return Remaining > Milliseconds(0) ? after(Now, Remaining)
                                     : std::min(Limit.ColdUntil, Now);
}

void setUnsure(ColdLimit &Limit, Milliseconds Untrusted, SteadyTime Now) {
  startIfUnlimited(Limit, Now);
  Limit.IsUnsure = true;
  Limit.UnsureSince = Now;
  Limit.TrustedFrom = std::max(Limit.TrustedFrom, after(Now, Untrusted));
}

} // namespace

bool isColdLimited(const ColdLimit &Limit, SteadyTime Now) {
  return Limit.PerSecond && (Limit.IsUnsure || Now < Limit.ColdUntil);
}

bool isLimited(const ColdLimit &Limit, SteadyTime Now) {
  return isColdLimited(Limit, Now) || (Limit.PerSecond && Limit.CheckEnd);
}

void setColdRate(ColdLimit &Limit, std::optional<double> PerSecond,
                 const MeshBounds &Bounds, SteadyTime Now) {
  Limit.Overage = std::max(1.0, Bounds.ColdOverage);
  Limit.Slack = std::max(0.0, Bounds.ColdSlack);
  if (Limit.PerSecond == PerSecond)
    return;
  startIfUnlimited(Limit, Now);
  if (isLimited(Limit, Now)) {
    Limit.Permits = permitsAt(Limit, Now);
    Limit.RefilledAt = Now;
  }
  Limit.PerSecond = PerSecond;
  if (!PerSecond)
    Limit.Sent.clear();
}

void recordColdCheckIn(ColdLimit &Limit, Milliseconds ColdRemaining,
                       bool IsNewProcess, SteadyTime Now) {
  startIfUnlimited(Limit, Now);
  const SteadyTime Stated = coldEnd(Limit, ColdRemaining, Now);
  const bool IsTrusted = IsNewProcess || Now >= Limit.TrustedFrom;
  // One that may be older than the health check can only make the time longer.
  Limit.ColdUntil = IsTrusted ? Stated : std::max(Limit.ColdUntil, Stated);
  if (IsTrusted)
    Limit.IsUnsure = false;
  if (!IsNewProcess)
    return;
  Limit.TrustedFrom = SteadyTime();
  Limit.CheckEnd.reset();
}

void recordConnectionLoss(ColdLimit &Limit, ConnectionLoss Kind,
                          SteadyTime Now) {
  const Milliseconds Untrusted =
      Kind == ConnectionLoss::Refused ? LatestCheckIn : Milliseconds(0);
  setUnsure(Limit, Untrusted, Now);
}

void recordZoneReturn(ColdLimit &Limit, SteadyTime Now) {
  setUnsure(Limit, LatestCheckIn, Now);
}

void startHealthCheck(ColdLimit &Limit, SteadyTime Now) {
  startIfUnlimited(Limit, Now);
  Limit.CheckEnd = after(Now, HealthCheckTimeout);
  recordColdSend(Limit, Now);
}

void recordHealthAnswer(ColdLimit &Limit, const HealthAnswer &Answer,
                        SteadyTime Now) {
  if (!Limit.CheckEnd)
    return;
  const SteadyTime SentAt = after(*Limit.CheckEnd, -HealthCheckTimeout);
  if (Answer.Result == HealthAnswer::Kind::Answered) {
    Limit.ColdUntil = coldEnd(Limit, Answer.ColdFor, Now);
    // After a later loss, the answer may be that of an earlier process.
    if (Limit.UnsureSince <= SentAt)
      Limit.IsUnsure = false;
    if (Answer.ColdFor > Milliseconds(0))
      Limit.TrustedFrom =
          std::max(Limit.TrustedFrom, after(SentAt, LatestCheckIn));
  } else {
    const bool IsRefused =
        Answer.Result == HealthAnswer::Kind::ConnectionRefused;
    setUnsure(Limit, IsRefused ? LatestCheckIn : Milliseconds(0), Now);
  }
  Limit.CheckEnd.reset();
}

Milliseconds coldDelay(const ColdLimit &Limit, std::int64_t Ahead,
                       SteadyTime Now) {
  if (!isLimited(Limit, Now))
    return Milliseconds(0);
  // While it is only being checked, the upstream is probably warm: the requests
  // that it was sent as a warm one do not count.
  const bool IsCold = isColdLimited(Limit, Now);
  Milliseconds Delay =
      IsCold ? windowDelay(Limit, Ahead + 1, Now) : Milliseconds(0);
  const double Missing = static_cast<double>(Ahead) + 1 - permitsAt(Limit, Now);
  if (Missing > 0)
    Delay = std::max(Delay, timeForPermits(Limit, Missing));
  if (!IsCold)
    return std::min(Delay,
                    std::max(Milliseconds(1), elapsed(Now, *Limit.CheckEnd)));
  // The limit ends with the cold time.
  return Limit.IsUnsure ? Delay
                        : std::min(Delay, elapsed(Now, Limit.ColdUntil));
}

void takeColdPermit(ColdLimit &Limit, SteadyTime Now) {
  if (!isLimited(Limit, Now))
    return;
  Limit.Permits = std::max(0.0, permitsAt(Limit, Now) - 1);
  Limit.RefilledAt = Now;
}

Milliseconds coldSendDelay(const ColdLimit &Limit, SteadyTime Now) {
  return isColdLimited(Limit, Now) ? windowDelay(Limit, 1, Now)
                                   : Milliseconds(0);
}

void recordColdSend(ColdLimit &Limit, SteadyTime Now) {
  if (!Limit.PerSecond)
    return;
  while (!Limit.Sent.empty() && elapsed(Limit.Sent.front(), Now) >= Window)
    Limit.Sent.pop_front();
  Limit.Sent.push_back(Now);
}

} // namespace lycheethread::mesh
