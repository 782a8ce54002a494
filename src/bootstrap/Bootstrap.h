#ifndef LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H
#define LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H

/// Public header of the bootstrap library: loads the configuration from the
/// platform's log, starting from a checkpoint if the log is trimmed.

#include "config/Config.h"
#include "streamlog/StreamLog.h"

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace lycheethread::bootstrap {

/// Stream of documents, leases and move decisions.
const StreamName &controlStream();
/// Stream of the parts of checkpoints that config::makeCheckpoint returns.
const StreamName &checkpointStream();

/// Thrown if the control stream is trimmed and no complete checkpoint covers
/// the missing records.
class NoCheckpoint : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Receives a warning about a record or checkpoint that was skipped.
using Notice = std::function<void(const std::string &)>;

/// Applies the records of \p Batch to \p State. A record that cannot be decoded
/// is reported and has no effect.
void foldBatch(config::ConfigState &State, const streamlog::LogBatch &Batch,
               const Notice &Report);

/// Applies the records of the control stream up to the head that the first read
/// returns. Throws streamlog::LogUnavailable, and streamlog::LogTrimmed if the
/// next record is no longer kept.
void foldToHead(config::ConfigState &State, const streamlog::LogClient &Log,
                const Notice &Report);

/// Returns the state at the head of the control stream. It is built from the
/// oldest record, or from the newest complete checkpoint if the stream is
/// trimmed. Throws streamlog::LogUnavailable and NoCheckpoint.
config::ConfigState loadFromLog(const streamlog::LogClient &Log,
                                const Notice &Report);

/// Returns the complete checkpoint with the highest position in
/// [AtLeast, AtMost], if any. Throws streamlog::LogUnavailable.
std::optional<config::ConfigState>
findCheckpoint(const streamlog::LogClient &Log, Offset AtLeast, Offset AtMost,
               const Notice &Report);

/// Appends the parts of a checkpoint and returns its notice, which the caller
/// appends to the control stream. Throws streamlog::LogUnavailable; parts that
/// were appended before the exception have no effect.
CheckpointNotice storeCheckpoint(const streamlog::LogClient &Log,
                                 const config::ConfigState &State);

} // namespace lycheethread::bootstrap

#endif // LYCHEETHREAD_BOOTSTRAP_BOOTSTRAP_H
