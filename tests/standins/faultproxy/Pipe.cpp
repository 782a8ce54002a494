#include "Pipe.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <chrono>

#include <cerrno>
#include <sys/socket.h>

namespace lycheethread::testfault {

namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1000000;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
constexpr std::size_t ReadSize = 64 * 1024;
/// Maximum amount of data in flight; 30 ms at 1 Gbit/s are 4 MB.
constexpr std::size_t MaxQueuedBytes = 4 * 1024 * 1024;

} // namespace

std::int64_t steadyMicroseconds() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
      .count();
}

bool Pipe::wantsRead(const FaultRule &Rule) const {
  return !SourceEnded_ && Rule.Mode != FaultMode::Drop &&
         QueuedBytes_ < MaxQueuedBytes;
}

std::int64_t Pipe::nextDueTime() const {
  return Queue_.empty() ? -1 : Queue_.front().DueTime;
}

std::int64_t Pipe::computeDueTime(std::size_t Bytes, const FaultRule &Rule,
                                  std::mt19937 &Random) {
  std::int64_t DueTime = steadyMicroseconds();
  if (Rule.BytesPerSecond > 0) {
    LinkFreeAt_ = std::max(LinkFreeAt_, DueTime) +
                  static_cast<std::int64_t>(Bytes) * MicrosecondsPerSecond /
                      Rule.BytesPerSecond;
    DueTime = LinkFreeAt_;
  }
  DueTime += Rule.DelayMs * MicrosecondsPerMillisecond;
  if (Rule.JitterMs > 0)
    DueTime += std::uniform_int_distribution<std::int64_t>(
        0, Rule.JitterMs * MicrosecondsPerMillisecond)(Random);
  LastDueTime_ = std::max(LastDueTime_, DueTime);
  return LastDueTime_;
}

Pipe::State Pipe::readSome(const FaultRule &Rule, std::mt19937 &Random) {
  std::array<char, ReadSize> Buffer{};
  const ssize_t Received = ::recv(From_.impl()->sockfd(), Buffer.data(),
                                  Buffer.size(), MSG_DONTWAIT);
  if (Received < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK ? State::Open : State::Reset;
  const auto Bytes = static_cast<std::size_t>(Received);
  SourceEnded_ = Bytes == 0;
  // An empty chunk forwards the end of the stream with the same delay as data.
  Queue_.push_back(
      {computeDueTime(Bytes, Rule, Random), std::string(Buffer.data(), Bytes)});
  QueuedBytes_ += Bytes;
  return State::Open;
}

Pipe::State Pipe::writeDueChunks(const FaultRule &Rule, std::int64_t &Written) {
  while (!Queue_.empty() && Rule.Mode != FaultMode::Drop &&
         Queue_.front().DueTime <= steadyMicroseconds()) {
    Chunk &First = Queue_.front();
    if (First.Data.empty()) {
      ::shutdown(To_.impl()->sockfd(), SHUT_WR);
      EndForwarded_ = true;
      Queue_.pop_front();
      continue;
    }
    std::size_t Allowed = First.Data.size();
    if (Rule.CloseAfterBytes > 0)
      Allowed = static_cast<std::size_t>(
          std::clamp<std::int64_t>(Rule.CloseAfterBytes - BytesWritten_, 0,
                                   static_cast<std::int64_t>(Allowed)));
    const ssize_t Sent = Allowed == 0
                             ? 0
                             : ::send(To_.impl()->sockfd(), First.Data.data(),
                                      Allowed, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK ? State::Open
                                                     : State::Reset;
    BytesWritten_ += Sent;
    Written += Sent;
    QueuedBytes_ -= static_cast<std::size_t>(Sent);
    if (Rule.CloseAfterBytes > 0 && BytesWritten_ >= Rule.CloseAfterBytes)
      return State::Reset;
    First.Data.erase(0, static_cast<std::size_t>(Sent));
    if (!First.Data.empty())
      return State::Open;
    Queue_.pop_front();
  }
  return State::Open;
}

} // namespace lycheethread::testfault
