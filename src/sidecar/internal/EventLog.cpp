#include "sidecar/internal/EventLog.h"

#include <boost/log/trivial.hpp>

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

/// Sustained rate and burst by LogClass. Logging the refusals of a whole zone
/// must not take up the node's processor time.
struct Rate {
  double PerSecond;
  double Burst;
};
constexpr std::array<Rate, 3> Rates{{{200, 400}, {20, 40}, {2, 4}}};
constexpr double MillisecondsPerSecond = 1000;

std::size_t indexOf(LogClass Class) { return static_cast<std::size_t>(Class); }

bool needsQuotes(const std::string &Value) {
  return Value.empty() ||
         Value.find_first_of(" =\"\n\r\t") != std::string::npos;
}

void appendValue(std::string &Line, const std::string &Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (const char Byte : Value)
    Line += Byte == '"' || static_cast<unsigned char>(Byte) < ' ' ? '\'' : Byte;
  Line += '"';
}

} // namespace

void EventLog::refill(Bucket &Limit, LogClass Class, SteadyTime Now) {
  const Rate Allowed = Rates[indexOf(Class)];
  if (Limit.RefilledAt == SteadyTime())
    Limit.Tokens = Allowed.Burst;
  else
    Limit.Tokens =
        std::min(Allowed.Burst,
                 Limit.Tokens + static_cast<double>(
                                    elapsed(Limit.RefilledAt, Now).count()) *
                                    Allowed.PerSecond / MillisecondsPerSecond);
  Limit.RefilledAt = Now;
}

bool EventLog::accepts(LogClass Class, SteadyTime Now) {
  Bucket &Limit = Buckets_[indexOf(Class)];
  refill(Limit, Class, Now);
  if (Limit.Tokens >= 1)
    return true;
  ++Limit.Dropped;
  return false;
}

void EventLog::write(LogClass Class, SteadyTime Now, const char *Event,
                     std::initializer_list<LogField> Fields) {
  if (!accepts(Class, Now))
    return;
  Buckets_[indexOf(Class)].Tokens -= 1;
  std::string Line = std::string("event=") + Event;
  for (const LogField &Field : Fields) {
    Line.append(" ").append(Field.Name).append("=");
    appendValue(Line, Field.Value);
  }
  if (Class == LogClass::Failure)
    BOOST_LOG_TRIVIAL(warning) << "node: " << Line;
  else
    BOOST_LOG_TRIVIAL(info) << "node: " << Line;
}

void EventLog::reportDropped(SteadyTime Now) {
  const std::int64_t Failures = Buckets_[indexOf(LogClass::Failure)].Dropped;
  const std::int64_t Successes = Buckets_[indexOf(LogClass::Success)].Dropped;
  const std::int64_t States = Buckets_[indexOf(LogClass::State)].Dropped;
  if (Failures + Successes + States == 0)
    return;
  for (Bucket &Limit : Buckets_)
    Limit.Dropped = 0;
  write(LogClass::State, Now, "lines-left-out",
        {{"failures", std::to_string(Failures)},
         {"successes", std::to_string(Successes)},
         {"states", std::to_string(States)}});
}

} // namespace lycheethread::sidecar
