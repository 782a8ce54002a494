#include "kernel/Kernel.h"

#include <vector>

namespace lycheethread::kernel {

struct Kernel::Impl {
  ServiceRegistry Registry;
  std::vector<Module> Modules;
  std::size_t Running = 0;
};

Kernel::Kernel() : Impl_(std::make_unique<Impl>()) {}

Kernel::~Kernel() { stop(); }

void Kernel::add(Module Added) { Impl_->Modules.push_back(std::move(Added)); }

ServiceRegistry &Kernel::registry() { return Impl_->Registry; }

void Kernel::start() {
  for (Module &Each : Impl_->Modules)
    if (Each.RegisterServices)
      Each.RegisterServices(Impl_->Registry);
  try {
    for (Module &Each : Impl_->Modules) {
      if (Each.Init)
        Each.Init(Impl_->Registry);
      ++Impl_->Running;
    }
  } catch (...) {
    stop();
    throw;
  }
}

void Kernel::stop() {
  while (Impl_->Running > 0) {
    Module &Last = Impl_->Modules[--Impl_->Running];
    if (Last.Deinit)
      Last.Deinit();
  }
}

} // namespace lycheethread::kernel
