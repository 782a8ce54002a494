#ifndef LYCHEETHREAD_HTTP_TYPES_HEAD_H
#define LYCHEETHREAD_HTTP_TYPES_HEAD_H

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lycheethread::http {

/// A message that breaks the rules of HTTP or exceeds a limit.
class BadMessage : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Largest request or response head, in bytes.
inline constexpr std::size_t MaxHeadBytes = 32 * 1024;

enum class FramingKind { None, Fixed, Chunked, UntilClose };

/// How the body of a message ends.
struct Framing {
  FramingKind Kind = FramingKind::None;
  /// For Fixed.
  std::int64_t Length = 0;
};

/// Whether the status says that the server failed.
inline bool isServerError(int Status) { return Status >= 500; }

/// Parse a head up to and including its empty line. Throw BadMessage.
void parseRequest(std::string_view Head, Poco::Net::HTTPRequest &Request);
void parseResponse(std::string_view Head, Poco::Net::HTTPResponse &Response);

/// Throws BadMessage for conflicting or malformed lengths.
Framing bodyFraming(const Poco::Net::HTTPRequest &Request);
Framing bodyFraming(const Poco::Net::HTTPResponse &Response,
                    const std::string &RequestMethod);

/// Copies all fields that are not hop-by-hop, nor about the framing.
void copyEndToEndHeaders(const Poco::Net::HTTPMessage &From,
                         Poco::Net::HTTPMessage &To);

/// Sets Content-Length or Transfer-Encoding.
void setFraming(Poco::Net::HTTPMessage &Message, const Framing &Body);

/// The head as it goes onto the wire.
std::string serialize(const Poco::Net::HTTPRequest &Request);
std::string serialize(const Poco::Net::HTTPResponse &Response);

} // namespace lycheethread::http

#endif // LYCHEETHREAD_HTTP_TYPES_HEAD_H
