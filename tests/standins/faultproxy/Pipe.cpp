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
/// Bytes in flight; 30 ms at 1 Gbit/s are 4 MB.
constexpr std::size_t MaxWaiting = 4 * 1024 * 1024;

} // namespace

std::int64_t steadyMicroseconds() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
      .count();
}

bool Pipe::wantsRead(const FaultRule &Rule) const {
  return !SourceEnded_ && Rule.Mode != FaultMode::Drop &&
         WaitingBytes_ < MaxWaiting;
}

std::int64_t Pipe::nextDue() const {
  return Waiting_.empty() ? -1 : Waiting_.front().Due;
}

std::int64_t Pipe::dueOf(std::size_t Bytes, const FaultRule &Rule,
                         std::mt19937 &Random) {
  std::int64_t Due = steadyMicroseconds();
  if (Rule.BytesPerSecond > 0) {
    LinkFree_ = std::max(LinkFree_, Due) + static_cast<std::int64_t>(Bytes) *
                                               MicrosecondsPerSecond /
                                               Rule.BytesPerSecond;
    Due = LinkFree_;
  }
  Due += Rule.DelayMs * MicrosecondsPerMillisecond;
  if (Rule.JitterMs > 0)
    Due += std::uniform_int_distribution<std::int64_t>(
        0, Rule.JitterMs * MicrosecondsPerMillisecond)(Random);
  LastDue_ = std::max(LastDue_, Due);
  return LastDue_;
}

Pipe::State Pipe::readSome(const FaultRule &Rule, std::mt19937 &Random) {
  std::array<char, ReadSize> Buffer{};
  const ssize_t Got = ::recv(From_.impl()->sockfd(), Buffer.data(),
                             Buffer.size(), MSG_DONTWAIT);
  if (Got < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK ? State::Open : State::Reset;
  const auto Bytes = static_cast<std::size_t>(Got);
  SourceEnded_ = Bytes == 0;
  // An empty chunk passes the end of the source on with the same delay.
  Waiting_.push_back(
      {dueOf(Bytes, Rule, Random), std::string(Buffer.data(), Bytes)});
  WaitingBytes_ += Bytes;
  return State::Open;
}

Pipe::State Pipe::writeDue(const FaultRule &Rule, std::int64_t &Written) {
  while (!Waiting_.empty() && Rule.Mode != FaultMode::Drop &&
         Waiting_.front().Due <= steadyMicroseconds()) {
    Chunk &First = Waiting_.front();
    if (First.Data.empty()) {
      ::shutdown(To_.impl()->sockfd(), SHUT_WR);
      EndPassed_ = true;
      Waiting_.pop_front();
      continue;
    }
    std::size_t Allowed = First.Data.size();
    if (Rule.CloseAfterBytes > 0)
      Allowed = static_cast<std::size_t>(
          std::clamp<std::int64_t>(Rule.CloseAfterBytes - Passed_, 0,
                                   static_cast<std::int64_t>(Allowed)));
    const ssize_t Sent = Allowed == 0
                             ? 0
                             : ::send(To_.impl()->sockfd(), First.Data.data(),
                                      Allowed, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK ? State::Open
                                                     : State::Reset;
    Passed_ += Sent;
    Written += Sent;
    WaitingBytes_ -= static_cast<std::size_t>(Sent);
    if (Rule.CloseAfterBytes > 0 && Passed_ >= Rule.CloseAfterBytes)
      return State::Reset;
    First.Data.erase(0, static_cast<std::size_t>(Sent));
    if (!First.Data.empty())
      return State::Open;
    Waiting_.pop_front();
  }
  return State::Open;
}

} // namespace lycheethread::testfault
