#include "sidecar/internal/ConnectionPool.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

constexpr Milliseconds SweepInterval{500};

} // namespace

ConnectionPool::ConnectionPool(reactor::EventLoop &Loop,
                               std::function<void(const Endpoint &)> OnLost)
    : Loop_(Loop), OnLost_(std::move(OnLost)) {
  sweep();
}

ConnectionPool::~ConnectionPool() {
  Loop_.cancel(Timer_);
  for (auto &[To, List] : Idle_)
    for (Idle &IdleItem : List)
      IdleItem.Item->close();
}

ClientConnectionPtr ConnectionPool::take(const Endpoint &To,
                                         Milliseconds MaxIdle) {
  const auto Found = Idle_.find(To);
  if (Found == Idle_.end())
    return nullptr;
  std::vector<Idle> &List = Found->second;
  while (!List.empty()) {
    const Idle Last = List.back();
    const Milliseconds Age = elapsed(Last.Since, Loop_.now());
    if (Last.Item->isReusable() && Age > MaxIdle)
      return nullptr; // the remaining connections have idled longer
    List.pop_back();
    Last.Item->OnIdleEnd = nullptr;
    if (Last.Item->isReusable() && Age <= Last.Item->idleLimit())
      return Last.Item;
    Last.Item->close();
  }
  return nullptr;
}

void ConnectionPool::recycle(const ClientConnectionPtr &Item) {
  if (!Item->isReusable() || Item->idleLimit() <= Milliseconds(0)) {
    Item->close();
    return;
  }
  Item->OnIdleEnd = [this, Weak = std::weak_ptr<ClientConnection>(Item)] {
    if (const auto Ended = Weak.lock())
      remove(Ended);
  };
  Idle_[Item->peer()].push_back({Item, Loop_.now()});
}

std::size_t ConnectionPool::idleCount(const Endpoint &To) const {
  const auto Found = Idle_.find(To);
  return Found == Idle_.end() ? 0 : Found->second.size();
}

void ConnectionPool::closeAll(const Endpoint &To) {
  const auto Found = Idle_.find(To);
  if (Found == Idle_.end())
    return;
  for (Idle &IdleItem : Found->second)
    IdleItem.Item->close();
  Idle_.erase(Found);
}

void ConnectionPool::remove(const ClientConnectionPtr &Item) {
  const auto Found = Idle_.find(Item->peer());
  if (Found == Idle_.end())
    return;
  std::vector<Idle> &List = Found->second;
  List.erase(std::remove_if(
                 List.begin(), List.end(),
                 [&](const Idle &IdleItem) { return IdleItem.Item == Item; }),
             List.end());
  if (List.empty() && OnLost_)
    OnLost_(Item->peer());
}

void ConnectionPool::sweep() {
  for (auto It = Idle_.begin(); It != Idle_.end();) {
    std::vector<Idle> &List = It->second;
    const auto Expired = [&](const Idle &IdleItem) {
      return elapsed(IdleItem.Since, Loop_.now()) > IdleItem.Item->idleLimit();
    };
    for (Idle &IdleItem : List)
      if (Expired(IdleItem))
        IdleItem.Item->close();
    List.erase(std::remove_if(List.begin(), List.end(), Expired), List.end());
    It = List.empty() ? Idle_.erase(It) : std::next(It);
  }
  Timer_ = Loop_.runAfter(SweepInterval, [this] { sweep(); });
}

} // namespace lycheethread::sidecar
