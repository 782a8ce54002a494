#include "proxy/internal/ConnectionPool.h"
#include "proxy/internal/Clock.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>

namespace lycheethread::proxy {

namespace {

/// Shorter than the idle timeout of the servers of a node (10 s), so that the
/// peer does not close a connection while it is being reused.
constexpr Milliseconds MaxIdleTime{4000};
constexpr std::size_t MaxIdlePerPeer = 128;
constexpr Milliseconds ConnectTimeout{1000};

struct Idle {
  std::unique_ptr<HttpConnection> Connection;
  SteadyTime Since;
};

} // namespace

struct ConnectionPool::Impl {
  std::mutex Lock;
  std::map<Endpoint, std::deque<Idle>> Peers;

  std::unique_ptr<HttpConnection> pop(const Endpoint &Target) {
    const std::lock_guard<std::mutex> Guard(Lock);
    const auto It = Peers.find(Target);
    if (It == Peers.end())
      return nullptr;
    const SteadyTime Oldest = after(steadyNow(), -MaxIdleTime);
    while (!It->second.empty() && It->second.front().Since < Oldest)
      It->second.pop_front();
    if (It->second.empty()) {
      Peers.erase(It);
      return nullptr;
    }
    auto Found = std::move(It->second.back().Connection);
    It->second.pop_back();
    return Found;
  }
};

ConnectionPool::ConnectionPool() : Impl_(std::make_unique<Impl>()) {}

ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<HttpConnection> ConnectionPool::acquire(const Endpoint &Target,
                                                        SteadyTime Deadline) {
  // Input on an idle connection means that the peer has closed it or has sent
  // an unexpected response.
  while (auto Found = Impl_->pop(Target))
    if (!Found->hasInput())
      return Found;
  const SteadyTime ConnectDeadline =
      std::min(Deadline, after(steadyNow(), ConnectTimeout));
  return std::make_unique<HttpConnection>(
      HttpConnection::connect(Target, ConnectDeadline));
}

void ConnectionPool::release(const Endpoint &Target,
                             std::unique_ptr<HttpConnection> Idle) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  auto &List = Impl_->Peers[Target];
  List.push_back({std::move(Idle), steadyNow()});
  if (List.size() > MaxIdlePerPeer)
    List.pop_front();
}

} // namespace lycheethread::proxy
