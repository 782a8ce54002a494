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
  std::int64_t At = 0;
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

/// What happens to an append that was asked for.
struct AppendResult {
  /// Whether the log is in an outage; then nothing was appended.
  bool Outage = false;
  /// Whether the answer is to be lost.
  bool LoseAnswer = false;
  std::int64_t At = 0;
};

/// Streams in memory with the faults of the platform's log. Thread-safe.
class LogStore {
public:
  /// Keeps the newest \p RetainRecords of each stream.
  explicit LogStore(std::size_t RetainRecords);
  ~LogStore();

  AppendResult append(const std::string &Stream, const std::string &Data);
  /// Waits for records without holding a lock; an outage ends the wait.
  ReadResult read(const ReadQuery &Query);
  /// Bounds only.
  ReadResult bounds(const std::string &Stream);

  void setOutage(bool On);
  void setDelay(std::chrono::milliseconds Length);
  std::chrono::milliseconds delay() const;
  /// The next \p Count appends take effect without an answer.
  void loseAnswers(int Count);
  /// Drops the records of \p Stream below \p First.
  void trim(const std::string &Stream, std::int64_t First);
  std::map<std::string, StreamCounts> counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::testlog

#endif // LYCHEETHREAD_TESTS_STANDINS_LOG_LOGSTORE_H
