#ifndef LYCHEETHREAD_TESTS_PLATFORM_STORESTANDIN_H
#define LYCHEETHREAD_TESTS_PLATFORM_STORESTANDIN_H

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::platformtest {

/// Implements the part of the protocol of the platform's store that nodes use:
/// keyed topics with one partition.
class StoreStandIn {
public:
  StoreStandIn();
  ~StoreStandIn();

  std::uint16_t port() const;

  /// Appends a record in the role of the operator.
  void put(const std::string &TopicName, const std::string &Key,
           const std::string &Value);
  /// Returns the newest value of the key; empty when there is none.
  std::string newest(const std::string &TopicName,
                     const std::string &Key) const;
  /// Removes a key and drops all records, so that neither the log nor the
  /// newest records show that it was there.
  void removeWithoutTrace(const std::string &TopicName, const std::string &Key);
  /// Drops all records; the newest value of each key stays readable.
  void dropHistory();
  /// Remembers the records as a copy of the store.
  void saveCopy();
  /// Comes back from that copy, in the next era; what was written since is
  /// lost, and offsets are given out again.
  void restoreCopy();
  /// Switches an outage on or off; during it, every call is answered with 503.
  void setUnavailable(bool Unavailable);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_STORESTANDIN_H
