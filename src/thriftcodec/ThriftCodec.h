#ifndef LYCHEETHREAD_THRIFTCODEC_THRIFTCODEC_H
#define LYCHEETHREAD_THRIFTCODEC_THRIFTCODEC_H

/// Public header of the thriftcodec library: encodes and decodes Thrift structs
/// in the compact protocol.

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lycheethread::thriftcodec {

template <typename Message> std::string encode(const Message &From) {
  auto Buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol Protocol(Buffer);
  From.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// Returns nothing when \p Data is larger than \p MaxBytes or is not a valid
/// \p Message.
template <typename Message>
std::optional<Message> decode(std::string_view Data, std::size_t MaxBytes) {
  if (Data.size() > MaxBytes)
    return std::nullopt;
  std::string Copy(Data);
  auto Buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
      reinterpret_cast<std::uint8_t *>(Copy.data()),
      static_cast<std::uint32_t>(Copy.size()));
  apache::thrift::protocol::TCompactProtocol Protocol(Buffer);
  try {
    Message Result;
    Result.read(&Protocol);
    return Result;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace lycheethread::thriftcodec

#endif // LYCHEETHREAD_THRIFTCODEC_THRIFTCODEC_H
