#ifndef LYCHEETHREAD_STREAMLOG_TYPES_LOGCLIENT_H
#define LYCHEETHREAD_STREAMLOG_TYPES_LOGCLIENT_H

#include "model/Model.h"

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lycheethread::streamlog {

/// A record of the log.
struct LogRecord {
  Offset At;
  std::string Data;
};

/// Range of offsets that the platform retains of a stream.
struct StreamBounds {
  /// Oldest retained offset.
  Offset First;
  /// Offset that the next append will get.
  Offset Next;
};

/// Result of a read.
struct LogBatch {
  StreamBounds Bounds;
  std::vector<LogRecord> Records;
};

/// The log did not answer in time, refused the call, or gave an invalid answer.
/// An append that fails in this way may have taken effect.
class LogUnavailable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The requested offset is no longer retained.
class LogTrimmed : public std::runtime_error {
public:
  LogTrimmed(const std::string &Text, StreamBounds Kept)
      : std::runtime_error(Text), Kept_(Kept) {}

  StreamBounds kept() const { return Kept_; }

private:
  StreamBounds Kept_;
};

/// Access to the platform's log. The functions are thread-safe and throw
/// LogUnavailable; Read also throws LogTrimmed.
struct LogClient {
  /// Returns the offset of the new record.
  std::function<Offset(const StreamName &, const std::string &Data)> Append;
  /// Returns records starting at \p From; waits up to \p Wait when there are
  /// none.
  std::function<LogBatch(const StreamName &, Offset From,
                         std::size_t MaxRecords, Milliseconds Wait)>
      Read;
  std::function<StreamBounds(const StreamName &)> Bounds;
};

} // namespace lycheethread::streamlog

#endif // LYCHEETHREAD_STREAMLOG_TYPES_LOGCLIENT_H
