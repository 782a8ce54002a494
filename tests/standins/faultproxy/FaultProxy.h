#ifndef LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_FAULTPROXY_H
#define LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_FAULTPROXY_H

#include "FaultRule.h"

#include <memory>

namespace lycheethread::testfault {

/// Forwards TCP connections and datagrams in a thread of its own.
class FaultProxy {
public:
  /// Throws Poco::Exception when an address cannot be bound.
  explicit FaultProxy(const std::vector<ForwardSpec> &Forwards);
  ~FaultProxy();

  /// Sets the rules of the forward that listens on \p Listen, or of all
  /// forwards for "*"; returns false when there is none. Up is the direction
  /// towards the target.
  bool setRule(const std::string &Listen, bool Up, bool Down,
               const FaultRule &Rule);
  std::vector<ForwardTotals> totals() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_FAULTPROXY_H
