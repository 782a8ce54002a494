#ifndef LYCHEETHREAD_HTTP_TYPES_BODYDECODER_H
#define LYCHEETHREAD_HTTP_TYPES_BODYDECODER_H

#include "http/types/Head.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheethread::http {

/// Decodes the body of a message incrementally.
class BodyDecoder {
public:
  explicit BodyDecoder(Framing Body = {});

  /// Appends the body bytes in \p Input to \p Output. Returns the number of
  /// bytes consumed from \p Input; the rest belongs to the next message. Throws
  /// BadMessage for malformed chunks.
  std::size_t feed(std::string_view Input, std::string &Output);

  /// Handles the end of the connection; returns whether the body is complete.
  bool finish();

  bool isComplete() const { return Stage_ == Stage::Complete; }

private:
  enum class Stage {
    Data,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailer,
    UntilClose,
    Complete
  };

  bool feedLine(std::string_view &Input);
  void readChunkSize();

  Stage Stage_ = Stage::Complete;
  /// Bytes left in the body or in the current chunk.
  std::int64_t RemainingBytes_ = 0;
  /// The part of the current line that has been received.
  std::string Line_;
};

/// Encodes one chunk of a chunked body. Returns nothing for empty \p Data,
/// since a chunk without data would end the body.
std::string encodeChunk(std::string_view Data);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace lycheethread::http

#endif // LYCHEETHREAD_HTTP_TYPES_BODYDECODER_H
