#include "proxy/internal/AdmissionGate.h"
#include "proxy/internal/Clock.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace lycheethread::proxy {

namespace {

/// How often a waiting request looks whether its caller has gone.
constexpr Milliseconds CallerCheck{20};

enum class Turn { Waiting, Run, Drop };

struct Waiter {
  std::condition_variable Changed;
  Turn State = Turn::Waiting;
};

} // namespace

struct AdmissionGate::Impl {
  std::mutex Lock;
  requests::AdmissionState State;
  std::map<std::int64_t, Waiter *> Waiters;
  std::int64_t LastTicket = 0;

  void wake(std::int64_t Ticket, Turn Next) {
    const auto It = Waiters.find(Ticket);
    if (It == Waiters.end())
      return;
    It->second->State = Next;
    It->second->Changed.notify_one();
  }

  void giveBack(const requests::AdmissionRequest &Item,
                const ServiceLimits &Limits, std::chrono::microseconds Held) {
    const requests::ReleaseActions Next =
        requests::release(State, Limits, Item, Held, steadyNow());
    for (const std::int64_t Ticket : Next.Run)
      wake(Ticket, Turn::Run);
    for (const std::int64_t Ticket : Next.Drop)
      wake(Ticket, Turn::Drop);
  }

  Turn waitForTurn(std::unique_lock<std::mutex> &Guard, Waiter &Own,
                   const requests::AdmissionRequest &Item,
                   const HttpConnection &Caller) {
    while (Own.State == Turn::Waiting) {
      if (Own.Changed.wait_for(Guard, CallerCheck) ==
          std::cv_status::no_timeout)
        continue;
      if (Own.State != Turn::Waiting)
        break;
      const bool Late = timeLeft(Item.Deadline) <= Milliseconds(0);
      const bool Gone = !Late && Caller.hasPeerClosed();
      if (!Late && !Gone)
        continue;
      requests::removeQueued(State, Item.Ticket);
      if (Gone)
        throw CallerDisconnected("the caller left the queue");
      return Turn::Drop;
    }
    return Own.State;
  }
};

AdmissionGate::AdmissionGate() : Impl_(std::make_unique<Impl>()) {}

AdmissionGate::~AdmissionGate() = default;

std::optional<RefusalReason>
AdmissionGate::enter(requests::AdmissionRequest &Item,
                     const ServiceLimits &Limits,
                     const HttpConnection &Caller) {
  std::unique_lock<std::mutex> Guard(Impl_->Lock);
  Item.Ticket = ++Impl_->LastTicket;
  const requests::AdmitDecision Verdict =
      requests::admit(Impl_->State, Limits, Item, steadyNow());
  if (Verdict.Action == requests::AdmitAction::Run)
    return std::nullopt;
  if (Verdict.Action == requests::AdmitAction::Refuse)
    return Verdict.Reason;
  Waiter Own;
  Impl_->Waiters[Item.Ticket] = &Own;
  Turn End = Turn::Drop;
  try {
    End = Impl_->waitForTurn(Guard, Own, Item, Caller);
  } catch (...) {
    Impl_->Waiters.erase(Item.Ticket);
    throw;
  }
  Impl_->Waiters.erase(Item.Ticket);
  if (End == Turn::Run)
    return std::nullopt;
  return RefusalReason::Deadline;
}

void AdmissionGate::leave(const requests::AdmissionRequest &Item,
                          const ServiceLimits &Limits,
                          std::chrono::microseconds Held) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->giveBack(Item, Limits, Held);
}

void AdmissionGate::beginDrain() {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->State.Draining = true;
}

} // namespace lycheethread::proxy
