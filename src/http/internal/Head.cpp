#include "http/Http.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace lycheethread::http {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t MaxLengthDigits = 15;
constexpr std::size_t StatusDigits = 3;
constexpr std::size_t HeadReserve = 1024;
/// Adding a field takes time in proportion to the number of fields before it.
constexpr std::size_t MaxFields = 1000;

constexpr std::array<const char *, 10> HeadersNotForwarded{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Connection",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "Content-Length",
                                                           "Expect"};

bool isTokenCharacter(char Byte) {
  static constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
         (Byte >= 'A' && Byte <= 'Z') ||
         Symbols.find(Byte) != std::string_view::npos;
}

bool isFieldValueByte(char Byte) {
  const auto Code = static_cast<unsigned char>(Byte);
  return Code == '\t' || (Code >= 0x20 && Code != 0x7f);
}

bool isToken(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

std::string_view trimSpace(std::string_view Text) {
  constexpr std::string_view Space = " \t";
  const std::size_t Begin = Text.find_first_not_of(Space);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Space) - Begin + 1);
}

/// Removes the first line, with its end, from \p Rest.
std::string_view takeLine(std::string_view &Rest) {
  const std::size_t End = std::min(Rest.find("\r\n"), Rest.size());
  const std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(std::min(End + 2, Rest.size()));
  if (!isFieldValue(Line))
    throw BadMessage("the head contains a control character");
  return Line;
}

/// Removes the text before the next space, and the space, from \p Rest.
std::string_view takeWord(std::string_view &Rest) {
  const std::size_t End = std::min(Rest.find(' '), Rest.size());
  const std::string_view Word = Rest.substr(0, End);
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Word;
}

/// POCO's reader is not used: it decodes encoded words (RFC 2047), so that a
/// value which is valid on the wire may contain line breaks in memory, and its
/// limits are constants.
void parseFields(std::string_view Rest, HTTPMessage &Into) {
  std::size_t Count = 0;
  while (!Rest.empty()) {
    const std::string_view Line = takeLine(Rest);
    if (Line.empty())
      return;
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos || Colon == 0)
      throw BadMessage("a header line has no field name");
    const std::string_view Name = Line.substr(0, Colon);
    if (!isToken(Name))
      throw BadMessage("a header name contains an invalid character");
    if (++Count > MaxFields)
      throw BadMessage("the head has too many header lines");
    Into.add(std::string(Name), std::string(trimSpace(Line.substr(Colon + 1))));
  }
}

bool isSupportedVersion(std::string_view Version) {
  return Version == HTTPMessage::HTTP_1_1 || Version == HTTPMessage::HTTP_1_0;
}

std::int64_t parseLength(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxLengthDigits ||
      !std::all_of(Text.begin(), Text.end(), isDigit))
    throw BadMessage("Content-Length is not a number");
  return std::stoll(Text);
}

Framing explicitFraming(const HTTPMessage &Message, Framing Default) {
  const std::size_t Lengths = countOf(Message, HTTPMessage::CONTENT_LENGTH);
  const std::size_t Codings = countOf(Message, HTTPMessage::TRANSFER_ENCODING);
  if (Lengths + Codings > 1)
    throw BadMessage("the message has more than one length");
  if (Codings == 1) {
    if (Poco::icompare(Message.get(HTTPMessage::TRANSFER_ENCODING),
                       "chunked") != 0)
      throw BadMessage("the transfer coding is not supported");
    return {FramingKind::Chunked, 0};
  }
  if (Lengths == 1)
    return {FramingKind::Fixed,
            parseLength(Message.get(HTTPMessage::CONTENT_LENGTH))};
  return Default;
}

bool isListed(const std::string &List, const std::string &Name) {
  std::size_t Begin = 0;
  while (Begin < List.size()) {
    const std::size_t End = std::min(List.find(',', Begin), List.size());
    if (Poco::icompare(Poco::trim(List.substr(Begin, End - Begin)), Name) == 0)
      return true;
    Begin = End + 1;
  }
  return false;
}

/// Returns the lines of a field as the list that they form.
std::string listOf(const HTTPMessage &Message, const std::string &Name) {
  std::string List;
  for (auto It = Message.find(Name);
       It != Message.end() && Poco::icompare(It->first, Name) == 0; ++It)
    List.append(List.empty() ? "" : ",").append(It->second);
  return List;
}

/// Replaces POCO's writer, whose stream costs more than the rest of building a
/// head.
void appendFields(const HTTPMessage &From, std::string &To) {
  for (const auto &[Name, Value] : From)
    To.append(Name).append(": ").append(Value).append("\r\n");
  To.append("\r\n");
}

} // namespace

bool isFieldValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isFieldValueByte);
}

