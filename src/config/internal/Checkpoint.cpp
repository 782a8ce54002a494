#include "config/internal/CheckpointCodec.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>

namespace lycheethread::config {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

/// Reserves the rest of a part for its header.
constexpr std::size_t PartPayload = MaxPartBytes - 1024;
constexpr std::int32_t MaxString = MaxPartBytes;
constexpr std::int32_t MaxElements = 65'536;
constexpr std::size_t DigestLength = 64;

std::string digestOf(const std::string &Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

template <typename Struct> std::string encode(const Struct &From) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  Protocol Writer(Buffer);
  From.write(&Writer);
  return Buffer->getBufferAsString();
}

template <typename Struct> Struct decode(const std::string &Data) {
  // The buffer only reads the bytes, but its constructor takes a non-const
  // pointer.
  auto *Bytes = const_cast<std::uint8_t *>(
      reinterpret_cast<const std::uint8_t *>(Data.data()));
  const auto Buffer = std::make_shared<TMemoryBuffer>(
      Bytes, static_cast<std::uint32_t>(Data.size()));
  Protocol Reader(Buffer, MaxString, MaxElements);
  Struct Read;
  try {
    Read.read(&Reader);
  } catch (const apache::thrift::TException &Error) {
    throw BadCheckpoint(std::string("malformed checkpoint: ") + Error.what());
  }
  if (Buffer->available_read() != 0)
    throw BadCheckpoint("bytes follow the checkpoint");
  return Read;
}

gen::Part decodePart(const std::string &Data) {
  if (Data.size() > MaxPartBytes)
    throw BadCheckpoint("the part has " + std::to_string(Data.size()) +
                        " bytes, which is too large");
  gen::Part Part = decode<gen::Part>(Data);
  const bool Valid = Part.parts >= 1 && Part.parts <= MaxParts &&
                     Part.index >= 0 && Part.index < Part.parts &&
                     Part.position >= 0 && Part.digest.size() == DigestLength;
  if (!Valid)
    throw BadCheckpoint("the part has a malformed header");
  return Part;
}

/// Returns the parts sorted by index. Throws BadCheckpoint unless they form one
/// complete checkpoint.
std::vector<gen::Part> orderedParts(const std::vector<std::string> &Parts) {
  std::vector<gen::Part> Ordered;
  for (const std::string &Data : Parts)
    Ordered.push_back(decodePart(Data));
  std::sort(
      Ordered.begin(), Ordered.end(),
      [](const gen::Part &L, const gen::Part &R) { return L.index < R.index; });
  std::int32_t Expected = 0;
  for (const gen::Part &Part : Ordered) {
    const gen::Part &First = Ordered.front();
    if (Part.index != Expected++ || Part.digest != First.digest ||
        Part.position != First.position || Part.parts != First.parts)
      throw BadCheckpoint("part " + std::to_string(Expected - 1) +
                          " is missing or belongs to another checkpoint");
  }
  if (Ordered.empty() || Expected != Ordered.front().parts)
    throw BadCheckpoint("the checkpoint is incomplete: only " +
                        std::to_string(Expected) + " parts are present");
  return Ordered;
}

} // namespace

std::vector<std::string> makeCheckpoint(const ConfigState &State) {
  const std::string Data = encode(toGen(State));
  const std::size_t Count = (Data.size() + PartPayload - 1) / PartPayload;
  if (Count > std::size_t(MaxParts))
    throw BadCheckpoint("the state needs " + std::to_string(Count) + " parts");
  gen::Part Part;
  Part.parts = static_cast<std::int32_t>(Count);
  Part.position = State.Position.value();
  Part.digest = digestOf(Data);
  std::vector<std::string> Parts;
  for (std::size_t I = 0; I < Count; ++I) {
    Part.index = static_cast<std::int32_t>(I);
    Part.data = Data.substr(I * PartPayload, PartPayload);
    Parts.push_back(encode(Part));
  }
  return Parts;
}

CheckpointPart describePart(const std::string &Data) {
  const gen::Part Part = decodePart(Data);
  return {Part.index, Part.parts, Offset(Part.position), Part.digest};
}

ConfigState restoreCheckpoint(const std::vector<std::string> &Parts) {
  if (Parts.size() > std::size_t(MaxParts))
    throw BadCheckpoint("too many parts");
  const std::vector<gen::Part> Ordered = orderedParts(Parts);
  std::string Data;
  for (const gen::Part &Part : Ordered)
    Data += Part.data;
  if (digestOf(Data) != Ordered.front().digest)
    throw BadCheckpoint("the digest of the checkpoint does not match");
  ConfigState State = fromGen(decode<gen::State>(Data));
  if (State.Position != Offset(Ordered.front().position))
    throw BadCheckpoint("the position of the parts does not match");
  return State;
}

} // namespace lycheethread::config
