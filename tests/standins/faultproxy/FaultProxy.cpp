#include "FaultProxy.h"

#include "TcpForward.h"
#include "UdpForward.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

namespace lycheethread::testfault {

namespace {

/// Longest poll, and so the longest delay until a changed rule takes effect.
constexpr std::int64_t MaxPollMs = 10;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

struct Forward {
  ForwardState State;
  std::optional<TcpForward> Tcp;
  std::optional<UdpForward> Udp;
};

} // namespace

struct FaultProxy::Impl {
  mutable std::mutex Lock;
  std::vector<std::unique_ptr<Forward>> Forwards;
  std::mt19937 Random;
  std::atomic<bool> Stopped{false};
  std::thread LoopThread;

  void add(const ForwardSpec &Spec);
  void waitForWork() const;
  void run();
};

void FaultProxy::Impl::add(const ForwardSpec &Spec) {
  auto NewForward = std::make_unique<Forward>();
  NewForward->State.Totals.Spec = Spec;
  if (Spec.Kind == Protocol::Tcp)
    NewForward->Tcp.emplace(Spec);
  else
    NewForward->Udp.emplace(Spec);
  Forwards.push_back(std::move(NewForward));
}

void FaultProxy::Impl::waitForWork() const {
  std::vector<pollfd> Polled;
  const std::int64_t Now = steadyMicroseconds();
  std::int64_t WakeAt = Now + MaxPollMs * MicrosecondsPerMillisecond;
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    for (const auto &Each : Forwards) {
      if (Each->Tcp)
        Each->Tcp->prepare(Each->State, Polled, WakeAt);
      if (Each->Udp)
        Each->Udp->prepare(Polled, WakeAt);
    }
  }
  // Waits at least 1 ms: a chunk that is due but cannot be written would
  // otherwise cause a busy loop.
  const std::int64_t WaitMs = (WakeAt - Now + MicrosecondsPerMillisecond - 1) /
                              MicrosecondsPerMillisecond;
  ::poll(Polled.data(), Polled.size(),
         static_cast<int>(std::clamp<std::int64_t>(WaitMs, 1, MaxPollMs)));
}

void FaultProxy::Impl::run() {
  while (!Stopped) {
    waitForWork();
    const std::lock_guard<std::mutex> Guard(Lock);
    for (const auto &Each : Forwards) {
      if (Each->Tcp)
        Each->Tcp->process(Each->State, Random);
      if (Each->Udp)
        Each->Udp->process(Each->State, Random);
    }
  }
}

FaultProxy::FaultProxy(const std::vector<ForwardSpec> &Forwards)
    : Impl_(std::make_unique<Impl>()) {
  for (const ForwardSpec &Spec : Forwards)
    Impl_->add(Spec);
  Impl_->LoopThread = std::thread([this] { Impl_->run(); });
}

FaultProxy::~FaultProxy() {
  Impl_->Stopped = true;
  Impl_->LoopThread.join();
}

bool FaultProxy::setRule(const std::string &Listen, bool Up, bool Down,
                         const FaultRule &Rule) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  bool Found = false;
  for (const auto &Each : Impl_->Forwards) {
    if (Listen != "*" && Each->State.Totals.Spec.Listen != Listen)
      continue;
    Found = true;
    // The source address of a loopback connection does not identify the client,
    // so that rules with From apply only to datagrams.
    if (!Rule.From.empty() && Each->Tcp)
      continue;
    if (Up)
      Each->State.Up = Rule;
    if (Down)
      Each->State.Down = Rule;
  }
  return Found;
}

std::vector<ForwardTotals> FaultProxy::totals() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  std::vector<ForwardTotals> Result;
  for (const auto &Each : Impl_->Forwards)
    Result.push_back(Each->State.Totals);
  return Result;
}

} // namespace lycheethread::testfault
