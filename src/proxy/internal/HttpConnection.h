#ifndef LYCHEETHREAD_PROXY_INTERNAL_HTTPCONNECTION_H
#define LYCHEETHREAD_PROXY_INTERNAL_HTTPCONNECTION_H

#include "http/Http.h"
#include "model/Model.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lycheethread::proxy {

/// The peer closed or reset the connection, or its message is truncated.
class ConnectionBroken : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The deadline passed before the operation was complete.
class ConnectionTimeout : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The caller closed its connection before its request was complete.
class CallerDisconnected : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

using http::BadMessage;
using http::bodyFraming;
using http::copyEndToEndHeaders;
using http::Framing;
using http::FramingKind;
using http::MaxHeadBytes;
using http::parseRequest;
using http::parseResponse;
using http::serialize;
using http::setFraming;

/// TCP connection with a read buffer. The session streams of POCO 1.11 report a
/// truncated body as complete, so the framing is parsed by this library and
/// POCO parses only the heads.
class HttpConnection {
public:
  explicit HttpConnection(Poco::Net::StreamSocket Socket);

  /// Connects with TCP_NODELAY. Throws ConnectionBroken or ConnectionTimeout.
  static HttpConnection connect(const Endpoint &Target, SteadyTime Deadline);

  /// Waits until there is input or the peer closes the connection. Returns
  /// false if \p Deadline passes first.
  bool waitForInput(SteadyTime Deadline);

  /// Like waitForInput, but throws CallerDisconnected if \p Caller disconnects
  /// in the meantime and ConnectionTimeout at the deadline.
  void waitForInput(SteadyTime Deadline, const HttpConnection &Caller);

  /// Reads a message head including its empty line. The result is valid until
  /// the next read. Throws BadMessage, ConnectionBroken or ConnectionTimeout.
  std::string_view readHead(SteadyTime Deadline);

  /// Reads 1 to \p Size bytes; returns 0 if the peer has closed the connection.
  std::size_t readSome(char *To, std::size_t Size, SteadyTime Deadline);

  /// Reads a line of at most \p Max bytes; returns it without its CRLF.
  std::string readLine(std::size_t Max, SteadyTime Deadline);

  /// Writes all of \p Data. Throws ConnectionBroken or ConnectionTimeout.
  void write(std::string_view Data, SteadyTime Deadline);

  bool hasBuffered() const { return Begin_ < End_; }
  /// Returns whether the peer has closed its side; does not block.
  bool hasPeerClosed() const;
  /// Returns whether there is input or the peer has closed its side; does not
  /// block.
  bool hasInput() const;

  /// Sets whether the connection ends with a reset, also if the process ends.
  /// A peer that knows the end of an answer only by that of the connection must
  /// not take a part of it for all.
  void setResetOnClose(bool IsOn);
  /// Ends the connection in both directions, or lets its thread end it where
  /// it is to be reset; thread-safe.
  void shutdown();
  /// Stops sending, then reads and discards a limited amount of input, so that
  /// the peer receives all bytes that were sent to it. The destructor closes
  /// the socket.
  void shutdownGracefully();

  std::string peerAddress() const;

private:
  std::size_t receive(char *To, std::size_t Size, SteadyTime Deadline);
  void fill(SteadyTime Deadline);
  int fd() const;

  Poco::Net::StreamSocket Socket_;
  std::vector<char> Buffer_;
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_HTTPCONNECTION_H
