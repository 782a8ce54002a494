#ifndef LYCHEETHREAD_PROXY_INTERNAL_BODYREADER_H
#define LYCHEETHREAD_PROXY_INTERNAL_BODYREADER_H

#include "proxy/internal/HttpConnection.h"

#include <cstddef>
#include <cstdint>

namespace lycheethread::proxy {

/// Reads one body off a connection and knows whether it is complete.
class BodyReader {
public:
  BodyReader(HttpConnection &From, Framing Body);

  /// Returns 1 to \p Size bytes, or 0 after the complete body. Throws
  /// ConnectionBroken when the body is cut off, BadMessage, ConnectionTimeout.
  std::size_t read(char *To, std::size_t Size, SteadyTime Deadline);

  bool isComplete() const { return Complete_; }
  const Framing &framing() const { return Body_; }

private:
  void startChunk(SteadyTime Deadline);
  void skipTrailer(SteadyTime Deadline);
  std::size_t readCounted(char *To, std::size_t Size, SteadyTime Deadline);

  HttpConnection &From_;
  Framing Body_;
  /// Bytes to come of the body or of the chunk.
  std::int64_t Left_ = 0;
  bool InChunk_ = false;
  bool Complete_ = false;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_BODYREADER_H
