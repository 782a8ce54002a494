#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_EVENTLOG_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_EVENTLOG_H

#include "model/Model.h"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>

namespace lycheethread::sidecar {

/// Category of a log line, which has its own rate limit.
enum class LogClass {
  /// Start, stop, reload, configuration and dependencies. The limit is high
  /// enough for all of them.
  State = 0,
  /// Refused and failed requests.
  Failure = 1,
  /// Requests that were served, possibly after a retry.
  Success = 2
};

struct LogField {
  const char *Name;
  std::string Value;
};

/// Writes a line "event=... name=value ..." for each decision, with a rate
/// limit for each class. Dropped lines are counted and reported.
class EventLog {
public:
  void write(LogClass Class, SteadyTime Now, const char *Event,
             std::initializer_list<LogField> Fields);

  /// Whether a line of \p Class would be written now; lets callers skip
  /// building the fields.
  bool accepts(LogClass Class, SteadyTime Now);

  /// Logs the number of lines dropped since the last call, if any.
  void reportDropped(SteadyTime Now);

private:
  struct Bucket {
    double Tokens = 0;
    SteadyTime RefilledAt;
    std::int64_t Dropped = 0;
  };
  void refill(Bucket &Limit, LogClass Class, SteadyTime Now);

  std::array<Bucket, 3> Buckets_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_EVENTLOG_H
