#ifndef LYCHEETHREAD_PROXY_INTERNAL_REQUESTBODY_H
#define LYCHEETHREAD_PROXY_INTERNAL_REQUESTBODY_H

#include "model/Model.h"
#include "proxy/internal/BodyReader.h"

#include <stdexcept>
#include <string>

namespace lycheethread::proxy {

/// Bodies up to this size, in bytes, are kept so that a retry can send them
/// again.
inline constexpr std::size_t MaxReplayBodyBytes = 64 * 1024;

/// The caller's own fault ended its request.
class CallerError : public std::runtime_error {
public:
  CallerError(RefusalReason Reason, const std::string &Text)
      : std::runtime_error(Text), Reason_(Reason) {}

  RefusalReason reason() const { return Reason_; }

private:
  RefusalReason Reason_;
};

/// The body of a request: a kept first part, and the rest on the connection.
/// Every read throws CallerDisconnected when the body is cut off, or
/// CallerError.
class RequestBody {
public:
  RequestBody(HttpConnection &From, Framing Body);

  /// Throws CallerError when the announced length is above \p Max bytes; a
  /// longer body ends in the same way while it is read.
  void limit(ByteCount Max);

  /// Reads the first part: the whole body or MaxReplayBodyBytes.
  void bufferFirstPart(SteadyTime Deadline);

  /// Returns 1 to \p Size bytes after the first part; 0 at the end.
  std::size_t readRest(char *To, std::size_t Size, SteadyTime Deadline);

  const std::string &kept() const { return Kept_; }
  bool isComplete() const { return Reader_.isComplete(); }
  /// Whether everything read so far is kept.
  bool canReplay() const { return !Streamed_; }
  /// Framing for sending it on.
  Framing framing() const;
  HttpConnection &connection() { return From_; }
  ByteCount received() const { return ByteCount(Received_); }

private:
  std::size_t read(char *To, std::size_t Size, SteadyTime Deadline);

  HttpConnection &From_;
  BodyReader Reader_;
  std::string Kept_;
  std::int64_t Received_ = 0;
  std::int64_t Max_;
  bool Streamed_ = false;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_REQUESTBODY_H
