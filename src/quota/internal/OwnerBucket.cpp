#include "quota/Quota.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::quota {

namespace {

constexpr double MillisecondsPerSecond = 1000;
/// The time for which nodes may disagree on who the owner is: a changed state
/// has reached all within about 300 ms, and owners are looked up every 400 ms.
/// A new owner grants nothing before, since the earlier one may still do so.
constexpr Milliseconds TakeoverDelay{700};
/// A bucket that was not refilled for longer starts empty.
constexpr Milliseconds MaxRefillGap{1000};
/// Rise of the fraction per second: after a partition has healed, the owner of
/// the other side grants for about a second more.
constexpr double FractionRise = 0.25;
/// Time constant of the demand. After a partition, the share of the entries
/// that were cut off stays reserved for about as long.
constexpr double DemandDecayMs = 2000;
constexpr Milliseconds MaxShareTime{1000};
/// Entries that have not asked for this long are forgotten.
constexpr Milliseconds EntryTimeout{20000};
constexpr std::size_t MinEntriesToSweep = 64;
/// Numbers of one process grow by one; another process starts at random.
constexpr std::int64_t MaxLateNumbers = 1LL << 20;
constexpr Milliseconds MaxRetryDelay{2000};
/// Entries ask at most this often when they want far more than comes in. Most
/// answers would bring nothing, and each costs the owner a datagram.
constexpr Milliseconds OverloadRetryDelay{250};
constexpr double OverloadFactor = 1.5;

double seconds(Milliseconds Length) {
  return static_cast<double>(Length.count()) / MillisecondsPerSecond;
}

double decay(SteadyTime From, SteadyTime To) {
  return std::exp(-static_cast<double>(elapsed(From, To).count()) /
                  DemandDecayMs);
}

double capacityOf(const OwnerBucket &Bucket,
                  const organisations::Quota &Limit) {
  return std::max(1.0, Limit.Burst * Bucket.Fraction);
}

void removeOldEntries(OwnerBucket &Bucket, SteadyTime Now) {
  for (auto It = Bucket.Entries.begin(); It != Bucket.Entries.end();) {
    if (elapsed(It->second.AskedAt, Now) > EntryTimeout)
      It = Bucket.Entries.erase(It);
    else
      ++It;
  }
}

/// Returns the permits that come in while the demand decays.
double supplyOf(const OwnerBucket &Bucket, const organisations::Quota &Limit) {
  return Limit.PerSecond * Bucket.Fraction * DemandDecayMs /
         MillisecondsPerSecond;
}

/// Whether the entries have recently asked for more than comes in and the
/// bucket is not well filled. The few requests of a small organisation often
/// come together; they need not be shared out while there are permits for all.
bool isScarce(const OwnerBucket &Bucket, const organisations::Quota &Limit) {
  return Bucket.Demand > supplyOf(Bucket, Limit) &&
         Bucket.Tokens < capacityOf(Bucket, Limit) / 2;
}

/// Returns how many tokens the entry may have. When they are scarce, these are
/// its part of those there or, if more, of those that came in since its last
/// ask. Some are left for the other entries, or one that asks for many would
/// often leave none.
double shareOf(const OwnerBucket &Bucket, const EntryDemand &Entry,
               const organisations::Quota &Limit, Milliseconds SinceLastAsk) {
  constexpr double MinOthersPart = 0.01;
  constexpr double PlentyPart = 0.5;
  const double There = std::floor(std::max(0.0, Bucket.Tokens));
  const double Part =
      Bucket.Demand > 0 ? std::min(1.0, Entry.Recent / Bucket.Demand) : 1.0;
  const double Earned = Limit.PerSecond * Bucket.Fraction *
                        seconds(std::min(SinceLastAsk, MaxShareTime));
  double Share = Part * std::max(Bucket.Tokens, Earned);
  if (!isScarce(Bucket, Limit))
    Share = std::max(Share, There * PlentyPart);
  const double Left = Part < 1 - MinOthersPart ? 1 : 0;
  return std::max(std::min(1.0, There),
                  std::floor(std::min(Share, There - Left)));
}

Milliseconds retryDelay(const OwnerBucket &Bucket,
                        const organisations::Quota &Limit, SteadyTime Now) {
  const double Rate = Limit.PerSecond * Bucket.Fraction;
  if (Rate <= 0)
    return MinRetryDelay;
  const double Missing = std::max(0.0, 1 - Bucket.Tokens);
  const Milliseconds Takeover = std::max(
      Milliseconds(0), TakeoverDelay - elapsed(*Bucket.StartedAt, Now));
  const auto Delay =
      Takeover + Milliseconds(static_cast<std::int64_t>(
                     std::min(Missing / Rate * MillisecondsPerSecond,
                              static_cast<double>(MaxRetryDelay.count()))));
  const bool IsOverload =
      Bucket.Demand > OverloadFactor * supplyOf(Bucket, Limit);
  return std::max(IsOverload ? OverloadRetryDelay : MinRetryDelay, Delay);
}

} // namespace

