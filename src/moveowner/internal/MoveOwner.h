#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_MOVEOWNER_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_MOVEOWNER_H

#include "moveowner/types/MoveOwnerDependencies.h"

#include <memory>
#include <string>

namespace lycheethread::moveowner {

/// Controls the moves of this node's service, and stops traffic to the new
/// version of any move that turns out to be bad. Thread-safe.
class MoveOwner {
public:
  explicit MoveOwner(MoveOwnerDependencies Dependencies);
  ~MoveOwner();

  /// Must be called twice a second.
  void tick();
  /// Handles the outcome report of a last hop. Throws BadMessage.
  void handleOutcomeReport(const std::string &Payload);
  /// Handles the rumour that a move must be stopped. Throws BadMessage.
  void handleStopNotice(const std::string &Payload);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_MOVEOWNER_H
