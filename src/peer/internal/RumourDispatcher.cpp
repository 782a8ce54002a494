#include "peer/internal/RumourDispatcher.h"

#include <boost/log/trivial.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace lycheethread::peer {

namespace {

constexpr std::size_t MaxRememberedIds = 8192;
constexpr std::size_t MaxQueuedRumours = 1024;

struct QueuedRumour {
  std::string Topic;
  std::string Payload;
};

} // namespace

struct RumourDispatcher::Impl {
  std::mutex Lock;
  std::condition_variable Arrived;
  std::map<std::string, RumourHandler> Handlers;
  std::set<std::int64_t> Seen;
  std::deque<std::int64_t> SeenOrder;
  std::deque<QueuedRumour> Queue;
  bool Stopping = false;
  std::thread Worker;

  void run() {
    std::unique_lock<std::mutex> Guard(Lock);
    while (true) {
      Arrived.wait(Guard, [this] { return Stopping || !Queue.empty(); });
      if (Stopping)
        return;
      const QueuedRumour Next = std::move(Queue.front());
      Queue.pop_front();
      const auto It = Handlers.find(Next.Topic);
      if (It == Handlers.end())
        continue;
      const RumourHandler Handler = It->second;
      Guard.unlock();
      try {
        Handler(Next.Payload);
      } catch (const std::exception &Problem) {
        BOOST_LOG_TRIVIAL(warning)
            << "peer: handler of rumour topic " << Next.Topic
            << " failed: " << Problem.what();
      }
      Guard.lock();
    }
  }
};

RumourDispatcher::RumourDispatcher() : Impl_(std::make_unique<Impl>()) {}

RumourDispatcher::~RumourDispatcher() { stop(); }

void RumourDispatcher::onRumour(const std::string &Topic,
                                RumourHandler Handler) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Handlers[Topic] = std::move(Handler);
}

bool RumourDispatcher::accept(std::int64_t Id, const std::string &Topic,
                              const std::string &Payload) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  if (!Impl_->Seen.insert(Id).second)
    return false;
  Impl_->SeenOrder.push_back(Id);
  if (Impl_->SeenOrder.size() > MaxRememberedIds) {
    Impl_->Seen.erase(Impl_->SeenOrder.front());
    Impl_->SeenOrder.pop_front();
  }
  if (Impl_->Queue.size() < MaxQueuedRumours) {
    Impl_->Queue.push_back({Topic, Payload});
    Impl_->Arrived.notify_one();
  }
  return true;
}

void RumourDispatcher::start() {
  Impl_->Worker = std::thread([this] { Impl_->run(); });
}

void RumourDispatcher::stop() {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Lock);
    Impl_->Stopping = true;
  }
  Impl_->Arrived.notify_all();
  if (Impl_->Worker.joinable())
    Impl_->Worker.join();
}

} // namespace lycheethread::peer
