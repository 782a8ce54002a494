#include "proxy/internal/HttpConnection.h"
#include "proxy/internal/Clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace lycheethread::proxy {

namespace {

constexpr std::size_t InitialBufferBytes = 4096;
constexpr std::size_t MaxLingerBytes = 1024 * 1024;
constexpr Milliseconds LingerTime{500};
constexpr Milliseconds MaxPollTime{3600000};

int pollTimeout(SteadyTime Deadline) {
  const Milliseconds Left =
      std::clamp(timeLeft(Deadline), Milliseconds(0), MaxPollTime);
  return static_cast<int>(Left.count());
}

template <std::size_t N>
int pollAll(std::array<pollfd, N> &Set, int TimeoutMs) {
  for (;;) {
    const int Ready = ::poll(Set.data(), Set.size(), TimeoutMs);
    if (Ready >= 0 || errno != EINTR)
      return Ready;
  }
}

bool pollOne(int Fd, short Events, int TimeoutMs) {
  std::array<pollfd, 1> Set{{{Fd, Events, 0}}};
  return pollAll(Set, TimeoutMs) > 0;
}

/// Returns the length of the head at the start of \p Data, or npos if its end
/// is not in \p Data yet. The bytes before \p From were searched before.
std::size_t findHeadEnd(std::string_view Data, std::size_t From) {
  const std::size_t Start = From < 3 ? 0 : From - 3;
  const std::size_t At = Data.find("\r\n\r\n", Start);
  return At == std::string_view::npos ? At : At + 4;
}

} // namespace

HttpConnection::HttpConnection(Poco::Net::StreamSocket Socket)
    : Socket_(std::move(Socket)) {}

HttpConnection HttpConnection::connect(const Endpoint &Target,
                                       SteadyTime Deadline) {
  const Milliseconds Left = timeLeft(Deadline);
  if (Left <= Milliseconds(0))
    throw ConnectionTimeout("the deadline passed before connecting");
  Poco::Net::StreamSocket Socket;
  try {
    Socket.connect(Poco::Net::SocketAddress(Target.Address, Target.Port),
                   Poco::Timespan(Left.count() * Poco::Timespan::MILLISECONDS));
    Socket.setNoDelay(true);
  } catch (const Poco::TimeoutException &Error) {
    throw ConnectionTimeout(Error.displayText());
  } catch (const Poco::Exception &Error) {
    throw ConnectionBroken(Error.displayText());
  }
  return HttpConnection(std::move(Socket));
}

int HttpConnection::fd() const { return Socket_.impl()->sockfd(); }

bool HttpConnection::waitForInput(SteadyTime Deadline) {
  return hasBuffered() || pollOne(fd(), POLLIN, pollTimeout(Deadline));
}

void HttpConnection::waitForInput(SteadyTime Deadline,
                                  const HttpConnection &Caller) {
  if (hasBuffered())
    return;
  std::array<pollfd, 2> Set{{{fd(), POLLIN, 0}, {Caller.fd(), POLLRDHUP, 0}}};
  if (pollAll(Set, pollTimeout(Deadline)) <= 0)
    throw ConnectionTimeout("no answer in time");
  if (Set[0].revents == 0 && Set[1].revents != 0)
    throw CallerDisconnected("the caller closed its connection");
}

std::size_t HttpConnection::receive(char *To, std::size_t Size,
                                    SteadyTime Deadline) {
  // Usually the input has been waited for already, so reading before polling
  // saves a system call.
  for (;;) {
    const ssize_t Count = ::recv(fd(), To, Size, MSG_DONTWAIT);
    if (Count >= 0)
      return static_cast<std::size_t>(Count);
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN)
      throw ConnectionBroken(std::strerror(errno));
    if (!pollOne(fd(), POLLIN, pollTimeout(Deadline)))
      throw ConnectionTimeout("timed out reading from the peer");
  }
}

