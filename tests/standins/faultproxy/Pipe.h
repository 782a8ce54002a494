#ifndef LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_PIPE_H
#define LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_PIPE_H

#include "FaultRule.h"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace lycheethread::testfault {

/// Microseconds of the steady clock.
std::int64_t steadyMicroseconds();

/// One direction of a forwarded connection: bytes that were read and wait for
/// the time at which they may be written.
class Pipe {
public:
  enum class State { Open, Reset };

  Pipe(Poco::Net::StreamSocket From, Poco::Net::StreamSocket To)
      : From_(std::move(From)), To_(std::move(To)) {}

  bool wantsRead(const FaultRule &Rule) const;
  /// Time of the next write, or -1 when nothing waits.
  std::int64_t nextDue() const;
  /// The end of the source was passed on.
  bool ended() const { return EndPassed_; }

  /// Reads once what is there.
  State readSome(const FaultRule &Rule, std::mt19937 &Random);
  /// Writes what is due; adds the bytes to \p Written.
  State writeDue(const FaultRule &Rule, std::int64_t &Written);

private:
  struct Chunk {
    std::int64_t Due = 0;
    std::string Data;
  };

  std::int64_t dueOf(std::size_t Bytes, const FaultRule &Rule,
                     std::mt19937 &Random);

  Poco::Net::StreamSocket From_;
  Poco::Net::StreamSocket To_;
  std::deque<Chunk> Waiting_;
  std::size_t WaitingBytes_ = 0;
  std::int64_t Passed_ = 0;
  /// Time at which the limited link is free again, and last due time.
  std::int64_t LinkFree_ = 0;
  std::int64_t LastDue_ = 0;
  bool SourceEnded_ = false;
  bool EndPassed_ = false;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_PIPE_H
