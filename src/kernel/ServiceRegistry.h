#ifndef LYCHEETHREAD_KERNEL_SERVICEREGISTRY_H
#define LYCHEETHREAD_KERNEL_SERVICEREGISTRY_H

#include <memory>
#include <stdexcept>
#include <string>
#include <typeindex>

namespace lycheethread::kernel {

/// A service is missing, is registered twice, or has another type.
class RegistryError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Maps names to shared service objects. Thread-safe.
class ServiceRegistry {
public:
  ServiceRegistry();
  ~ServiceRegistry();

  /// Throws RegistryError when \p Name is already registered.
  template <typename T>
  void add(const std::string &Name, std::shared_ptr<T> Service) {
    addErased(Name, std::move(Service), typeid(T));
  }

  /// Throws RegistryError when \p Name is not registered or not a \p T.
  template <typename T> std::shared_ptr<T> find(const std::string &Name) const {
    return std::static_pointer_cast<T>(findErased(Name, typeid(T)));
  }

private:
  void addErased(const std::string &Name, std::shared_ptr<void> Service,
                 std::type_index Type);
  std::shared_ptr<void> findErased(const std::string &Name,
                                   std::type_index Type) const;

  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_SERVICEREGISTRY_H
