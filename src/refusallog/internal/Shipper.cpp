#include "refusallog/internal/Shipper.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <mutex>
#include <optional>

namespace lycheethread::refusallog {

namespace {

using refusals::BatchId;
using refusals::RefusalBatch;

/// Other nodes tried before the node appends its batch itself.
constexpr std::size_t MaxOthersTried = 2;
/// Time that a collector may hold a batch before the next one is tried. It
/// doubles, because in an outage of the log every collector is slow.
constexpr Milliseconds FirstPatience{15000};
constexpr Milliseconds LongestPatience{240000};

/// The batch on its way; no target means this node's own collector.
struct Delivery {
  BatchId Id;
  std::optional<Member> Target;
  SteadyTime Since;
};

} // namespace

struct Shipper::Impl {
  NodeId Self;
  ShipperDependencies Links;
  std::shared_ptr<Collector> Own;

  mutable std::mutex Lock;
  refusals::RefusalLedger Ledger;

  std::optional<Delivery> UnderWay;
  std::size_t Rank = 0;
  Milliseconds Patience = FirstPatience;

  std::shared_ptr<const RefusalBatch> takeDue(WallTime Now);
  void confirm(const BatchId &Id);
  std::optional<Member> pickTarget() const;
  ShipState ask(const std::optional<Member> &Target,
                const ShipRequest &Request) const;
  bool follow(SteadyTime Now);
  void send(const RefusalBatch &Batch, SteadyTime Now);
  void tryNext();
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
  UnderWay.reset();
  Rank = 0;
  Patience = FirstPatience;
}

std::optional<Member> Shipper::Impl::pickTarget() const {
  if (Rank >= MaxOthersTried)
    return std::nullopt;
  const std::vector<Member> Order = Links.Collectors();
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
    return decodeShipReply(Links.Call(*Target, encodeShipRequest(Request)));
  } catch (const peer::PeerUnavailable &Error) {
    BOOST_LOG_TRIVIAL(debug) << "refusals: collector " << Target->Id
                             << " did not answer: " << Error.what();
  } catch (const CodecError &Error) {
    BOOST_LOG_TRIVIAL(warning) << "refusals: collector " << Target->Id
                               << " answered nonsense: " << Error.what();
  }
  return ShipState::Unknown;
}

void Shipper::Impl::tryNext() {
  const bool WasOwn = UnderWay && !UnderWay->Target;
  UnderWay.reset();
  Rank = WasOwn ? 0 : Rank + 1;
  Patience = std::min(Patience * 2, LongestPatience);
}

/// Asks after the batch under way; returns whether it is settled.
bool Shipper::Impl::follow(SteadyTime Now) {
  const ShipState State = ask(UnderWay->Target, {UnderWay->Id, std::nullopt});
  if (State == ShipState::Stored) {
    confirm(UnderWay->Id);
    return true;
  }
  if (State == ShipState::Pending && elapsed(UnderWay->Since, Now) < Patience)
    return false;
  tryNext();
  return true;
}

void Shipper::Impl::send(const RefusalBatch &Batch, SteadyTime Now) {
  UnderWay = Delivery{Batch.Id, pickTarget(), Now};
  const ShipState State = ask(UnderWay->Target, {Batch.Id, Batch});
  if (State == ShipState::Stored)
    confirm(Batch.Id);
  else if (State != ShipState::Pending)
    tryNext();
}

Shipper::Shipper(NodeId Self, Incarnation IncarnationNumber, WallTime Now,
                 ShipperDependencies Links, std::shared_ptr<Collector> Own)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self = Self;
  Impl_->Links = std::move(Links);
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
  if (Impl_->UnderWay && !Impl_->follow(Steady))
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
        BOOST_LOG_TRIVIAL(debug) << "refusals: final batch: " << Error.what();
      }
    }
    Impl_->confirm(Batch->Id);
    Done = Batch->Final;
  }
  return true;
}

} // namespace lycheethread::refusallog
