#ifndef LYCHEETHREAD_PROXY_INTERNAL_REQUESTBODY_H
#define LYCHEETHREAD_PROXY_INTERNAL_REQUESTBODY_H

#include "model/Model.h"
#include "proxy/internal/BodyReader.h"

#include <stdexcept>
#include <string>

namespace lycheethread::proxy {

/// Maximum size of a body that is buffered completely, so that a retry can send
/// it again.
inline constexpr std::size_t MaxReplayBodyBytes = 64 * 1024;

/// The request failed because of an error of the caller.
class CallerError : public std::runtime_error {
public:
  CallerError(RefusalReason Reason, const std::string &Text)
      : std::runtime_error(Text), Reason_(Reason) {}

  RefusalReason reason() const { return Reason_; }

private:
  RefusalReason Reason_;
};

/// Body of a request: a buffered first part, and the rest, which is read from
/// the connection. Every read throws CallerDisconnected if the body is
/// truncated, and CallerError for an invalid or overlong body and at the
/// deadline.
class RequestBody {
public:
  RequestBody(HttpConnection &From, Framing Body);

  /// Limits the body to \p Max bytes. Throws CallerError if the announced
  /// length is larger; reading throws it if a body of unknown length is larger.
  void limit(ByteCount Max);

  /// Buffers the first part: the whole body or MaxReplayBodyBytes.
  void bufferFirstPart(SteadyTime Deadline);

  /// Reads 1 to \p Size bytes after the first part; returns 0 at the end.
  std::size_t readRemaining(char *To, std::size_t Size, SteadyTime Deadline);

  const std::string &buffered() const { return Buffered_; }
  bool isComplete() const { return Reader_.isComplete(); }
  /// Returns whether all bytes read so far are buffered.
  bool canReplay() const { return !Streamed_; }
  /// Returns the framing for forwarding the body.
  Framing framing() const;
  HttpConnection &connection() { return From_; }
  ByteCount received() const { return ByteCount(Received_); }

private:
  std::size_t read(char *To, std::size_t Size, SteadyTime Deadline);

  HttpConnection &From_;
  BodyReader Reader_;
  std::string Buffered_;
  std::int64_t Received_ = 0;
  std::int64_t Max_;
  bool Streamed_ = false;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_REQUESTBODY_H
