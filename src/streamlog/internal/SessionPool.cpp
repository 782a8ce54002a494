#include "streamlog/internal/SessionPool.h"

#include <Poco/Net/StreamSocket.h>

#include <mutex>
#include <optional>
#include <vector>

namespace lycheethread::streamlog {

namespace {

constexpr std::size_t MaxIdleSessions = 4;
constexpr std::chrono::seconds MaxIdleTime{5};

struct IdleSession {
  LogSession Session;
  std::chrono::steady_clock::time_point Since;
};

/// Makes the protected constructor with a socket implementation accessible.
class OwnedSocket : public Poco::Net::StreamSocket {
public:
  explicit OwnedSocket(DeadlineSocket *Impl) : StreamSocket(Impl) {}
};

/// Returns whether an idle connection may be reused. A readable connection was
/// closed by the server or carries bytes that belong to no request.
bool isUsable(const IdleSession &Idle) {
  const auto Age = std::chrono::steady_clock::now() - Idle.Since;
  return Age < MaxIdleTime &&
         !Idle.Session.Socket->poll(Poco::Timespan(0),
                                    Poco::Net::Socket::SELECT_READ);
}

} // namespace

struct SessionPool::Impl {
  Poco::Net::SocketAddress Server;
  std::mutex Lock;
  std::vector<IdleSession> Idle;

  std::optional<IdleSession> pop() {
    const std::lock_guard<std::mutex> Guard(Lock);
    if (Idle.empty())
      return std::nullopt;
    IdleSession Last = std::move(Idle.back());
    Idle.pop_back();
    return Last;
  }
};

SessionPool::SessionPool(const Poco::Net::SocketAddress &Server)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Server = Server;
}

SessionPool::~SessionPool() = default;

LogSession SessionPool::take(Deadline Latest) {
  while (auto Idle = Impl_->pop()) {
    if (!isUsable(*Idle))
      continue;
    Idle->Session.Socket->setDeadline(Latest);
    Idle->Session.Reused = true;
    return std::move(Idle->Session);
  }
  return open(Latest);
}

LogSession SessionPool::open(Deadline Latest) const {
  auto *Socket = new DeadlineSocket;
  Socket->setDeadline(Latest);
  const OwnedSocket Owner(Socket);
  auto Http = std::make_unique<Poco::Net::HTTPClientSession>(Owner);
  Http->setHost(Impl_->Server.host().toString());
  Http->setPort(Impl_->Server.port());
  Http->setKeepAlive(true);
  return {std::move(Http), Socket, false};
}

void SessionPool::returnSession(LogSession Session) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  if (Impl_->Idle.size() < MaxIdleSessions)
    Impl_->Idle.push_back(
        {std::move(Session), std::chrono::steady_clock::now()});
}

} // namespace lycheethread::streamlog
