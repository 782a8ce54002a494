#ifndef LYCHEETHREAD_REACTOR_TYPES_TCPSTREAM_H
#define LYCHEETHREAD_REACTOR_TYPES_TCPSTREAM_H

#include "reactor/types/EventLoop.h"

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lycheethread::reactor {

/// How a connection ended.
enum class StreamEnd {
  /// The peer closed its side in an orderly way.
  Closed,
  /// Reset, timed out or failed in another way.
  Failed,
  /// The peer refused the connection, or it was not established in time.
  NotConnected,
};

/// A non-blocking TCP connection with input and output buffers. Callbacks end
/// with close(); the owner must keep the object alive to receive them.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
  struct Callbacks {
    /// The connection started by connect() is established.
    std::function<void()> OnConnected;
    /// New data is in input().
    std::function<void()> OnInput;
    /// All written data was passed to the kernel.
    std::function<void()> OnSent;
    /// The peer closed its side, or the connection failed. Data received before
    /// is in input().
    std::function<void(StreamEnd)> OnEnd;
  };

  /// Takes over an accepted connection.
  static std::shared_ptr<TcpStream> adopt(EventLoop &Loop,
                                          Poco::Net::StreamSocket Socket);
  /// Starts to connect; reports the result through OnConnected or OnEnd.
  static std::shared_ptr<TcpStream>
  connect(EventLoop &Loop, const Endpoint &Target, Milliseconds Timeout);

  ~TcpStream();

  void setCallbacks(Callbacks NewCallbacks);
  bool isOpen() const;
  bool isConnected() const;
  /// Whether the peer has closed its side; data received before may still be
  /// in input() or unread.
  bool hasPeerClosed() const;
  /// Whether received data waits in the kernel.
  bool hasUnreadData() const;
  /// Received data; the owner erases what it has consumed.
  std::string &input();
  void write(std::string_view Data);
  /// Returns the number of written bytes that the kernel has not accepted yet.
  std::size_t unsentBytes() const;
  /// Pauses or resumes reading, so that TCP flow control slows a fast sender.
  void setReadingPaused(bool Paused);

  /// Lets the connection end with a reset, also if the process ends, unless
  /// closeGracefully() has sent all data: the peer must not take what it has
  /// received for all.
  void setResetOnClose();

  /// Waits \p Longest, or the default time if that is longer, for a peer that
  /// acknowledges nothing.
  void setPatience(Milliseconds Longest);

  void close();
  /// Sends the written data, then closes once the peer has closed too or a
  /// timeout has passed (lingering close). Closing with unread input would
  /// reset the connection and could discard an answer before the peer has read
  /// it.
  void closeGracefully();

private:
  TcpStream(EventLoop &Loop, Poco::Net::StreamSocket Socket);
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::reactor

#endif // LYCHEETHREAD_REACTOR_TYPES_TCPSTREAM_H
