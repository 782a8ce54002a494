#ifndef LYCHEETHREAD_KERNEL_KERNEL_H
#define LYCHEETHREAD_KERNEL_KERNEL_H

/// Public header of the kernel library.

#include "kernel/Module.h"
#include "kernel/ServiceRegistry.h"
#include "kernel/SnapshotStore.h"
#include "kernel/types/ServiceNames.h"

#include <memory>

namespace lycheethread::kernel {

/// Runs modules: all register, then all init in order; deinit in reverse.
class Kernel {
public:
  Kernel();
  ~Kernel();

  void add(Module Added);
  ServiceRegistry &registry();

  /// When an init throws, the modules already up are shut down again and the
  /// exception goes on to the caller.
  void start();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_KERNEL_H
