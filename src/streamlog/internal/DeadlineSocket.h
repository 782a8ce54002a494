#ifndef LYCHEETHREAD_STREAMLOG_INTERNAL_DEADLINESOCKET_H
#define LYCHEETHREAD_STREAMLOG_INTERNAL_DEADLINESOCKET_H

#include <Poco/Net/StreamSocketImpl.h>

#include <chrono>

namespace lycheethread::streamlog {

using Deadline = std::chrono::steady_clock::time_point;

/// TCP socket whose operations all end by one deadline. POCO's timeouts apply
/// to each operation, so a peer that sends one byte at a time could otherwise
/// keep a call open forever.
class DeadlineSocket : public Poco::Net::StreamSocketImpl {
public:
  void setDeadline(Deadline Latest);

  using StreamSocketImpl::connect;
  using StreamSocketImpl::receiveBytes;
  using StreamSocketImpl::sendBytes;
  void connect(const Poco::Net::SocketAddress &Address,
               const Poco::Timespan &Timeout) override;
  int sendBytes(const void *Buffer, int Length, int Flags) override;
  int receiveBytes(void *Buffer, int Length, int Flags) override;

protected:
  ~DeadlineSocket() override;

private:
  /// Throws Poco::TimeoutException after the deadline.
  Poco::Timespan remaining() const;

  Deadline Latest_ = Deadline::max();
};

} // namespace lycheethread::streamlog

#endif // LYCHEETHREAD_STREAMLOG_INTERNAL_DEADLINESOCKET_H
