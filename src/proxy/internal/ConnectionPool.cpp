#include "proxy/internal/ConnectionPool.h"
#include "proxy/internal/Clock.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>

namespace lycheethread::proxy {

namespace {

/// Shorter than the idle time of the servers here (10 s), so that a connection
/// is not closed by its peer in the moment in which it is reused.
constexpr Milliseconds MaxIdle{4000};
constexpr std::size_t MaxIdlePerPeer = 128;
constexpr Milliseconds ConnectTime{1000};

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
    const SteadyTime Oldest = after(steadyNow(), -MaxIdle);
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

std::unique_ptr<HttpConnection> ConnectionPool::take(const Endpoint &Target,
                                                     SteadyTime Deadline) {
  // Input on an idle connection is its end or an answer that nobody waits for.
  while (auto Found = Impl_->pop(Target))
    if (!Found->hasInput())
      return Found;
  const SteadyTime Limit = std::min(Deadline, after(steadyNow(), ConnectTime));
  return std::make_unique<HttpConnection>(
      HttpConnection::connect(Target, Limit));
}

void ConnectionPool::give(const Endpoint &Target,
                          std::unique_ptr<HttpConnection> Idle) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  auto &List = Impl_->Peers[Target];
  List.push_back({std::move(Idle), steadyNow()});
  if (List.size() > MaxIdlePerPeer)
    List.pop_front();
}

} // namespace lycheethread::proxy