QuotaTimes quotaTimes(Milliseconds Window, double Overage, std::size_t Nodes) {
  // Permits granted in the window before may be used in this one, so that
  // burst + rate x (window + lifetime) is the most that can run. This is within
  // the bound if the lifetime is at most window x overage.
  constexpr Milliseconds MinLifetime{200};
  constexpr Milliseconds MaxLifetime{1000};
  // Among many nodes, loads that are passed on arrive less often: the 99th
  // percentile of their age is 3.4 s at 84 nodes, 14 s at 300 and 16 s at 1,000
  // (lychee-gossip).
  constexpr Milliseconds HeardWindowPerNode{45};
  constexpr std::size_t NodesWithMinWindow = 100;
  constexpr Milliseconds MaxHeardWindow{16000};
  const auto More = static_cast<std::int64_t>(
      Nodes > NodesWithMinWindow ? Nodes - NodesWithMinWindow : 0);
  const auto Allowed = Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Window.count()) * Overage));
  return {std::clamp(Allowed, MinLifetime, MaxLifetime),
          std::min(MaxHeardWindow, MinHeardWindow + HeardWindowPerNode * More)};
}

organisations::Quota ownerLimit(const organisations::Quota &Limit,
                                double Slack) {
  // The rest is left for permits that two owners grant while they change.
  constexpr double SlackPart = 0.5;
  return {Limit.PerSecond, Limit.Burst + std::max(0.0, Slack) * SlackPart};
}

// The most that runs in a window is burst + slack / 2 + rate x (window +
// lifetime) of the earlier owner. What remains of the bound is a tenth of the
// burst and half of the slack; the rest of these is left for the shares that
// entries used without an owner, and for the time in which two owners grant.
double earlyPermits(const organisations::Quota &Limit, double Slack) {
  constexpr double BurstPart = 0.05;
  constexpr double SlackPart = 0.2;
  return Limit.Burst * BurstPart + std::max(0.0, Slack) * SlackPart;
}

void refill(OwnerBucket &Bucket, const organisations::Quota &Limit,
            const Fleet &Nodes, SteadyTime Now) {
  const double Heard = std::min(
      1.0, static_cast<double>(Nodes.Heard) /
               static_cast<double>(std::max<std::size_t>(1, Nodes.Known)));
  const Milliseconds Gap = elapsed(Bucket.RefilledAt, Now);
  if (!Bucket.StartedAt || Gap > MaxRefillGap) {
    const double Early = Bucket.StartedAt ? 0 : Bucket.Early;
    Bucket = {};
    Bucket.Early = Early;
    Bucket.Tokens = Early * Heard;
    Bucket.StartedAt = Now;
    Bucket.RefilledAt = Now;
    Bucket.DemandAt = Now;
    Bucket.Fraction = Heard;
    return;
  }
  const bool Grants = elapsed(*Bucket.StartedAt, Now) > TakeoverDelay;
  // A node that has just started still finds the others.
  const double MaxRise = Grants ? FractionRise * seconds(Gap) : 1.0;
  const double Before = Bucket.Fraction;
  Bucket.Fraction = std::min(Heard, Bucket.Fraction + MaxRise);
  Bucket.RefilledAt = Now;
  if (Grants)
    Bucket.Tokens += Limit.PerSecond * Bucket.Fraction * seconds(Gap);
  else
    Bucket.Tokens += Bucket.Early * std::max(0.0, Bucket.Fraction - Before);
  Bucket.Tokens = std::min(Bucket.Tokens, capacityOf(Bucket, Limit));
}

std::optional<PermitGrant> grant(OwnerBucket &Bucket,
                                 const organisations::Quota &Limit,
                                 const PermitAsk &Ask, SteadyTime Now) {
  if (Bucket.Entries.size() >= MinEntriesToSweep &&
      Bucket.Entries.count(Ask.Entry) == 0)
    removeOldEntries(Bucket, Now);
  const auto [Found, IsNew] = Bucket.Entries.try_emplace(Ask.Entry);
  EntryDemand &Entry = Found->second;
  if (!IsNew) {
    const std::int64_t Behind =
        Entry.LastGrant.Number.value() - Ask.Number.value();
    if (Behind == 0)
      return Entry.LastGrant;
    if (Behind > 0 && Behind < MaxLateNumbers)
      return std::nullopt;
  }
  const std::int32_t Wanted = std::max(0, Ask.Wanted);
  const Milliseconds Since =
      IsNew ? Milliseconds(0) : elapsed(Entry.AskedAt, Now);
  Entry.Recent =
      IsNew ? Wanted : Entry.Recent * decay(Entry.AskedAt, Now) + Wanted;
  Entry.AskedAt = Now;
  Bucket.Demand = Bucket.Demand * decay(Bucket.DemandAt, Now) + Wanted;
  Bucket.DemandAt = Now;

  const double Permits = std::min(shareOf(Bucket, Entry, Limit, Since),
                                  static_cast<double>(Wanted));
  Bucket.Tokens -= Permits;
  PermitGrant Answer{Ask.Number, static_cast<std::int32_t>(Permits), {}};
  if (Answer.Permits < Wanted)
    Answer.RetryDelay = retryDelay(Bucket, Limit, Now);
  Entry.LastGrant = Answer;
  return Answer;
}

} // namespace lycheethread::quota