// Stricter than the standard demands of a receiver: a proxy must not forward a
// head that two parsers could interpret differently (request smuggling).
void parseRequest(std::string_view Head, HTTPRequest &Request) {
  std::string_view Line = takeLine(Head);
  const std::string_view Method = takeWord(Line);
  const std::string_view Target = takeWord(Line);
  if (!isToken(Method))
    throw BadMessage("the method contains an invalid character");
  if (Target.empty() || Target.front() != '/' ||
      Target.find('\t') != std::string_view::npos)
    throw BadMessage("the target is not a path");
  if (!isSupportedVersion(Line))
    throw BadMessage("the HTTP version is not supported");
  Request.setMethod(std::string(Method));
  Request.setURI(std::string(Target));
  Request.setVersion(std::string(Line));
  parseFields(Head, Request);
  if (countOf(Request, HTTPRequest::HOST) > 1)
    throw BadMessage("more than one Host header");
}

void parseResponse(std::string_view Head, HTTPResponse &Response) {
  std::string_view Line = takeLine(Head);
  const std::string_view Version = takeWord(Line);
  if (!isSupportedVersion(Version))
    throw BadMessage("the HTTP version is not supported");
  const std::string_view Status = takeWord(Line);
  if (Status.size() != StatusDigits || Status.front() == '0' ||
      !std::all_of(Status.begin(), Status.end(), isDigit))
    throw BadMessage("the status is not a number of three digits");
  Response.setVersion(std::string(Version));
  Response.setStatus(
      static_cast<HTTPResponse::HTTPStatus>(std::stoi(std::string(Status))));
  Response.setReason(std::string(Line));
  parseFields(Head, Response);
}

Framing bodyFraming(const HTTPRequest &Request) {
  return explicitFraming(Request, {FramingKind::None, 0});
}

Framing bodyFraming(const HTTPResponse &Response,
                    const std::string &RequestMethod) {
  const int Status = Response.getStatus();
  if (RequestMethod == HTTPRequest::HTTP_HEAD || Status < 200 ||
      Status == HTTPResponse::HTTP_NO_CONTENT ||
      Status == HTTPResponse::HTTP_NOT_MODIFIED)
    return {FramingKind::None, 0};
  return explicitFraming(Response, {FramingKind::UntilClose, 0});
}

// Lines of one name stand together in a message, also those that differ in
// case.
std::size_t countOf(const HTTPMessage &Message, const std::string &Name) {
  std::size_t Count = 0;
  for (auto It = Message.find(Name);
       It != Message.end() && Poco::icompare(It->first, Name) == 0; ++It)
    ++Count;
  return Count;
}

void setField(HTTPMessage &Message, const std::string &Name,
              const std::string &Value) {
  Message.erase(Name);
  Message.add(Name, Value);
}

bool keepsConnection(const HTTPMessage &Message) {
  const std::string Options = listOf(Message, HTTPMessage::CONNECTION);
  if (isListed(Options, HTTPMessage::CONNECTION_CLOSE))
    return false;
  return Message.getVersion() == HTTPMessage::HTTP_1_1 ||
         isListed(Options, HTTPMessage::CONNECTION_KEEP_ALIVE);
}

void copyEndToEndHeaders(const HTTPMessage &From, HTTPMessage &To) {
  const std::string Listed = listOf(From, HTTPMessage::CONNECTION);
  for (const auto &[Name, Value] : From) {
    const auto IsName = [&Name = Name](const char *Other) {
      return Poco::icompare(Name, Other) == 0;
    };
    if (std::any_of(HeadersNotForwarded.begin(), HeadersNotForwarded.end(),
                    IsName) ||
        isListed(Listed, Name))
      continue;
    To.add(Name, Value);
  }
}

void setFraming(HTTPMessage &Message, const Framing &Body) {
  if (Body.Kind == FramingKind::Fixed)
    Message.setContentLength64(Body.Length);
  else if (Body.Kind == FramingKind::Chunked)
    Message.setChunkedTransferEncoding(true);
}

std::string serialize(const HTTPRequest &Request) {
  std::string Head;
  Head.reserve(HeadReserve);
  Head.append(Request.getMethod()).append(" ").append(Request.getURI());
  Head.append(" ").append(Request.getVersion()).append("\r\n");
  appendFields(Request, Head);
  return Head;
}

std::string serialize(const HTTPResponse &Response) {
  std::string Head;
  Head.reserve(HeadReserve);
  Head.append(Response.getVersion()).append(" ");
  Head.append(std::to_string(static_cast<int>(Response.getStatus())));
  Head.append(" ").append(Response.getReason()).append("\r\n");
  appendFields(Response, Head);
  return Head;
}

} // namespace lycheethread::http
