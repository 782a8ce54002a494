#ifndef LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H
#define LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H

/// Public header of the bootstrap library: the folded configuration read from
/// the platform's log, with checkpoints where the log is trimmed.

#include "config/Config.h"
#include "platform/Platform.h"

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace lycheethread::bootstrap {

/// Documents, leases and move decisions.
const StreamName &controlStream();
/// Parts of checkpoints, as made by config::makeCheckpoint.
const StreamName &checkpointStream();

/// The control stream is trimmed and no complete checkpoint covers the gap.
class NoCheckpoint : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Takes one line about a record or part that was passed over.
using Notice = std::function<void(const std::string &)>;

/// Folds the records of \p Batch; one that does not decode is reported and has
/// no effect.
void foldBatch(config::ConfigState &State, const platform::LogBatch &Batch,
               const Notice &Report);

/// Folds the control stream up to the head that the log names first. Throws
/// platform::LogUnavailable, and platform::LogTrimmed when the next record is
/// no longer kept.
void foldToHead(config::ConfigState &State, const platform::LogClient &Log,
                const Notice &Report);

/// The state at the head of the control stream: folded from the oldest record,
/// or from the newest complete checkpoint when the stream is trimmed. Throws
/// platform::LogUnavailable and NoCheckpoint.
config::ConfigState loadFromLog(const platform::LogClient &Log,
                                const Notice &Report);

/// The complete checkpoint with the highest position from \p AtLeast up to
/// \p AtMost. Throws platform::LogUnavailable.
std::optional<config::ConfigState>
findCheckpoint(const platform::LogClient &Log, Offset AtLeast, Offset AtMost,
               const Notice &Report);

/// Appends the parts of a checkpoint and returns the notice for the control
/// stream, which the caller appends. Throws platform::LogUnavailable; the parts
/// that were appended before it have no effect.
CheckpointNotice storeCheckpoint(const platform::LogClient &Log,
                                 const config::ConfigState &State);

} // namespace lycheethread::bootstrap

#endif // LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H
