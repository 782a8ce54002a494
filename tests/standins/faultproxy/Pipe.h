#ifndef LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_PIPE_H
#define LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_PIPE_H

#include "FaultRule.h"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace lycheethread::testfault {

/// Returns the time of the steady clock in microseconds.
std::int64_t steadyMicroseconds();

/// One direction of a forwarded connection: queues the data that was read until
/// the time at which it may be written.
class Pipe {
public:
  enum class State { Open, Reset };

  Pipe(Poco::Net::StreamSocket From, Poco::Net::StreamSocket To)
      : From_(std::move(From)), To_(std::move(To)) {}

  bool wantsRead(const FaultRule &Rule) const;
  /// Returns the time of the next write, or -1 when the queue is empty.
  std::int64_t nextDueTime() const;
  /// Whether the end of the stream was forwarded.
  bool isFinished() const { return EndForwarded_; }

  /// Reads the available data once, without blocking.
  State readSome(const FaultRule &Rule, std::mt19937 &Random);
  /// Writes the chunks that are due; adds their bytes to \p Written.
  State writeDueChunks(const FaultRule &Rule, std::int64_t &Written);

private:
  struct Chunk {
    std::int64_t DueTime = 0;
    std::string Data;
  };

  std::int64_t computeDueTime(std::size_t Bytes, const FaultRule &Rule,
                              std::mt19937 &Random);

  Poco::Net::StreamSocket From_;
  Poco::Net::StreamSocket To_;
  std::deque<Chunk> Queue_;
  std::size_t QueuedBytes_ = 0;
  std::int64_t BytesWritten_ = 0;
  /// Time at which the link with limited bandwidth is free again.
  std::int64_t LinkFreeAt_ = 0;
  /// Due time of the last chunk in the queue, which keeps the order.
  std::int64_t LastDueTime_ = 0;
  bool SourceEnded_ = false;
  bool EndForwarded_ = false;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_PIPE_H
