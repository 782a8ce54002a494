#include "streamlog/StreamLog.h"
#include "streamlog/internal/SessionPool.h"

#include <Poco/Base64Decoder.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

#include <sstream>

namespace lycheethread::streamlog {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxJsonDepth = 8;
constexpr std::int64_t MaxOffset = 1LL << 62;
constexpr std::uint16_t HttpPort = 80;

/// A request to the log.
struct Call {
  std::string Method;
  std::string Target;
  std::string Body;
  Deadline Latest;
};

struct Answer {
  HTTPResponse::HTTPStatus Status = HTTPResponse::HTTP_OK;
  std::string Body;
};

struct Connection {
  Connection(const std::string &BaseUrl, Milliseconds Limit);

  SessionPool Pool;
  Milliseconds Timeout;
};

std::string readBody(std::istream &From, const HTTPResponse &Head) {
  std::string Body;
  std::string Block(16 * 1024, '\0');
  while (From.read(Block.data(), static_cast<std::streamsize>(Block.size())),
         From.gcount() > 0) {
    Body.append(Block.data(), static_cast<std::size_t>(From.gcount()));
    if (Body.size() > MaxAnswerBytes)
      throw LogUnavailable("the answer has more than " +
                           std::to_string(MaxAnswerBytes) + " bytes");
  }
  const bool Incomplete =
      Head.hasContentLength() &&
      Head.getContentLength64() != static_cast<std::int64_t>(Body.size());
  if (From.bad() || Incomplete)
    throw LogUnavailable("the answer ended early");
  return Body;
}

Answer exchange(LogSession &Session, const Call &Made) {
  HTTPRequest Request(Made.Method, Made.Target, HTTPRequest::HTTP_1_1);
  Request.setKeepAlive(true);
  Request.setContentLength64(static_cast<Poco::Int64>(Made.Body.size()));
  Request.setContentType("application/octet-stream");
  std::ostream &Out = Session.Http->sendRequest(Request);
  Out.write(Made.Body.data(), static_cast<std::streamsize>(Made.Body.size()));
  Out.flush();
  if (!Out)
    throw LogUnavailable("the request could not be sent");
  HTTPResponse Head;
  std::istream &In = Session.Http->receiveResponse(Head);
  Answer Result{Head.getStatus(), readBody(In, Head)};
  const bool Delimited =
      Head.hasContentLength() || Head.getChunkedTransferEncoding();
  if (!Head.getKeepAlive() || !Delimited)
    Session.Http->reset();
  return Result;
}

Answer exchangeOnce(Connection &To, LogSession Session, const Call &Made) {
  Answer Result = exchange(Session, Made);
  if (Session.Http->connected())
    To.Pool.returnSession(std::move(Session));
  return Result;
}

/// Retries a read once on a new connection, because the server may close a
/// pooled connection at any time. An append is not retried: it may have taken
/// effect.
Answer exchangeWithRetry(Connection &To, const Call &Made) {
  LogSession Session = To.Pool.take(Made.Latest);
  const bool Repeatable = Session.Reused && Made.Method == "GET";
  if (!Repeatable)
    return exchangeOnce(To, std::move(Session), Made);
  try {
    return exchangeOnce(To, std::move(Session), Made);
  } catch (const Poco::Net::NetException &) {
    return exchangeOnce(To, To.Pool.open(Made.Latest), Made);
  }
}

std::string streamPath(const StreamName &Stream) {
  std::string Encoded;
  Poco::URI::encode(Stream.str(), "/?#%&+", Encoded);
  return "/streams/" + Encoded;
}

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  Poco::JSON::Parser Parser;
  Parser.setDepth(MaxJsonDepth);
  const auto Object = Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  if (Object.isNull())
    throw LogUnavailable("the answer is not a JSON object");
  return Object;
}

std::int64_t parseOffset(const Poco::JSON::Object &From, const char *Key) {
  const Poco::Dynamic::Var Value = From.get(Key);
  if (!Value.isInteger())
    throw LogUnavailable(std::string("the answer has no integer ") + Key);
  const auto Number = Value.convert<Poco::Int64>();
  if (Number < 0 || Number > MaxOffset)
    throw LogUnavailable(std::string("the answer has an out-of-range ") + Key);
  return Number;
}

StreamBounds parseBounds(const Poco::JSON::Object &From) {
  const StreamBounds Bounds{Offset(parseOffset(From, "first")),
                            Offset(parseOffset(From, "next"))};
  if (Bounds.First > Bounds.Next)
    throw LogUnavailable("the answer has first above next");
  return Bounds;
}

std::string decodeBase64(const std::string &Text) {
  std::istringstream In(Text);
  Poco::Base64Decoder Decoder(In);
  std::string Data(std::istreambuf_iterator<char>(Decoder), {});
  const auto Padding = Text.size() - (Text.find_last_not_of('=') + 1);
  const auto Expected = Text.size() / 4 * 3 - Padding;
  if (Text.size() % 4 != 0 || Padding > 2 || Data.size() != Expected)
    throw LogUnavailable("the answer has malformed Base64");
  return Data;
}

LogRecord parseRecord(const Poco::JSON::Array &From, unsigned Index,
                      Offset Expected) {
  const Poco::JSON::Object::Ptr Item = From.getObject(Index);
  if (Item.isNull())
    throw LogUnavailable("the answer has a record that is not a JSON object");
  const Offset At(parseOffset(*Item, "offset"));
  if (At != Expected)
    throw LogUnavailable("the answer has offset " + std::to_string(At.value()) +
                         " where offset " + std::to_string(Expected.value()) +
                         " is expected");
  const auto Data = Item->get("data").extract<std::string>();
  return {At, decodeBase64(Data)};
}

