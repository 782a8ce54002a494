#ifndef LYCHEETHREAD_TESTS_PLATFORM_RAWCALL_H
#define LYCHEETHREAD_TESTS_PLATFORM_RAWCALL_H

#include <cstdint>
#include <string>

namespace lycheethread::platformtest {

/// Sends the bytes on a new connection to 127.0.0.1 and returns all bytes that
/// come back until the connection ends; the request should ask for that.
std::string sendRaw(std::uint16_t Port, const std::string &Bytes);

/// What came back for an upload.
struct RawUpload {
  std::string Answer;
  /// The connection ended with a close, not with a reset or a timeout.
  bool EndedOrderly = false;
};

/// Sends \p Head and \p BodyBytes bytes on a new connection to 127.0.0.1, also
/// while the answer arrives.
RawUpload uploadRaw(std::uint16_t Port, const std::string &Head,
                    std::size_t BodyBytes);

/// Returns the body of an answer with Content-Length, which is all that follows
/// the head.
std::string bodyOf(const std::string &Answer);

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_RAWCALL_H
