#include "kernel/ServiceRegistry.h"

#include <map>
#include <mutex>

namespace lycheethread::kernel {

namespace {

struct Entry {
  std::shared_ptr<void> Service;
  std::type_index Type;
};

} // namespace

struct ServiceRegistry::Impl {
  mutable std::mutex Lock;
  std::map<std::string, Entry> Entries;
};

ServiceRegistry::ServiceRegistry() : Impl_(std::make_unique<Impl>()) {}

ServiceRegistry::~ServiceRegistry() = default;

void ServiceRegistry::addErased(const std::string &Name,
                                std::shared_ptr<void> Service,
                                std::type_index Type) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  if (!Impl_->Entries.emplace(Name, Entry{std::move(Service), Type}).second)
    throw RegistryError("service \"" + Name + "\" is registered twice");
}

std::shared_ptr<void> ServiceRegistry::findErased(const std::string &Name,
                                                  std::type_index Type) const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  const auto It = Impl_->Entries.find(Name);
  if (It == Impl_->Entries.end())
    throw RegistryError("service \"" + Name + "\" is not registered");
  if (It->second.Type != Type)
    throw RegistryError("service \"" + Name + "\" has another type");
  return It->second.Service;
}

} // namespace lycheethread::kernel
