#ifndef LYCHEETHREAD_HTTP_TYPES_BODYDECODER_H
#define LYCHEETHREAD_HTTP_TYPES_BODYDECODER_H

#include "http/types/Head.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheethread::http {

/// Takes a body apart as its bytes arrive.
class BodyDecoder {
public:
  explicit BodyDecoder(Framing Body = {});

  /// Appends body bytes of \p Input to \p Output and returns how many bytes of
  /// \p Input were used; the rest belongs to what follows. Throws BadMessage
  /// for broken chunks.
  std::size_t feed(std::string_view Input, std::string &Output);

  /// The peer closed its side. Whether the body is complete with that.
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
  std::int64_t Left_ = 0;
  /// A line that is not complete yet.
  std::string Line_;
};

/// One chunk of a chunked body; an empty \p Data gives nothing, since a chunk
/// without data would end the body.
std::string encodeChunk(std::string_view Data);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace lycheethread::http

#endif // LYCHEETHREAD_HTTP_TYPES_BODYDECODER_H
