#ifndef LYCHEETHREAD_PEER_INTERNAL_CHECKPOINTS_H
#define LYCHEETHREAD_PEER_INTERNAL_CHECKPOINTS_H

#include "peer/internal/ControlFold.h"
#include "platform/types/LogClient.h"

#include <optional>

namespace lycheethread::peer {

/// Newest complete checkpoint of the checkpoints stream at or above
/// \p AtLeast. Throws LogUnavailable.
std::optional<config::ConfigState>
restoreFromLog(const platform::LogClient &Log, const ControlFold &Fold,
               Offset AtLeast);

/// Appends \p State in parts and its notice to the control stream. The
/// header's sequence is replaced by the position. Throws LogUnavailable.
void writeCheckpointToLog(const platform::LogClient &Log,
                          const ControlFold &Fold,
                          const config::ConfigState &State,
                          RecordHeader Header);

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_CHECKPOINTS_H
