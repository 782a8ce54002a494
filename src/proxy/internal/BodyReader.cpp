#include "proxy/internal/BodyReader.h"

#include <algorithm>
#include <string>

namespace lycheethread::proxy {

namespace {

constexpr std::size_t MaxChunkLine = 256;
constexpr std::size_t MaxChunkDigits = 8;
constexpr int MaxTrailerLines = 32;
constexpr std::size_t MaxTrailerLine = 1024;

std::int64_t parseChunkSize(const std::string &Line) {
  const std::size_t Digits =
      std::min(Line.find_first_not_of("0123456789abcdefABCDEF"), Line.size());
  const bool HasValidEnd =
      Digits == Line.size() || Line[Digits] == ';' || Line[Digits] == ' ';
  if (Digits == 0 || Digits > MaxChunkDigits || !HasValidEnd)
    throw BadMessage("invalid chunk size");
  return std::stoll(Line.substr(0, Digits), nullptr, 16);
}

} // namespace

BodyReader::BodyReader(HttpConnection &From, Framing Body)
    : From_(From), Body_(Body), Remaining_(Body.Length),
      Complete_(Body.Kind == FramingKind::None ||
                (Body.Kind == FramingKind::Fixed && Body.Length == 0)) {}

void BodyReader::skipTrailer(SteadyTime Deadline) {
  for (int I = 0; I < MaxTrailerLines; ++I)
    if (From_.readLine(MaxTrailerLine, Deadline).empty())
      return;
  throw BadMessage("too many trailer lines");
}

void BodyReader::startChunk(SteadyTime Deadline) {
  if (InChunk_ && !From_.readLine(MaxChunkLine, Deadline).empty())
    throw BadMessage("a chunk is longer than its size");
  Remaining_ = parseChunkSize(From_.readLine(MaxChunkLine, Deadline));
  InChunk_ = true;
  if (Remaining_ > 0)
    return;
  skipTrailer(Deadline);
  Complete_ = true;
}

std::size_t BodyReader::readWithinLength(char *To, std::size_t Size,
                                         SteadyTime Deadline) {
  const auto Requested =
      static_cast<std::size_t>(std::min<std::int64_t>(Remaining_, Size));
  const std::size_t Count = From_.readSome(To, Requested, Deadline);
  if (Count == 0)
    throw ConnectionBroken("the connection closed before the end of the body");
  Remaining_ -= static_cast<std::int64_t>(Count);
  return Count;
}

std::size_t BodyReader::read(char *To, std::size_t Size, SteadyTime Deadline) {
  if (Complete_)
    return 0;
  if (Body_.Kind == FramingKind::UntilClose) {
    const std::size_t Count = From_.readSome(To, Size, Deadline);
    Complete_ = Count == 0;
    return Count;
  }
  if (Body_.Kind == FramingKind::Chunked && Remaining_ == 0)
    startChunk(Deadline);
  if (Complete_)
    return 0;
  const std::size_t Count = readWithinLength(To, Size, Deadline);
  Complete_ = Body_.Kind == FramingKind::Fixed && Remaining_ == 0;
  return Count;
}

} // namespace lycheethread::proxy
