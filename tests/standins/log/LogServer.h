#ifndef LYCHEETHREAD_TESTS_STANDINS_LOG_LOGSERVER_H
#define LYCHEETHREAD_TESTS_STANDINS_LOG_LOGSERVER_H

#include "LogStore.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::testlog {

/// Serves a LogStore over HTTP; see docs/design.md, section 9.
class LogServer {
public:
  /// Listens on \p Address ("ip:port"; port 0 selects a free port).
  LogServer(const std::string &Address, std::size_t RetainRecords);
  /// Ends long polls and waits until the requests in progress are complete.
  ~LogServer();

  std::uint16_t port() const;
  LogStore &store();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::testlog

#endif // LYCHEETHREAD_TESTS_STANDINS_LOG_LOGSERVER_H
