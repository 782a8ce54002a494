#ifndef LYCHEETHREAD_KERNEL_MODULE_H
#define LYCHEETHREAD_KERNEL_MODULE_H

#include "kernel/ServiceRegistry.h"

#include <functional>
#include <string>

namespace lycheethread::kernel {

/// The life cycle of one module; unset functions are skipped.
struct Module {
  std::string Name;
  /// Adds the module's services; must not look up those of others.
  std::function<void(ServiceRegistry &)> RegisterServices;
  /// Looks up services and starts work.
  std::function<void(ServiceRegistry &)> Init;
  /// Stops work; must not throw.
  std::function<void()> Deinit;
};

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_MODULE_H
