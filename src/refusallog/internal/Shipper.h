#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPPER_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPPER_H

#include "peer/types/PeerControl.h"
#include "refusallog/internal/Collector.h"

#include <functional>
#include <memory>
#include <vector>

namespace lycheethread::refusallog {

/// Functions of the node that the shipper calls.
struct ShipperDependencies {
  /// Returns the collectors to try, in order.
  std::function<std::vector<Member>()> Collectors;
  /// Calls a peer with the topic of refusals. Throws PeerUnavailable.
  std::function<std::string(const Member &Target, const std::string &Payload)>
      Call;
};

/// Counts the refusals of this node and sends them to a collector. add() and
/// unshipped() may be called from any thread, tick() and finish() only from one
/// thread.
class Shipper {
public:
  Shipper(NodeId Self, Incarnation IncarnationNumber, WallTime Now,
          ShipperDependencies Dependencies, std::shared_ptr<Collector> Own);
  ~Shipper();

  void add(const Refusal &Item);
  /// Returns the number of refusals not confirmed to be in the log.
  std::int64_t unshipped() const;

  /// Queries the state of the batch in progress, or sends the next batch.
  void tick(WallTime Wall, SteadyTime Steady);

  /// Stores all refusals in the log, ending with a final batch, without the
  /// help of other nodes. Stops early and returns false when \p KeepRunning
  /// returns false.
  bool finish(WallTime Now, const std::function<bool()> &KeepRunning);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPPER_H