void HttpConnection::fill(SteadyTime Deadline) {
  if (Begin_ == End_)
    Begin_ = End_ = 0;
  if (End_ == Buffer_.size() && Begin_ > 0) {
    std::copy(Buffer_.begin() + static_cast<std::ptrdiff_t>(Begin_),
              Buffer_.begin() + static_cast<std::ptrdiff_t>(End_),
              Buffer_.begin());
    End_ -= Begin_;
    Begin_ = 0;
  }
  if (End_ == Buffer_.size())
    Buffer_.resize(std::max(InitialBufferBytes, Buffer_.size() * 2));
  const std::size_t Count =
      receive(Buffer_.data() + End_, Buffer_.size() - End_, Deadline);
  if (Count == 0)
    throw ConnectionBroken("the peer closed the connection");
  End_ += Count;
}

std::string_view HttpConnection::readHead(SteadyTime Deadline) {
  std::size_t Scanned = 0;
  for (;;) {
    const std::string_view Data(Buffer_.data() + Begin_, End_ - Begin_);
    const std::size_t Size = findHeadEnd(Data, Scanned);
    // An incomplete head gives npos, which is above the limit as well.
    if (Size <= MaxHeadBytes) {
      Begin_ += Size;
      return Data.substr(0, Size);
    }
    if (Data.size() >= MaxHeadBytes)
      throw BadMessage("the head is larger than 32 KiB");
    Scanned = Data.size();
    fill(Deadline);
  }
}

std::size_t HttpConnection::readSome(char *To, std::size_t Size,
                                     SteadyTime Deadline) {
  if (hasBuffered()) {
    const std::size_t Count = std::min(Size, End_ - Begin_);
    std::memcpy(To, Buffer_.data() + Begin_, Count);
    Begin_ += Count;
    return Count;
  }
  return receive(To, Size, Deadline);
}

std::string HttpConnection::readLine(std::size_t Max, SteadyTime Deadline) {
  std::size_t Scanned = 0;
  for (;;) {
    const std::string_view Data(Buffer_.data() + Begin_, End_ - Begin_);
    const std::size_t At = Data.find('\n', Scanned);
    if (At != std::string_view::npos) {
      if (At == 0 || At > Max || Data[At - 1] != '\r')
        throw BadMessage("a line does not end with CRLF");
      std::string Line(Data.substr(0, At - 1));
      Begin_ += At + 1;
      return Line;
    }
    if (Data.size() > Max)
      throw BadMessage("a line is too long");
    Scanned = Data.size();
    fill(Deadline);
  }
}

void HttpConnection::write(std::string_view Data, SteadyTime Deadline) {
  while (!Data.empty()) {
    const ssize_t Count =
        ::send(fd(), Data.data(), Data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count >= 0) {
      Data.remove_prefix(static_cast<std::size_t>(Count));
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN)
      throw ConnectionBroken(std::strerror(errno));
    if (!pollOne(fd(), POLLOUT, pollTimeout(Deadline)))
      throw ConnectionTimeout("timed out writing to the peer");
  }
}

bool HttpConnection::hasPeerClosed() const {
  return pollOne(fd(), POLLRDHUP, 0);
}

bool HttpConnection::hasInput() const {
  return hasBuffered() || pollOne(fd(), POLLIN | POLLRDHUP, 0);
}

void HttpConnection::setResetOnClose(bool IsOn) { Socket_.setLinger(IsOn, 0); }

// A shutdown of the sending side would look like the end of the answer. The
// thread that sends it sees the caller as gone and closes the socket.
void HttpConnection::shutdown() {
  bool ResetsOnClose = false;
  int Seconds = 0;
  Socket_.getLinger(ResetsOnClose, Seconds);
  ::shutdown(fd(), ResetsOnClose ? SHUT_RD : SHUT_RDWR);
}

void HttpConnection::shutdownGracefully() {
  ::shutdown(fd(), SHUT_WR);
  const SteadyTime Until = after(steadyNow(), LingerTime);
  std::array<char, 16384> Discarded{};
  std::size_t Total = 0;
  try {
    while (Total < MaxLingerBytes) {
      const std::size_t Count =
          readSome(Discarded.data(), Discarded.size(), Until);
      if (Count == 0)
        break;
      Total += Count;
    }
  } catch (const std::exception &) {
    // The peer is slow or has disconnected; the connection is closed anyway.
  }
}

std::string HttpConnection::peerAddress() const {
  return Socket_.peerAddress().host().toString();
}

} // namespace lycheethread::proxy
