#ifndef LYCHEETHREAD_KERNEL_KERNEL_H
#define LYCHEETHREAD_KERNEL_KERNEL_H

/// Public header of the kernel library: module life cycle, service registry and
/// snapshots.

#include "kernel/Module.h"
#include "kernel/ServiceRegistry.h"
#include "kernel/SnapshotStore.h"
#include "kernel/types/ServiceNames.h"

#include <memory>

namespace lycheethread::kernel {

/// Runs modules. First all modules register their services, then all are
/// initialised in the order of their addition; they stop in reverse order.
class Kernel {
public:
  Kernel();
  ~Kernel();

  void add(Module Added);
  ServiceRegistry &registry();

  /// When an Init throws, stops the modules that were already initialised and
  /// rethrows the exception.
  void start();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_KERNEL_H
