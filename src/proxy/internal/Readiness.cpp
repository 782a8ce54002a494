#include "proxy/internal/Readiness.h"
#include "proxy/internal/Clock.h"
#include "proxy/internal/HttpConnection.h"

#include <boost/log/trivial.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace lycheethread::proxy {

namespace {

constexpr Milliseconds ReadyCheckInterval{1000};
constexpr Milliseconds StartingCheckInterval{200};
constexpr Milliseconds CheckTimeout{500};
/// A process that was replaced between two checks counts as leaving for this
/// long; one that still leaves says so again in its next answer.
constexpr Milliseconds MaxLeavingTime{60000};

} // namespace

struct Readiness::Impl {
  std::shared_ptr<peer::PeerControl> Peers;
  Endpoint Upstream;
  std::mutex Lock;
  std::condition_variable Changed;
  bool Stopping = false;
  bool Draining = false;
  /// The upstream has said that it leaves, and its process has not ended.
  bool Leaving = false;
  SteadyTime LeavingSince;
  std::function<void()> OnEnded;
  bool CheckRequested = false;
  std::optional<MemberState> Announced;
  std::thread Checker;

  MemberState check() const {
    try {
      HttpConnection::connect(Upstream, after(steadyNow(), CheckTimeout));
      return MemberState::Ready;
    } catch (const std::exception &) {
      return MemberState::Starting;
    }
  }

  /// Must be called with the lock held, so that no state is announced after
  /// draining.
  void announce(MemberState State) {
    if (Draining || Announced == State)
      return;
    Announced = State;
    BOOST_LOG_TRIVIAL(info) << "proxy: the upstream is " << toString(State);
    Peers->Announce(State);
  }

  void run() {
    std::unique_lock<std::mutex> Guard(Lock);
    while (!Stopping && !Draining) {
      CheckRequested = false;
      Guard.unlock();
      const MemberState State = check();
      Guard.lock();
      const bool HasEnded = State != MemberState::Ready ||
                            elapsed(LeavingSince, steadyNow()) > MaxLeavingTime;
      if (Leaving && !Draining && HasEnded) {
        Leaving = false;
        OnEnded();
      }
      if (!Leaving)
        announce(State);
      Changed.wait_for(
          Guard,
          State == MemberState::Ready && !Leaving ? ReadyCheckInterval
                                                  : StartingCheckInterval,
          [this] { return Stopping || Draining || CheckRequested; });
    }
  }
};

Readiness::Readiness(std::shared_ptr<peer::PeerControl> Peers,
                     Endpoint Upstream, std::function<void()> OnEnded)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->OnEnded = std::move(OnEnded);
  Impl_->Peers = std::move(Peers);
  Impl_->Upstream = std::move(Upstream);
  Impl_->Checker = std::thread([this] { Impl_->run(); });
}

Readiness::~Readiness() {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Lock);
    Impl_->Stopping = true;
    Impl_->Changed.notify_one();
  }
  Impl_->Checker.join();
}

void Readiness::triggerCheck() {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->CheckRequested = true;
  Impl_->Changed.notify_one();
}

void Readiness::beginLeaving() {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  if (Impl_->Leaving || Impl_->Draining)
    return;
  Impl_->announce(MemberState::Draining);
  Impl_->Leaving = true;
  Impl_->LeavingSince = steadyNow();
  Impl_->CheckRequested = true;
  Impl_->Changed.notify_one();
}

void Readiness::beginDrain() {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Draining = true;
  Impl_->Peers->Announce(MemberState::Draining);
  Impl_->Changed.notify_one();
}

} // namespace lycheethread::proxy
