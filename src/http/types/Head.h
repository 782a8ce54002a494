#ifndef LYCHEETHREAD_HTTP_TYPES_HEAD_H
#define LYCHEETHREAD_HTTP_TYPES_HEAD_H

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lycheethread::http {

/// A message that violates HTTP or exceeds a limit.
class BadMessage : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Largest request or response head, in bytes.
inline constexpr std::size_t MaxHeadBytes = 32 * 1024;

enum class FramingKind { None, Fixed, Chunked, UntilClose };

/// How the end of a message body is determined.
struct Framing {
  FramingKind Kind = FramingKind::None;
  /// Bytes of the body; only used for Fixed.
  std::int64_t Length = 0;
};

/// Returns whether the status is a server error (5xx).
inline bool isServerError(int Status) { return Status >= 500; }

/// Whether the text may stand in a head: it has no control characters but tabs.
bool isFieldValue(std::string_view Text);

/// Parse a head up to and including its empty line. Values are kept as they
/// came, without the space around them. Throw BadMessage when the head is
/// malformed.
void parseRequest(std::string_view Head, Poco::Net::HTTPRequest &Request);
void parseResponse(std::string_view Head, Poco::Net::HTTPResponse &Response);

/// Determine the framing of the body that follows a head. Throw BadMessage for
/// conflicting or malformed lengths.
Framing bodyFraming(const Poco::Net::HTTPRequest &Request);
Framing bodyFraming(const Poco::Net::HTTPResponse &Response,
                    const std::string &RequestMethod);

/// Sets the field in place of all its lines. NameValueCollection::set()
/// replaces only the first of several.
void setField(Poco::Net::HTTPMessage &Message, const std::string &Name,
              const std::string &Value);

/// Whether the sender keeps the connection open after the message. Obeys all
/// Connection lines, unlike HTTPMessage::getKeepAlive().
bool keepsConnection(const Poco::Net::HTTPMessage &Message);

/// Returns the number of lines of a field.
std::size_t countOf(const Poco::Net::HTTPMessage &Message,
                    const std::string &Name);

/// Copies all header fields except hop-by-hop fields, Expect and
/// Content-Length.
void copyEndToEndHeaders(const Poco::Net::HTTPMessage &From,
                         Poco::Net::HTTPMessage &To);

/// Sets Content-Length or Transfer-Encoding to match \p Body.
void setFraming(Poco::Net::HTTPMessage &Message, const Framing &Body);

/// Return the head in wire format.
std::string serialize(const Poco::Net::HTTPRequest &Request);
std::string serialize(const Poco::Net::HTTPResponse &Response);

} // namespace lycheethread::http

#endif // LYCHEETHREAD_HTTP_TYPES_HEAD_H
