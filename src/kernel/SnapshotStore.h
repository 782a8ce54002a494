#ifndef LYCHEETHREAD_KERNEL_SNAPSHOTSTORE_H
#define LYCHEETHREAD_KERNEL_SNAPSHOTSTORE_H

#include <memory>
#include <mutex>
#include <utility>

namespace lycheethread::kernel {

/// Holds the current version of an immutable value. A reader keeps the version
/// that it loaded. Thread-safe.
template <typename T> class SnapshotStore {
public:
  explicit SnapshotStore(std::shared_ptr<const T> First = nullptr)
      : Current_(std::move(First)) {}

  std::shared_ptr<const T> load() const {
    const std::lock_guard<std::mutex> Guard(Lock_);
    return Current_;
  }

  void store(std::shared_ptr<const T> Next) {
    const std::lock_guard<std::mutex> Guard(Lock_);
    Current_.swap(Next);
  }

private:
  mutable std::mutex Lock_;
  std::shared_ptr<const T> Current_;
};

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_SNAPSHOTSTORE_H
