#include "refusallog/internal/Shipper.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <mutex>
#include <optional>

namespace lycheethread::refusallog {

namespace {

using refusals::BatchId;
using refusals::RefusalBatch;

/// Number of other nodes to try before the node appends its batch itself.
constexpr std::size_t MaxOthersTried = 2;
/// Time that a collector may hold a batch before the next collector is tried.
/// It doubles with each try, because every collector is slow while the log is
/// unavailable.
constexpr Milliseconds InitialTimeout{15000};
constexpr Milliseconds MaxTimeout{240000};

/// The batch in progress. Without a target, it is at this node's own collector.
struct Delivery {
  BatchId Id;
  std::optional<Member> Target;
  SteadyTime Since;
};

} // namespace

struct Shipper::Impl {
  NodeId Self;
  ShipperDependencies Dependencies;
  std::shared_ptr<Collector> Own;

  mutable std::mutex Lock;
  refusals::RefusalLedger Ledger;

  std::optional<Delivery> InProgress;
  std::size_t Rank = 0;
  Milliseconds Timeout = InitialTimeout;

  std::shared_ptr<const RefusalBatch> takeDue(WallTime Now);
  void confirm(const BatchId &Id);
  std::optional<Member> pickTarget() const;
  ShipState ask(const std::optional<Member> &Target,
                const ShipRequest &Request) const;
  bool checkProgress(SteadyTime Now);
  void send(const RefusalBatch &Batch, SteadyTime Now);
  void selectNextTarget();
};

std::shared_ptr<const RefusalBatch> Shipper::Impl::takeDue(WallTime Now) {
  const std::lock_guard<std::mutex> Guard(Lock);
  if (!refusals::batchDue(Ledger, Now))
    return nullptr;
  return refusals::takeBatch(Ledger, Now, false);
}

void Shipper::Impl::confirm(const BatchId &Id) {
  const std::lock_guard<std::mutex> Guard(Lock);
  refusals::confirmBatch(Ledger, Id);
  InProgress.reset();
  Rank = 0;
  Timeout = InitialTimeout;
}

std::optional<Member> Shipper::Impl::pickTarget() const {
  if (Rank >= MaxOthersTried)
    return std::nullopt;
  const std::vector<Member> Order = Dependencies.Collectors();
  if (Rank >= Order.size() || Order[Rank].Id == Self)
    return std::nullopt;
  return Order[Rank];
}

ShipState Shipper::Impl::ask(const std::optional<Member> &Target,
                             const ShipRequest &Request) const {
  if (!Target)
    return Request.Batch ? Own->accept(*Request.Batch)
                         : Own->stateOf(Request.Id);
  try {
    return decodeShipReply(
        Dependencies.Call(*Target, encodeShipRequest(Request)));
  } catch (const peer::PeerUnavailable &Error) {
    BOOST_LOG_TRIVIAL(debug) << "refusals: collector " << Target->Id
                             << " did not reply: " << Error.what();
  } catch (const CodecError &Error) {
    BOOST_LOG_TRIVIAL(warning) << "refusals: collector " << Target->Id
                               << " sent an invalid reply: " << Error.what();
  }
  return ShipState::Unknown;
}

void Shipper::Impl::selectNextTarget() {
  const bool WasOwn = InProgress && !InProgress->Target;
  InProgress.reset();
  Rank = WasOwn ? 0 : Rank + 1;
  Timeout = std::min(Timeout * 2, MaxTimeout);
}

/// Queries the state of the batch in progress. Returns false while the
/// collector still holds it.
bool Shipper::Impl::checkProgress(SteadyTime Now) {
  const ShipState State =
      ask(InProgress->Target, {InProgress->Id, std::nullopt});
  if (State == ShipState::Stored) {
    confirm(InProgress->Id);
    return true;
  }
  if (State == ShipState::Pending && elapsed(InProgress->Since, Now) < Timeout)
    return false;
  selectNextTarget();
  return true;
}

void Shipper::Impl::send(const RefusalBatch &Batch, SteadyTime Now) {
  InProgress = Delivery{Batch.Id, pickTarget(), Now};
  const ShipState State = ask(InProgress->Target, {Batch.Id, Batch});
  if (State == ShipState::Stored)
    confirm(Batch.Id);
  else if (State != ShipState::Pending)
    selectNextTarget();
}

Shipper::Shipper(NodeId Self, Incarnation IncarnationNumber, WallTime Now,
                 ShipperDependencies Dependencies,
                 std::shared_ptr<Collector> Own)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self = Self;
  Impl_->Dependencies = std::move(Dependencies);
  Impl_->Own = std::move(Own);
  Impl_->Ledger = refusals::makeLedger(std::move(Self), IncarnationNumber, Now);
}

Shipper::~Shipper() = default;

void Shipper::add(const Refusal &Item) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  refusals::addRefusal(Impl_->Ledger, Item);
}

std::int64_t Shipper::unshipped() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  const auto &Taken = Impl_->Ledger.Unconfirmed;
  return Impl_->Ledger.OpenTotal + (Taken ? Taken->Total : 0);
}

void Shipper::tick(WallTime Wall, SteadyTime Steady) {
  if (Impl_->InProgress && !Impl_->checkProgress(Steady))
    return;
  if (const auto Batch = Impl_->takeDue(Wall))
    Impl_->send(*Batch, Steady);
}

bool Shipper::finish(WallTime Now, const std::function<bool()> &KeepRunning) {
  bool Done = false;
  while (!Done) {
    std::shared_ptr<const RefusalBatch> Batch;
    {
      const std::lock_guard<std::mutex> Guard(Impl_->Lock);
      Batch = refusals::takeBatch(Impl_->Ledger, Now, true);
    }
    while (Impl_->Own->accept(*Batch) != ShipState::Stored) {
      if (!KeepRunning())
        return false;
      try {
        Impl_->Own->step();
      } catch (const streamlog::LogUnavailable &Error) {
        BOOST_LOG_TRIVIAL(debug)
            << "refusals: cannot append the final batch: " << Error.what();
      }
    }
    Impl_->confirm(Batch->Id);
    Done = Batch->Final;
  }
  return true;
}

} // namespace lycheethread::refusallog
