#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_MOVEOWNER_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_MOVEOWNER_H

#include "moveowner/types/MoveOwnerDependencies.h"

#include <memory>
#include <string>

namespace lycheethread::moveowner {

/// Drives the moves of the node's own service and applies stops to all moves.
/// Thread-safe.
class MoveOwner {
public:
  explicit MoveOwner(MoveOwnerDependencies Ports);
  ~MoveOwner();

  /// To be called twice a second.
  void tick();
  /// Takes a report of a last hop; throws BadMessage.
  void handleOutcomeReport(const std::string &Payload);
  /// Takes a rumour; throws BadMessage.
  void handleStopNotice(const std::string &Payload);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_MOVEOWNER_H
