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
/// Part of the rate that is kept for returning callers under overload. With the
/// whole rate, each request would be refused once before it is served.
constexpr double OverloadReturnPart = 0.25;
/// No caller is told to come back later: a third of the time left is often
/// less.
constexpr Milliseconds MaxReturnDelay{700};
/// Time constant after which callers that do not come back are forgotten.
constexpr double ExpectedDecayMs = 1500;
/// At most the permits of this time, and this part of the bucket, are kept for
/// them, so that callers that are not recognised or do not come back cost
/// others little.
constexpr double MaxReservedSeconds = 0.4;
constexpr double MaxReservedPart = 0.25;

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

/// Whether the entries have recently asked for far more than comes in.
bool isOverload(const OwnerBucket &Bucket, const organisations::Quota &Limit) {
  return Bucket.Demand > OverloadFactor * supplyOf(Bucket, Limit);
}

/// Returns the permits per second that are kept for returning callers.
double returnRate(const OwnerBucket &Bucket,
                  const organisations::Quota &Limit) {
  return Limit.PerSecond * Bucket.Fraction *
         (isOverload(Bucket, Limit) ? OverloadReturnPart : 1.0);
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
  const double Unreserved = std::max(0.0, Bucket.Tokens - Bucket.Reserved);
  const double There = std::floor(Unreserved);
  const double Part =
      Bucket.Demand > 0 ? std::min(1.0, Entry.Recent / Bucket.Demand) : 1.0;
  const double Earned = Limit.PerSecond * Bucket.Fraction *
                        seconds(std::min(SinceLastAsk, MaxShareTime));
  double Share = Part * std::max(Unreserved, Earned);
  if (!isScarce(Bucket, Limit))
    Share = std::max(Share, There * PlentyPart);
  const double Left = Part < 1 - MinOthersPart ? 1 : 0;
  return std::max(std::min(1.0, There),
                  std::floor(std::min(Share, There - Left)));
}

Milliseconds timeFor(double Permits, double PerSecond) {
  const auto Longest = static_cast<double>(MaxRetryDelay.count());
  if (Permits <= 0)
    return Milliseconds(0);
  if (PerSecond <= 0)
    return MaxRetryDelay;
  return Milliseconds(static_cast<std::int64_t>(
      std::min(Permits / PerSecond * MillisecondsPerSecond, Longest)));
}

/// Returns the time until permits come in; early ones may be there already.
Milliseconds takeoverTime(const OwnerBucket &Bucket, SteadyTime Now) {
  if (Bucket.Tokens >= 1)
    return Milliseconds(0);
  return std::max(Milliseconds(0),
                  TakeoverDelay - elapsed(*Bucket.StartedAt, Now));
}

Milliseconds retryDelay(const OwnerBucket &Bucket,
                        const organisations::Quota &Limit, SteadyTime Now) {
  const Milliseconds Delay =
      takeoverTime(Bucket, Now) +
      timeFor(1 - Bucket.Tokens, Limit.PerSecond * Bucket.Fraction);
  return std::max(
      isOverload(Bucket, Limit) ? OverloadRetryDelay : MinRetryDelay, Delay);
}

/// Tells the entry when up to \p Missing callers may come back. Later ones get
/// later times, since those told before are expected first.
void addPlaces(OwnerBucket &Bucket, const organisations::Quota &Limit,
               std::int32_t Missing, PermitGrant &Answer, SteadyTime Now) {
  const double PerSecond = returnRate(Bucket, Limit);
  // The permits kept for those that are expected already are there, too.
  const double There = std::max(0.0, Bucket.Tokens - Bucket.Reserved);
  const double Ahead = Bucket.Expected - Bucket.Reserved;
  const double Wanted =
      isOverload(Bucket, Limit) ? Ahead + 1 : Ahead + 1 - There;
  Answer.ReturnDelay = std::max(MinRetryDelay, takeoverTime(Bucket, Now) +
                                                   timeFor(Wanted, PerSecond));
  // Entries hold their requests if the next ask is near, and refuse none.
  if (Answer.RetryDelay <= MaxHold || Answer.ReturnDelay > MaxReturnDelay)
    return;
  Answer.PlaceInterval = std::max(Milliseconds(1), timeFor(1, PerSecond));
  const std::int64_t Room =
      1 + (MaxReturnDelay - Answer.ReturnDelay) / Answer.PlaceInterval;
  Answer.Places =
      static_cast<std::int32_t>(std::min<std::int64_t>(Missing, Room));
  Bucket.Expected += Answer.Places;
}

/// Grants permits to \p Returning callers before any others.
double takeReserved(OwnerBucket &Bucket, std::int32_t Returning) {
  const double Permits = std::min(static_cast<double>(Returning),
                                  std::floor(std::max(0.0, Bucket.Tokens)));
  Bucket.Tokens -= Permits;
  Bucket.Reserved = std::max(0.0, Bucket.Reserved - Permits);
  Bucket.Expected = std::max(0.0, Bucket.Expected - Permits);
  return Permits;
}

void refillReserved(OwnerBucket &Bucket, const organisations::Quota &Limit,
                    Milliseconds Gap) {
  Bucket.Expected *=
      std::exp(-static_cast<double>(Gap.count()) / ExpectedDecayMs);
  const double PerSecond = returnRate(Bucket, Limit);
  const double Most = std::min(std::max(1.0, PerSecond * MaxReservedSeconds),
                               capacityOf(Bucket, Limit) * MaxReservedPart);
  Bucket.Reserved = std::min({Bucket.Reserved + PerSecond * seconds(Gap),
                              Bucket.Expected, Bucket.Tokens, Most});
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
  refillReserved(Bucket, Limit, Gap);
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

  const std::int32_t Returning = std::clamp(Ask.Returning, 0, Wanted);
  double Permits = takeReserved(Bucket, Returning);
  const double Others = std::min(shareOf(Bucket, Entry, Limit, Since),
                                 static_cast<double>(Wanted - Returning));
  Bucket.Tokens -= Others;
  Permits += Others;
  PermitGrant Answer{Ask.Number, static_cast<std::int32_t>(Permits)};
  if (Answer.Permits < Wanted) {
    Answer.RetryDelay = retryDelay(Bucket, Limit, Now);
    addPlaces(Bucket, Limit, Wanted - Answer.Permits, Answer, Now);
  }
  Entry.LastGrant = Answer;
  return Answer;
}

} // namespace lycheethread::quota
