#ifndef LYCHEETHREAD_PROXY_INTERNAL_NODESERVICES_H
#define LYCHEETHREAD_PROXY_INTERNAL_NODESERVICES_H

#include "kernel/Kernel.h"
#include "metrics/types/RequestSample.h"
#include "peer/types/PeerControl.h"
#include "proxy/types/OutcomeAccumulator.h"
#include "refusals/types/RefusalSink.h"
#include "requests/Requests.h"
#include "settings/Settings.h"
#include "streamlog/StreamLog.h"

#include <memory>

namespace lycheethread::proxy {

/// Services of the other modules that the proxy uses.
struct NodeServices {
  std::shared_ptr<settings::NodeSettings> Settings;
  std::shared_ptr<kernel::SnapshotStore<requests::RoutingView>> View;
  std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>> StoppedMoves;
  std::shared_ptr<refusals::RefusalSink> Refusals;
  std::shared_ptr<metrics::RequestRecorder> Metrics;
  std::shared_ptr<peer::PeerControl> Peers;
  std::shared_ptr<streamlog::LogClient> Log;
  std::shared_ptr<OutcomeAccumulator> LastHopOutcomes;
  std::shared_ptr<OutcomeAccumulator> EntryOutcomes;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_NODESERVICES_H
