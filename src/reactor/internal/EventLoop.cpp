#include "kernel/Clock.h"
#include "reactor/Reactor.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace lycheethread::reactor {

namespace {

constexpr std::size_t EventsPerWait = 64;
/// Longest wait, so that OnIteration also runs when no event occurs.
constexpr Milliseconds MaxWait{500};

std::uint32_t toEpollMask(Interest Wanted) {
  std::uint32_t Mask = EPOLLRDHUP;
  if (Wanted.Read)
    Mask |= EPOLLIN;
  if (Wanted.Write)
    Mask |= EPOLLOUT;
  return Mask;
}

Readiness toReadiness(std::uint32_t Mask) {
  Readiness Found;
  Found.Readable = (Mask & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0;
  Found.Writable = (Mask & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0;
  Found.PeerClosed = (Mask & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  return Found;
}

} // namespace

// Uses epoll directly because POCO's PollSet and SocketReactor report a closed
// peer only as readable. A node must notice that a caller disconnects while its
// body is not being read, which requires EPOLLRDHUP.
struct EventLoop::Impl {
  struct Watched {
    std::shared_ptr<std::function<void(Readiness)>> OnReady;
    /// Detects events of an earlier registration with the same descriptor
    /// number.
    std::uint32_t Generation = 0;
  };
  struct TimerKey {
    SteadyTime At;
    TimerId Id;
    friend bool operator<(const TimerKey &L, const TimerKey &R) {
      return L.At != R.At ? L.At < R.At : L.Id < R.Id;
    }
  };

  int Epoll = -1;
  bool Stopping = false;
  SteadyTime Now = kernel::steadyNow();
  std::uint32_t LastGeneration = 0;
  TimerId LastTimer;
  std::unordered_map<int, Watched> Descriptors;
  std::map<TimerKey, std::function<void()>> Timers;
  std::unordered_map<std::int64_t, SteadyTime> TimerTimes;
  std::vector<std::function<void()>> Deferred;

  void control(int Operation, int Descriptor, Interest Wanted,
               std::uint32_t Generation) const {
    epoll_event Event{};
    Event.events = toEpollMask(Wanted);
    Event.data.u64 = (static_cast<std::uint64_t>(Generation) << 32) |
                     static_cast<std::uint32_t>(Descriptor);
    if (epoll_ctl(Epoll, Operation, Descriptor, &Event) != 0)
      throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }

  Milliseconds nextTimeout() const {
    if (!Deferred.empty())
      return Milliseconds(0);
    if (Timers.empty())
      return MaxWait;
    const Milliseconds Left =
        elapsed(kernel::steadyNow(), Timers.begin()->first.At);
    return std::clamp(Left, Milliseconds(0), MaxWait);
  }

  void dispatch(const epoll_event &Event) {
    const int Descriptor = static_cast<int>(Event.data.u64 & 0xffffffffU);
    const auto Generation = static_cast<std::uint32_t>(Event.data.u64 >> 32);
    const auto Found = Descriptors.find(Descriptor);
    if (Found == Descriptors.end() || Found->second.Generation != Generation)
      return;
    const auto Callback = Found->second.OnReady;
    (*Callback)(toReadiness(Event.events));
  }

  void runTimers() {
    while (!Timers.empty() && Timers.begin()->first.At <= Now) {
      const auto First = Timers.begin();
      const auto Task = std::move(First->second);
      TimerTimes.erase(First->first.Id.value());
      Timers.erase(First);
      Task();
    }
  }

  void runDeferred() {
    std::vector<std::function<void()>> Tasks;
    Tasks.swap(Deferred);
    for (const auto &Task : Tasks)
      Task();
  }
};

EventLoop::EventLoop() : Impl_(std::make_unique<Impl>()) {
  Impl_->Epoll = epoll_create1(EPOLL_CLOEXEC);
  if (Impl_->Epoll < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() { ::close(Impl_->Epoll); }

SteadyTime EventLoop::now() const { return Impl_->Now; }

void EventLoop::watch(int Descriptor, Interest Wanted,
                      std::function<void(Readiness)> OnReady) {
  Impl::Watched &Item = Impl_->Descriptors[Descriptor];
  Item.Generation = ++Impl_->LastGeneration;
  Item.OnReady =
      std::make_shared<std::function<void(Readiness)>>(std::move(OnReady));
  Impl_->control(EPOLL_CTL_ADD, Descriptor, Wanted, Item.Generation);
}

void EventLoop::change(int Descriptor, Interest Wanted) {
  const auto Found = Impl_->Descriptors.find(Descriptor);
  if (Found != Impl_->Descriptors.end())
    Impl_->control(EPOLL_CTL_MOD, Descriptor, Wanted, Found->second.Generation);
}

void EventLoop::unwatch(int Descriptor) {
  if (Impl_->Descriptors.erase(Descriptor) > 0)
    epoll_ctl(Impl_->Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
}

TimerId EventLoop::runAfter(Milliseconds Delay, std::function<void()> Task) {
  const TimerId Id = Impl_->LastTimer = Impl_->LastTimer.next();
  const SteadyTime At = after(kernel::steadyNow(), Delay);
  Impl_->Timers.emplace(Impl::TimerKey{At, Id}, std::move(Task));
  Impl_->TimerTimes.emplace(Id.value(), At);
  return Id;
}

void EventLoop::cancel(TimerId &Timer) {
  const auto Found = Impl_->TimerTimes.find(Timer.value());
  if (Found != Impl_->TimerTimes.end()) {
    Impl_->Timers.erase(Impl::TimerKey{Found->second, Timer});
    Impl_->TimerTimes.erase(Found);
  }
  Timer = TimerId();
}

void EventLoop::defer(std::function<void()> Task) {
  Impl_->Deferred.push_back(std::move(Task));
}

void EventLoop::run(const std::function<void()> &OnIteration) {
  std::array<epoll_event, EventsPerWait> Events{};
  while (!Impl_->Stopping) {
    const int Count =
        epoll_wait(Impl_->Epoll, Events.data(), static_cast<int>(Events.size()),
                   static_cast<int>(Impl_->nextTimeout().count()));
    if (Count < 0 && errno != EINTR)
      throw std::system_error(errno, std::generic_category(), "epoll_wait");
    Impl_->Now = kernel::steadyNow();
    OnIteration();
    for (int At = 0; At < Count; ++At)
      Impl_->dispatch(Events[static_cast<std::size_t>(At)]);
    Impl_->runTimers();
    Impl_->runDeferred();
  }
  Impl_->Stopping = false;
}

void EventLoop::stop() { Impl_->Stopping = true; }

} // namespace lycheethread::reactor
