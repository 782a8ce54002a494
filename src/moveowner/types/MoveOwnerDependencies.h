#ifndef LYCHEETHREAD_MOVEOWNER_TYPES_MOVEOWNERDEPENDENCIES_H
#define LYCHEETHREAD_MOVEOWNER_TYPES_MOVEOWNERDEPENDENCIES_H

#include "config/types/ConfigState.h"
#include "kernel/SnapshotStore.h"
#include "model/Model.h"
#include "moves/Moves.h"
#include "peer/types/PeerControl.h"
#include "proxy/types/OutcomeAccumulator.h"
#include "streamlog/types/LogClient.h"

#include <functional>
#include <memory>
#include <vector>

namespace lycheethread::moveowner {

/// Starts a job on another thread. Returns false when the previous job is still
/// running.
using Post = std::function<bool(std::function<void()> Job)>;

/// External dependencies of the module, which tests replace with fakes.
struct MoveOwnerDependencies {
  std::shared_ptr<kernel::SnapshotStore<config::ConfigState>> Config;
  std::shared_ptr<kernel::SnapshotStore<std::vector<Member>>> Members;
  std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>> StoppedMoves;
  std::shared_ptr<peer::PeerControl> Peers;
  std::shared_ptr<streamlog::LogClient> Log;
  std::shared_ptr<proxy::OutcomeAccumulator> LastHop;
  std::shared_ptr<proxy::OutcomeAccumulator> Entry;
  std::function<std::string(const Record &)> Encode;
  std::function<WallTime()> WallNow;
  std::function<SteadyTime()> SteadyNow;
  /// Separate threads, because an append can block for seconds and must not
  /// delay calls to peers.
  Post PostToLog;
  Post PostToPeers;
};

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_TYPES_MOVEOWNERDEPENDENCIES_H
