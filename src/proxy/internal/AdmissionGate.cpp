#include "proxy/internal/AdmissionGate.h"
#include "proxy/internal/Clock.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace lycheethread::proxy {

namespace {

/// Interval in which a waiting request checks whether its caller has
/// disconnected.
constexpr Milliseconds CallerCheckInterval{20};

enum class WaitState { Waiting, Run, Drop };

struct Waiter {
  std::condition_variable Changed;
  WaitState State = WaitState::Waiting;
};

} // namespace

struct AdmissionGate::Impl {
  std::mutex Lock;
  requests::AdmissionState State;
  std::map<std::int64_t, Waiter *> Waiters;
  std::int64_t LastTicket = 0;

  void wake(std::int64_t Ticket, WaitState Next) {
    const auto It = Waiters.find(Ticket);
    if (It == Waiters.end())
      return;
    It->second->State = Next;
    It->second->Changed.notify_one();
  }

  void release(const requests::AdmissionRequest &Item,
               const ServiceLimits &Limits, std::chrono::microseconds Held) {
    wakeAll(requests::release(State, Limits, Item, Held, steadyNow()));
  }

  void wakeAll(const requests::ReleaseActions &Next) {
    for (const std::int64_t Ticket : Next.Run)
      wake(Ticket, WaitState::Run);
    for (const std::int64_t Ticket : Next.Drop)
      wake(Ticket, WaitState::Drop);
  }

  WaitState waitForAdmission(std::unique_lock<std::mutex> &Guard, Waiter &Self,
                             const requests::AdmissionRequest &Item,
                             const ServiceLimits &Limits,
                             const HttpConnection &Caller) {
    while (Self.State == WaitState::Waiting) {
      if (Self.Changed.wait_for(Guard, CallerCheckInterval) ==
          std::cv_status::no_timeout)
        continue;
      // No other event tells when the next permit is there.
      if (State.Limit.PerSecond)
        wakeAll(requests::startWaiting(State, Limits, steadyNow()));
      if (Self.State != WaitState::Waiting)
        break;
      const bool IsLate = timeLeft(Item.Deadline) <= Milliseconds(0);
      const bool HasLeft = !IsLate && Caller.hasPeerClosed();
      if (!IsLate && !HasLeft)
        continue;
      requests::removeQueued(State, Item.Ticket);
      if (HasLeft)
        throw CallerDisconnected(
            "the caller disconnected while its request was queued");
      return WaitState::Drop;
    }
    return Self.State;
  }
};

AdmissionGate::AdmissionGate() : Impl_(std::make_unique<Impl>()) {}

AdmissionGate::~AdmissionGate() = default;

std::optional<RefusalReason>
AdmissionGate::acquireSlot(requests::AdmissionRequest &Item,
                           const ServiceLimits &Limits,
                           const HttpConnection &Caller) {
  std::unique_lock<std::mutex> Guard(Impl_->Lock);
  Item.Ticket = ++Impl_->LastTicket;
  const requests::AdmitDecision Decision =
      requests::admit(Impl_->State, Limits, Item, steadyNow());
  if (Decision.Action == requests::AdmitAction::Run)
    return std::nullopt;
  if (Decision.Action == requests::AdmitAction::Refuse)
    return Decision.Reason;
  Waiter Self;
  Impl_->Waiters[Item.Ticket] = &Self;
  WaitState End = WaitState::Drop;
  try {
    End = Impl_->waitForAdmission(Guard, Self, Item, Limits, Caller);
  } catch (...) {
    Impl_->Waiters.erase(Item.Ticket);
    throw;
  }
  Impl_->Waiters.erase(Item.Ticket);
  if (End == WaitState::Run)
    return std::nullopt;
  return RefusalReason::Deadline;
}

void AdmissionGate::releaseSlot(const requests::AdmissionRequest &Item,
                                const ServiceLimits &Limits,
                                std::chrono::microseconds Held) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->release(Item, Limits, Held);
}

void AdmissionGate::recordLimit(std::optional<double> PerSecond,
                                SteadyTime SentAt) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  requests::recordStatedLimit(Impl_->State.Limit, PerSecond, SentAt,
                              steadyNow());
}

void AdmissionGate::endDrain() {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->State.Draining = false;
  Impl_->State.Limit = {};
}

void AdmissionGate::beginDrain() {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->State.Draining = true;
}

} // namespace lycheethread::proxy
