#ifndef LYCHEETHREAD_APP_INTERNAL_PUBLICATION_H
#define LYCHEETHREAD_APP_INTERNAL_PUBLICATION_H

#include "config/Config.h"
#include "streamlog/StreamLog.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace lycheethread::app {

/// Outcome of a publication, as far as it is known at the deadline.
struct PublicationResult {
  /// Empty when no verdict was read before the deadline.
  std::optional<config::PublishResult> Verdict;
  /// The moves at the time when the verdict was read.
  moves::MoveTable Moves;
  /// Whether an append was attempted, so that the record may be in the log.
  bool AppendAttempted = false;
  /// The last error; the reason when there is no verdict.
  std::string Problem;
};

/// Appends \p Item to the control stream and folds the stream until the verdict
/// on the record appears or \p Deadline has passed. A lost response to the
/// append is tolerated: the stream is read to its head, and the same record is
/// appended again if it is not there. A record that was appended twice is
/// folded only once, because it keeps its identity.
PublicationResult
publishRecord(const streamlog::LogClient &Log, const Record &Item,
              std::chrono::steady_clock::time_point Deadline,
              const std::function<void(const std::string &)> &Report);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_PUBLICATION_H
