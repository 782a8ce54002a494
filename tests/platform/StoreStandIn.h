#ifndef LYCHEETHREAD_TESTS_PLATFORM_STORESTANDIN_H
#define LYCHEETHREAD_TESTS_PLATFORM_STORESTANDIN_H

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::platformtest {

/// Speaks the published protocol of the platform's store, as far as nodes use
/// it: keyed topics with one partition.
class StoreStandIn {
public:
  StoreStandIn();
  ~StoreStandIn();

  std::uint16_t port() const;

  /// Appends a record as the operator does.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  /// The newest value; empty when there is none.
  std::string newest(const std::string &Topic, const std::string &Key) const;
  /// Drops all records; the newest of each key stay readable.
  void dropHistory();
  /// Answers every call with 503 from now on, or no longer.
  void setDown(bool Down);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_STORESTANDIN_H
