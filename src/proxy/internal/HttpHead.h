#ifndef LYCHEETHREAD_PROXY_INTERNAL_HTTPHEAD_H
#define LYCHEETHREAD_PROXY_INTERNAL_HTTPHEAD_H

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheethread::proxy {

enum class FramingKind { None, Fixed, Chunked, UntilClose };

/// How the body of a message ends.
struct Framing {
  FramingKind Kind = FramingKind::None;
  /// For Fixed.
  std::int64_t Length = 0;
};

/// Parse a head that HttpConnection::readHead returned. Throw BadMessage.
void parseRequest(std::string_view Head, Poco::Net::HTTPRequest &Request);
void parseResponse(std::string_view Head, Poco::Net::HTTPResponse &Response);

/// Throws BadMessage for conflicting or malformed lengths.
Framing framingOf(const Poco::Net::HTTPRequest &Request);
Framing framingOf(const Poco::Net::HTTPResponse &Response,
                  const std::string &RequestMethod);

/// Copies all fields that are not hop-by-hop, nor about the framing.
void copyEndToEnd(const Poco::Net::HTTPMessage &From,
                  Poco::Net::HTTPMessage &To);

/// Sets Content-Length or Transfer-Encoding.
void setFraming(Poco::Net::HTTPMessage &Message, const Framing &Body);

/// The head as it goes onto the wire.
std::string serialize(const Poco::Net::HTTPRequest &Request);
std::string serialize(const Poco::Net::HTTPResponse &Response);

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_HTTPHEAD_H
