#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPPER_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPPER_H

#include "peer/types/PeerControl.h"
#include "refusallog/internal/Collector.h"

#include <functional>
#include <memory>
#include <vector>

namespace lycheethread::refusallog {

/// What the shipper needs from the node around it.
struct ShipperDependencies {
  /// Collectors to try, best first.
  std::function<std::vector<Member>()> Collectors;
  /// PeerControl.Call with the topic of refusals; throws PeerUnavailable.
  std::function<std::string(const Member &Target, const std::string &Payload)>
      Call;
};

/// Counts the refusals of this node and brings them to a collector. Add and
/// unshipped may be called from every thread, tick and finish from one.
class Shipper {
public:
  Shipper(NodeId Self, Incarnation IncarnationNumber, WallTime Now,
          ShipperDependencies Links, std::shared_ptr<Collector> Own);
  ~Shipper();

  void add(const Refusal &Item);
  /// Refusals not known to be in the log.
  std::int64_t unshipped() const;

  /// Takes one step: asks after the batch on its way, or sends the next one.
  void tick(WallTime Wall, SteadyTime Steady);

  /// Puts everything, with a final batch, into the log without the help of
  /// other nodes. Returns false when \p KeepRunning ended it first.
  bool finish(WallTime Now, const std::function<bool()> &KeepRunning);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPPER_H
