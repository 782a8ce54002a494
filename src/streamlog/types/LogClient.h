#ifndef LYCHEETHREAD_STREAMLOG_TYPES_LOGCLIENT_H
#define LYCHEETHREAD_STREAMLOG_TYPES_LOGCLIENT_H

#include "model/Model.h"

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lycheethread::streamlog {

/// One record as the platform keeps it.
struct LogRecord {
  Offset At;
  std::string Data;
};

/// The part of a stream that the platform still keeps.
struct StreamBounds {
  /// Oldest kept offset.
  Offset First;
  /// Offset that the next append will get.
  Offset Next;
};

/// Answer to a read.
struct LogBatch {
  StreamBounds Bounds;
  std::vector<LogRecord> Records;
};

/// The log did not answer in time, refused or answered nonsense. An append
/// that ends this way may have taken effect.
class LogUnavailable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The offset that was asked for is no longer kept.
class LogTrimmed : public std::runtime_error {
public:
  LogTrimmed(const std::string &Text, StreamBounds Kept)
      : std::runtime_error(Text), Kept_(Kept) {}

  StreamBounds kept() const { return Kept_; }

private:
  StreamBounds Kept_;
};

/// Access to the platform's log. Every function may be called from several
/// threads at once and throws LogUnavailable; Read throws LogTrimmed too.
struct LogClient {
  /// Returns the offset of the new record.
  std::function<Offset(const StreamName &, const std::string &Data)> Append;
  /// Returns records from \p From on; when there are none, waits up to \p Wait.
  std::function<LogBatch(const StreamName &, Offset From,
                         std::size_t MaxRecords, Milliseconds Wait)>
      Read;
  std::function<StreamBounds(const StreamName &)> Bounds;
};

} // namespace lycheethread::streamlog

#endif // LYCHEETHREAD_STREAMLOG_TYPES_LOGCLIENT_H
