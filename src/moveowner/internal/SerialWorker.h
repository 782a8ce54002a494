#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_SERIALWORKER_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_SERIALWORKER_H

#include <functional>
#include <memory>

namespace lycheethread::moveowner {

/// A thread that runs one job at a time and keeps no queue: a job that comes
/// too late to be useful is not worth keeping.
class SerialWorker {
public:
  SerialWorker();
  /// Waits for the job in progress.
  ~SerialWorker();

  /// False when a job is waiting or in progress. Thread-safe.
  bool offer(std::function<void()> Job);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_SERIALWORKER_H
