#ifndef LYCHEETHREAD_REACTOR_TYPES_TCPSTREAM_H
#define LYCHEETHREAD_REACTOR_TYPES_TCPSTREAM_H

#include "reactor/types/EventLoop.h"

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lycheethread::reactor {

/// How a connection came to its end.
enum class StreamEnd {
  /// The peer closed its side in order.
  Closed,
  /// Reset, timed out or failed in another way.
  Failed,
  /// The peer refused the connection, or it was not established in time.
  NotConnected,
};

/// One non-blocking TCP connection with buffers on both sides. Callbacks stop
/// with close(); the owner keeps the object alive as long as it wants them.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
  struct Callbacks {
    /// The connection that connect() asked for is established.
    std::function<void()> OnConnected;
    /// input() has grown.
    std::function<void()> OnInput;
    /// Everything that was written has gone to the system.
    std::function<void()> OnSent;
    /// The peer closed its side, or the connection failed. Input that came
    /// before is in input().
    std::function<void(StreamEnd)> OnEnd;
  };

  /// An accepted connection.
  static std::shared_ptr<TcpStream> adopt(EventLoop &Loop,
                                          Poco::Net::StreamSocket Socket);
  /// Starts to connect; the result arrives by OnConnected or OnEnd.
  static std::shared_ptr<TcpStream>
  connect(EventLoop &Loop, const Endpoint &Target, Milliseconds Timeout);

  ~TcpStream();

  void setCallbacks(Callbacks Used);
  bool isOpen() const;
  bool isConnected() const;
  /// Bytes received and not yet taken; the owner erases what it has used.
  std::string &input();
  void write(std::string_view Data);
  /// Bytes written that the system has not taken yet.
  std::size_t unsentBytes() const;
  /// Stops or resumes reading, so that a fast sender is slowed by TCP.
  void setReadingPaused(bool Paused);

  void close();
  /// Sends what was written, then closes once the peer has closed too or a
  /// short time has passed: closing with unread input would reset the
  /// connection and could destroy an answer on its way.
  void closeGracefully();

private:
  TcpStream(EventLoop &Loop, Poco::Net::StreamSocket Socket);
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::reactor

#endif // LYCHEETHREAD_REACTOR_TYPES_TCPSTREAM_H
