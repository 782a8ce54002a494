#include "http/Http.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lycheethread::http {

namespace {

/// Applies to the size line of a chunk with its extensions and to a trailer
/// field.
constexpr std::size_t MaxLineBytes = 4096;
/// 15 hexadecimal digits fit into an int64.
constexpr std::size_t MaxSizeDigits = 15;

} // namespace

BodyDecoder::BodyDecoder(Framing Body) {
  switch (Body.Kind) {
  case FramingKind::None:
    break;
  case FramingKind::Fixed:
    RemainingBytes_ = Body.Length;
    Stage_ = RemainingBytes_ > 0 ? Stage::Data : Stage::Complete;
    break;
  case FramingKind::Chunked:
    Stage_ = Stage::ChunkSize;
    break;
  case FramingKind::UntilClose:
    Stage_ = Stage::UntilClose;
    break;
  }
}

bool BodyDecoder::feedLine(std::string_view &Input) {
  const std::size_t End = Input.find('\n');
  const std::size_t Taken =
      End == std::string_view::npos ? Input.size() : End + 1;
  Line_.append(Input.substr(0, Taken));
  Input.remove_prefix(Taken);
  if (Line_.size() > MaxLineBytes)
    throw BadMessage("a line of the chunked body is too long");
  if (End == std::string_view::npos)
    return false;
  if (Line_.size() < 2 || Line_[Line_.size() - 2] != '\r')
    throw BadMessage("a line of the chunked body does not end with CRLF");
  Line_.resize(Line_.size() - 2);
  return true;
}

void BodyDecoder::readChunkSize() {
  const std::size_t Digits = std::min(Line_.find(';'), Line_.size());
  std::int64_t Size = 0;
  const char *Begin = Line_.data();
  const auto Read = std::from_chars(Begin, Begin + Digits, Size, 16);
  if (Digits == 0 || Digits > MaxSizeDigits || Read.ec != std::errc() ||
      Read.ptr != Begin + Digits || Size < 0)
    throw BadMessage("a chunk size is not a number");
  RemainingBytes_ = Size;
  Stage_ = Size == 0 ? Stage::Trailer : Stage::ChunkData;
  Line_.clear();
}

std::size_t BodyDecoder::feed(std::string_view Input, std::string &Output) {
  const std::size_t InputSize = Input.size();
  while (!Input.empty() && Stage_ != Stage::Complete) {
    if (Stage_ == Stage::UntilClose) {
      Output.append(Input);
      Input = {};
    } else if (Stage_ == Stage::Data || Stage_ == Stage::ChunkData) {
      const auto Size = std::min<std::size_t>(
          Input.size(), static_cast<std::size_t>(RemainingBytes_));
      Output.append(Input.substr(0, Size));
      Input.remove_prefix(Size);
      RemainingBytes_ -= static_cast<std::int64_t>(Size);
      if (RemainingBytes_ == 0)
        Stage_ = Stage_ == Stage::Data ? Stage::Complete : Stage::ChunkEnd;
    } else if (!feedLine(Input)) {
      break;
    } else if (Stage_ == Stage::ChunkSize) {
      readChunkSize();
    } else if (Stage_ == Stage::ChunkEnd) {
      if (!Line_.empty())
        throw BadMessage("a chunk is longer than its size");
      Stage_ = Stage::ChunkSize;
    } else {
      if (Line_.empty())
        Stage_ = Stage::Complete;
      Line_.clear();
    }
  }
  return InputSize - Input.size();
}

bool BodyDecoder::finish() {
  if (Stage_ == Stage::UntilClose)
    Stage_ = Stage::Complete;
  return Stage_ == Stage::Complete;
}

std::string encodeChunk(std::string_view Data) {
  if (Data.empty())
    return {};
  std::array<char, 2 * sizeof(std::size_t)> Size{};
  const auto End = std::to_chars(Size.begin(), Size.end(), Data.size(), 16);
  std::string Chunk(Size.begin(), End.ptr);
  Chunk.append("\r\n").append(Data).append("\r\n");
  return Chunk;
}

} // namespace lycheethread::http
