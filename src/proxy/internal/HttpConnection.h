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

/// The peer closed or reset the connection, or broke HTTP's framing.
class ConnectionBroken : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The deadline passed.
class ConnectionTimeout : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The caller for whom the work was done closed its connection.
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

/// One TCP connection with a read buffer. POCO's session streams of 1.11
/// report a body that was cut off as a complete one, so the framing is read
/// here and only heads go through POCO's parsers.
class HttpConnection {
public:
  explicit HttpConnection(Poco::Net::StreamSocket Socket);

  /// Connects with TCP_NODELAY. Throws ConnectionBroken or ConnectionTimeout.
  static HttpConnection connect(const Endpoint &Target, SteadyTime Deadline);

  /// Waits until there is input or the peer closes; false when \p Deadline
  /// passes first.
  bool waitForInput(SteadyTime Deadline);

  /// Like waitForInput; throws CallerDisconnected when \p Caller closes
  /// meanwhile and ConnectionTimeout at the deadline.
  void waitForInput(SteadyTime Deadline, const HttpConnection &Caller);

  /// Returns a head with its empty line; valid until the next read. Throws
  /// BadMessage, ConnectionBroken or ConnectionTimeout.
  std::string_view readHead(SteadyTime Deadline);

  /// Reads 1 to \p Size bytes; 0 at the end of the connection.
  std::size_t readSome(char *To, std::size_t Size, SteadyTime Deadline);

  /// Reads a line of at most \p Max bytes without its CRLF.
  std::string readLine(std::size_t Max, SteadyTime Deadline);

  /// Writes everything. Throws ConnectionBroken or ConnectionTimeout.
  void write(std::string_view Data, SteadyTime Deadline);

  bool hasBuffered() const { return Begin_ < End_; }
  /// Whether the peer has closed its side; does not block.
  bool hasPeerClosed() const;
  /// Whether input or an end is waiting; does not block.
  bool hasInput() const;

  /// Ends the connection for both sides; thread-safe.
  void shutdown();
  /// Ends without losing bytes under way to the peer: stops sending and reads
  /// off a bounded part of what still comes. The destructor closes.
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
