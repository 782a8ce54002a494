#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_SERIALWORKER_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_SERIALWORKER_H

#include <functional>
#include <memory>

namespace lycheethread::moveowner {

/// Thread that runs one job at a time. It has no queue, because a queued job
/// would be obsolete by the time it runs.
class SerialWorker {
public:
  SerialWorker();
  /// Waits for the job in progress.
  ~SerialWorker();

  /// Starts \p Job. Returns false when another job is waiting or in progress.
  /// Thread-safe.
  bool offer(std::function<void()> Job);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_SERIALWORKER_H
