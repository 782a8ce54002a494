#include "requests/Requests.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <cmath>

namespace lycheethread::requests {

namespace {

constexpr double MillisecondsPerSecond = 1000;
/// Requests arrive in bursts: permits of this time may be saved.
constexpr Milliseconds BurstTime{250};
/// An upstream that takes nothing still gets a request now and then, since only
/// an answer can tell that its limit has ended.
constexpr Milliseconds LongestInterval{4000};
/// With these factors a share settles where about one request in eight is
/// refused.
constexpr double ShareGrowth = 1.05;
constexpr double ShareReduction = 0.7;

double permitsPerMs(double PerSecond) {
  return std::max(PerSecond / MillisecondsPerSecond,
                  1 / static_cast<double>(LongestInterval.count()));
}

double tokensAt(const RateLimit &Limit, SteadyTime Now) {
  const double PerMs = permitsPerMs(*Limit.PerSecond);
  const double Most =
      std::max(1.0, PerMs * static_cast<double>(BurstTime.count()));
  const auto Since = static_cast<double>(
      std::max<std::int64_t>(0, elapsed(Limit.RefilledAt, Now).count()));
  return std::min(Most, Limit.Tokens + Since * PerMs);
}

double tokensAt(const LimitShare &Share, SteadyTime Now) {
  const auto Since = static_cast<double>(
      std::max<std::int64_t>(0, elapsed(Share.RefilledAt, Now).count()));
  return std::min(1.0, Share.Tokens +
                           Since * Share.PerSecond / MillisecondsPerSecond);
}

void setLimit(RateLimit &Limit, double PerSecond, SteadyTime Now) {
  if (Limit.PerSecond)
    Limit.Tokens = tokensAt(Limit, Now);
  else
    Limit.Tokens = 1;
  Limit.RefilledAt = Now;
  Limit.PerSecond = PerSecond;
}

} // namespace

std::optional<double> parseRate(const std::string &Text) {
  double Rate = 0;
  if (!Poco::NumberParser::tryParseFloat(Text, Rate) || !std::isfinite(Rate) ||
      Rate < 0)
    return std::nullopt;
  return Rate;
}

void recordStatedLimit(RateLimit &Limit, std::optional<double> PerSecond,
                       SteadyTime SentAt, SteadyTime Now) {
  if (PerSecond) {
    setLimit(Limit, *PerSecond, Now);
    Limit.StatedAt = Now;
    return;
  }
  // Answers on several connections may overtake each other.
  if (Limit.PerSecond && SentAt >= Limit.StatedAt)
    Limit = {};
}

void restoreLimit(RateLimit &Limit, double PerSecond, SteadyTime Now) {
  if (!Limit.PerSecond)
    setLimit(Limit, PerSecond, Now);
}

Milliseconds permitDelay(const RateLimit &Limit, std::int64_t Ahead,
                         SteadyTime Now) {
  if (!Limit.PerSecond)
    return Milliseconds(0);
  const double Missing = static_cast<double>(Ahead) + 1 - tokensAt(Limit, Now);
  if (Missing <= 0)
    return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(
      std::ceil(Missing / permitsPerMs(*Limit.PerSecond))));
}

bool takePermit(RateLimit &Limit, SteadyTime Now) {
  if (!Limit.PerSecond)
    return true;
  const double Tokens = tokensAt(Limit, Now);
  if (Tokens < 1)
    return false;
  Limit.Tokens = Tokens - 1;
  Limit.RefilledAt = Now;
  return true;
}

double equalShare(double PerSecond, std::size_t Nodes) {
  return PerSecond / static_cast<double>(std::max<std::size_t>(1, Nodes));
}

void setShareBounds(LimitShare &Share, double PerSecond, std::size_t Nodes,
                    double FirstTokens, SteadyTime Now) {
  const double Least = equalShare(PerSecond, Nodes);
  if (Share.PerSecond <= 0) {
    Share = {Least, FirstTokens, Now};
    return;
  }
  Share.Tokens = tokensAt(Share, Now);
  Share.RefilledAt = Now;
  Share.PerSecond = std::clamp(Share.PerSecond, Least, PerSecond);
}

bool isWithinShare(const LimitShare &Share, SteadyTime Now) {
  return Share.PerSecond <= 0 || tokensAt(Share, Now) >= 1;
}

void recordSent(LimitShare &Share, SteadyTime Now) {
  if (Share.PerSecond <= 0)
    return;
  Share.Tokens = std::max(0.0, tokensAt(Share, Now) - 1);
  Share.RefilledAt = Now;
}

void recordAdmitted(LimitShare &Share, double PerSecond) {
  Share.PerSecond = std::min(PerSecond, Share.PerSecond * ShareGrowth);
}

void recordRefused(LimitShare &Share, double PerSecond, std::size_t Nodes,
                   SteadyTime Now) {
  Share.Tokens = 0;
  Share.RefilledAt = Now;
  Share.PerSecond =
      std::max(equalShare(PerSecond, Nodes), Share.PerSecond * ShareReduction);
}

} // namespace lycheethread::requests
