#ifndef LYCHEETHREAD_KERNEL_MODULE_H
#define LYCHEETHREAD_KERNEL_MODULE_H

#include "kernel/ServiceRegistry.h"

#include <functional>
#include <string>

namespace lycheethread::kernel {

/// Life cycle functions of one module; unset functions are skipped.
struct Module {
  std::string Name;
  /// Adds the services of the module; must not look up services of others.
  std::function<void(ServiceRegistry &)> RegisterServices;
  /// Looks up services and starts the module.
  std::function<void(ServiceRegistry &)> Init;
  /// Stops the module; must not throw.
  std::function<void()> Deinit;
};

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_MODULE_H
