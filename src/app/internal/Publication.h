#ifndef LYCHEETHREAD_APP_INTERNAL_PUBLICATION_H
#define LYCHEETHREAD_APP_INTERNAL_PUBLICATION_H

#include "config/Config.h"
#include "streamlog/StreamLog.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace lycheethread::app {

/// What is known about a publication when its time is up.
struct PublicationResult {
  /// Empty when no verdict could be read.
  std::optional<config::PublishResult> Verdict;
  /// The moves as they are when the verdict is read.
  moves::MoveTable Moves;
  /// Whether an append was tried, so that the record may be in the log.
  bool Sent = false;
  /// Why there is no verdict.
  std::string Problem;
};

/// Appends \p Item and folds the control stream until its verdict appears or
/// \p Latest has passed. The answer to the append is not relied on: when it is
/// lost, the stream is read to its head and the same record is appended again
/// if it is not there, which folds it once.
PublicationResult
publishRecord(const streamlog::LogClient &Log, const Record &Item,
              std::chrono::steady_clock::time_point Latest,
              const std::function<void(const std::string &)> &Report);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_PUBLICATION_H
