#ifndef LYCHEETHREAD_PROXY_INTERNAL_BODYREADER_H
#define LYCHEETHREAD_PROXY_INTERNAL_BODYREADER_H

#include "proxy/internal/HttpConnection.h"

#include <cstddef>
#include <cstdint>

namespace lycheethread::proxy {

/// Reads a message body from a connection and detects whether it is complete.
class BodyReader {
public:
  BodyReader(HttpConnection &From, Framing Body);

  /// Reads 1 to \p Size bytes; returns 0 after the complete body. Throws
  /// ConnectionBroken if the body is truncated, BadMessage or
  /// ConnectionTimeout.
  std::size_t read(char *To, std::size_t Size, SteadyTime Deadline);

  bool isComplete() const { return Complete_; }
  const Framing &framing() const { return Body_; }

private:
  void startChunk(SteadyTime Deadline);
  void skipTrailer(SteadyTime Deadline);
  std::size_t readWithinLength(char *To, std::size_t Size, SteadyTime Deadline);

  HttpConnection &From_;
  Framing Body_;
  /// Remaining bytes of the body or of the current chunk.
  std::int64_t Remaining_ = 0;
  bool InChunk_ = false;
  bool Complete_ = false;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_BODYREADER_H
