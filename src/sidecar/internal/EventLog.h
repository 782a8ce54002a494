#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_EVENTLOG_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_EVENTLOG_H

#include "model/Model.h"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>

namespace lycheethread::sidecar {

/// How a line is treated when there are too many.
enum class LogClass {
  /// Start, stop, reload, configuration, dependencies: always written.
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

/// Writes one "event=... name=value ..." line for each decision, at a bounded
/// rate for each class. What is left out is counted and reported.
class EventLog {
public:
  void write(LogClass Class, SteadyTime Now, const char *Event,
             std::initializer_list<LogField> Fields);

  /// Whether a line of \p Class would be written now; saves building fields.
  bool accepts(LogClass Class, SteadyTime Now);

  /// Reports the lines left out since the last report, if any.
  void reportDropped(SteadyTime Now);

private:
  struct Bucket {
    double Tokens = 0;
    SteadyTime RefilledAt;
    std::int64_t Dropped = 0;
  };
  void fill(Bucket &Item, LogClass Class, SteadyTime Now);

  std::array<Bucket, 3> Buckets_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_EVENTLOG_H
