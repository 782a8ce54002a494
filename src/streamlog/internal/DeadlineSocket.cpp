#include "streamlog/internal/DeadlineSocket.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace lycheethread::streamlog {

namespace {

/// Not zero, because Linux treats a socket timeout of zero as none.
constexpr std::chrono::microseconds MinSocketTimeout{1000};
constexpr std::chrono::microseconds MaxSocketTimeout{std::chrono::hours(1)};

} // namespace

DeadlineSocket::~DeadlineSocket() = default;

void DeadlineSocket::setDeadline(Deadline Latest) { Latest_ = Latest; }

void DeadlineSocket::connect(const Poco::Net::SocketAddress &Address,
                             const Poco::Timespan &Timeout) {
  StreamSocketImpl::connect(Address, std::min(Timeout, remaining()));
}

int DeadlineSocket::sendBytes(const void *Buffer, int Length, int Flags) {
  setSendTimeout(remaining());
  return StreamSocketImpl::sendBytes(Buffer, Length, Flags);
}

int DeadlineSocket::receiveBytes(void *Buffer, int Length, int Flags) {
  setReceiveTimeout(remaining());
  return StreamSocketImpl::receiveBytes(Buffer, Length, Flags);
}

Poco::Timespan DeadlineSocket::remaining() const {
  const auto Now = std::chrono::steady_clock::now();
  if (Now >= Latest_)
    throw Poco::TimeoutException("the deadline of the call has passed");
  const auto Left =
      std::chrono::duration_cast<std::chrono::microseconds>(Latest_ - Now);
  const auto Bounded = std::clamp(Left, MinSocketTimeout, MaxSocketTimeout);
  return Poco::Timespan(Bounded.count());
}

} // namespace lycheethread::streamlog
