#ifndef LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H
#define LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H

/// Public header of the bootstrap library: the folded configuration read from
/// the platform's log, with checkpoints where the log is trimmed.

#include "config/Config.h"
#include "streamlog/StreamLog.h"

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
void foldBatch(config::ConfigState &State, const streamlog::LogBatch &Batch,
               const Notice &Report);

/// Folds the control stream up to the head that the log names first. Throws
/// streamlog::LogUnavailable, and streamlog::LogTrimmed when the next record is
/// no longer kept.
void foldToHead(config::ConfigState &State, const streamlog::LogClient &Log,
                const Notice &Report);

/// The state at the head of the control stream: folded from the oldest record,
/// or from the newest complete checkpoint when the stream is trimmed. Throws
/// streamlog::LogUnavailable and NoCheckpoint.
config::ConfigState loadFromLog(const streamlog::LogClient &Log,
                                const Notice &Report);

/// The complete checkpoint with the highest position from \p AtLeast up to
/// \p AtMost. Throws streamlog::LogUnavailable.
std::optional<config::ConfigState>
findCheckpoint(const streamlog::LogClient &Log, Offset AtLeast, Offset AtMost,
               const Notice &Report);

/// Appends the parts of a checkpoint and returns the notice for the control
/// stream, which the caller appends. Throws streamlog::LogUnavailable; the
/// parts that were appended before it have no effect.
CheckpointNotice storeCheckpoint(const streamlog::LogClient &Log,
                                 const config::ConfigState &State);

} // namespace lycheethread::bootstrap

#endif // LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H