LogBatch parseBatch(const std::string &Text, Offset From,
                    std::size_t MaxRecords) {
  const auto Object = parseObject(Text);
  LogBatch Batch;
  Batch.Bounds = parseBounds(*Object);
  const auto Records = Object->getArray("records");
  if (Records.isNull() || Records->size() > MaxRecords)
    throw LogUnavailable(
        "the answer has no array of records, or too many records");
  Offset Expected = From;
  for (unsigned I = 0; I < Records->size(); ++I) {
    Batch.Records.push_back(parseRecord(*Records, I, Expected));
    Expected = Expected.next();
  }
  if (!Batch.Records.empty() &&
      (From < Batch.Bounds.First || Expected > Batch.Bounds.Next))
    throw LogUnavailable("the answer has records outside of its bounds");
  return Batch;
}

[[noreturn]] void throwTrimmed(const std::string &Text, Offset From) {
  const StreamBounds Kept = parseBounds(*parseObject(Text));
  if (Kept.First <= From)
    throw LogUnavailable("the answer reports a retained offset as trimmed");
  throw LogTrimmed("offset " + std::to_string(From.value()) +
                       " is trimmed, the oldest is " +
                       std::to_string(Kept.First.value()),
                   Kept);
}

void requireStatus(const Answer &Reply, HTTPResponse::HTTPStatus Wanted) {
  if (Reply.Status != Wanted)
    throw LogUnavailable("the log answered " + std::to_string(Reply.Status));
}

/// Converts exceptions of the libraries to LogUnavailable.
template <typename Function>
auto translateErrors(const char *Operation, const Function &Body) {
  try {
    return Body();
  } catch (const LogTrimmed &) {
    throw;
  } catch (const Poco::Exception &Error) {
    throw LogUnavailable(std::string(Operation) + ": " + Error.displayText());
  } catch (const std::exception &Error) {
    throw LogUnavailable(std::string(Operation) + ": " + Error.what());
  }
}

Deadline deadlineAfter(Milliseconds Length) {
  return std::chrono::steady_clock::now() + Length;
}

Offset append(Connection &To, const StreamName &Stream,
              const std::string &Data) {
  const Call Made{"POST", streamPath(Stream), Data, deadlineAfter(To.Timeout)};
  const Answer Reply = exchangeWithRetry(To, Made);
  requireStatus(Reply, HTTPResponse::HTTP_CREATED);
  return Offset(parseOffset(*parseObject(Reply.Body), "offset"));
}

LogBatch read(Connection &To, const StreamName &Stream, Offset From,
              std::size_t MaxRecords, Milliseconds Wait) {
  const std::string Query = "?from=" + std::to_string(From.value()) +
                            "&max=" + std::to_string(MaxRecords) +
                            "&wait_ms=" + std::to_string(Wait.count());
  const Call Made{"GET", streamPath(Stream) + Query, "",
                  deadlineAfter(To.Timeout + Wait)};
  const Answer Reply = exchangeWithRetry(To, Made);
  if (Reply.Status == HTTPResponse::HTTP_GONE)
    throwTrimmed(Reply.Body, From);
  requireStatus(Reply, HTTPResponse::HTTP_OK);
  return parseBatch(Reply.Body, From, MaxRecords);
}

StreamBounds bounds(Connection &To, const StreamName &Stream) {
  const Call Made{"GET", streamPath(Stream) + "/bounds", "",
                  deadlineAfter(To.Timeout)};
  const Answer Reply = exchangeWithRetry(To, Made);
  requireStatus(Reply, HTTPResponse::HTTP_OK);
  return parseBounds(*parseObject(Reply.Body));
}

Poco::Net::SocketAddress parseServerAddress(const std::string &BaseUrl) {
  try {
    const Poco::URI Url(BaseUrl);
    if (Url.getScheme() == "http" && !Url.getHost().empty()) {
      const auto Port = Url.getPort() == 0 ? HttpPort : Url.getPort();
      return {Poco::Net::IPAddress(Url.getHost()), Port};
    }
  } catch (const Poco::Exception &) {
    // Reported below together with the given text.
  }
  throw std::invalid_argument("log URL \"" + BaseUrl +
                              "\" is not http://ip:port");
}

Connection::Connection(const std::string &BaseUrl, Milliseconds Limit)
    : Pool(parseServerAddress(BaseUrl)), Timeout(Limit) {}

} // namespace

LogClient makeHttpLog(const std::string &BaseUrl, Milliseconds Timeout) {
  const auto To = std::make_shared<Connection>(BaseUrl, Timeout);
  LogClient Client;
  Client.Append = [To](const StreamName &Stream, const std::string &Data) {
    return translateErrors("append", [&] { return append(*To, Stream, Data); });
  };
  Client.Read = [To](const StreamName &Stream, Offset From,
                     std::size_t MaxRecords, Milliseconds Wait) {
    return translateErrors(
        "read", [&] { return read(*To, Stream, From, MaxRecords, Wait); });
  };
  Client.Bounds = [To](const StreamName &Stream) {
    return translateErrors("bounds", [&] { return bounds(*To, Stream); });
  };
  return Client;
}

} // namespace lycheethread::streamlog
