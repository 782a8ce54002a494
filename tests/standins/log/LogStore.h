#ifndef LYCHEETHREAD_TESTS_STANDINS_LOG_LOGSTORE_H
#define LYCHEETHREAD_TESTS_STANDINS_LOG_LOGSTORE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheethread::testlog {

enum class ReadStatus { Ok, Trimmed, Outage };

struct StoredRecord {
  std::int64_t RecordOffset = 0;
  std::string Data;
};

struct ReadResult {
  ReadStatus Status = ReadStatus::Ok;
  std::int64_t First = 0;
  std::int64_t Next = 0;
  std::vector<StoredRecord> Records;
};

struct ReadQuery {
  std::string Stream;
  std::int64_t From = 0;
  std::size_t MaxRecords = 0;
  std::chrono::milliseconds Wait{0};
};

struct StreamCounts {
  std::int64_t First = 0;
  std::int64_t Next = 0;
  std::int64_t Appends = 0;
  std::int64_t Reads = 0;
  std::int64_t BytesIn = 0;
  std::int64_t BytesOut = 0;
};

/// The result of an append.
struct AppendResult {
  /// Whether the log has an outage; then nothing was appended.
  bool Outage = false;
  /// Whether the response must be dropped.
  bool DropResponse = false;
  std::int64_t RecordOffset = 0;
};

/// Streams in memory, with injection of the faults that the platform's log may
/// have. Thread-safe.
class LogStore {
public:
  /// Keeps the newest \p RetainRecords records of each stream.
  explicit LogStore(std::size_t RetainRecords);
  ~LogStore();

  AppendResult append(const std::string &Stream, const std::string &Data);
  /// Waits for records without blocking other calls; an outage ends the wait.
  ReadResult read(const ReadQuery &Query);
  /// Returns the bounds of \p Stream without records.
  ReadResult bounds(const std::string &Stream);

  void setOutage(bool Enabled);
  void setDelay(std::chrono::milliseconds Delay);
  std::chrono::milliseconds delay() const;
  /// Drops the responses of the next \p Count appends, which still take effect.
  void loseAnswers(int Count);
  /// Drops the records of \p Stream whose offset is below \p First.
  void trim(const std::string &Stream, std::int64_t First);
  std::map<std::string, StreamCounts> counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::testlog

#endif // LYCHEETHREAD_TESTS_STANDINS_LOG_LOGSTORE_H
