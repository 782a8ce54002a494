#include "LogServer.h"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTMLForm.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace lycheethread::testlog {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t MaxRequestBytes = 1024 * 1024;
constexpr int MaxThreads = 256;
constexpr std::int64_t MaxRecordsPerRead = 10'000;
constexpr std::int64_t MaxWaitMs = 60'000;
constexpr std::int64_t MaxDelayMs = 600'000;
const std::string StreamPrefix = "/streams/";
const std::string BoundsSuffix = "/bounds";

/// Thrown for a malformed request.
class InvalidRequest : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

struct RequestContext {
  LogStore &Store;
  HTTPServerRequest &Request;
  HTTPServerResponse &Response;
  Poco::URI Target;
};

void sendResponse(RequestContext &Context, HTTPResponse::HTTPStatus Status,
                  const std::string &Body) {
  Context.Response.setStatusAndReason(Status);
  Context.Response.setContentType("application/json");
  Context.Response.sendBuffer(Body.data(), Body.size());
}

void sendResponse(RequestContext &Context, HTTPResponse::HTTPStatus Status,
                  const Poco::JSON::Object &Body) {
  std::ostringstream Text;
  Body.stringify(Text);
  sendResponse(Context, Status, Text.str());
}

void sendError(RequestContext &Context, HTTPResponse::HTTPStatus Status,
               const std::string &Message) {
  Poco::JSON::Object Body;
  Body.set("error", Message);
  Context.Response.setKeepAlive(false);
  sendResponse(Context, Status, Body);
}

std::int64_t parseNumber(const std::string &Text, std::int64_t Max) {
  Poco::Int64 Value = 0;
  if (!Poco::NumberParser::tryParse64(Text, Value) || Value < 0)
    throw InvalidRequest("\"" + Text + "\" is not a number");
  return std::min<std::int64_t>(Value, Max);
}

std::int64_t parameter(const RequestContext &Context, const std::string &Name,
                       std::int64_t Default, std::int64_t Max) {
  for (const auto &[Key, Value] : Context.Target.getQueryParameters())
    if (Key == Name)
      return parseNumber(Value, Max);
  return Default;
}

std::string readBody(RequestContext &Context) {
  std::string Body(MaxRequestBytes + 1, '\0');
  std::istream &In = Context.Request.stream();
  In.read(Body.data(), static_cast<std::streamsize>(Body.size()));
  Body.resize(static_cast<std::size_t>(In.gcount()));
  if (Body.size() > MaxRequestBytes)
    throw InvalidRequest("the body has more than " +
                         std::to_string(MaxRequestBytes) + " bytes");
  if (Context.Request.hasContentLength() &&
      Context.Request.getContentLength64() != Poco::Int64(Body.size()))
    throw InvalidRequest("the body ended early");
  return Body;
}

void closeWithoutResponse(RequestContext &Context) {
  auto &Request =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Context.Request);
  Context.Response.setKeepAlive(false);
  Request.socket().shutdown();
}

Poco::JSON::Object boundsJson(const ReadResult &From) {
  Poco::JSON::Object Body;
  Body.set("first", From.First);
  Body.set("next", From.Next);
  return Body;
}

std::string encodeBase64(const std::string &Data) {
  std::ostringstream Text;
  Poco::Base64Encoder Encoder(Text);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Data;
  Encoder.close();
  return Text.str();
}

Poco::JSON::Array recordsJson(const ReadResult &From) {
  Poco::JSON::Array Records;
  for (const StoredRecord &Item : From.Records) {
    Poco::JSON::Object Record;
    Record.set("offset", Item.RecordOffset);
    Record.set("data", encodeBase64(Item.Data));
    Records.add(Record);
  }
  return Records;
}

void handleAppend(RequestContext &Context, const std::string &Stream) {
  const AppendResult Result = Context.Store.append(Stream, readBody(Context));
  // The delay comes after the append: when the caller times out, it does not
  // know whether the append took effect, as with a slow log.
  std::this_thread::sleep_for(Context.Store.delay());
  if (Result.Outage)
    return sendError(Context, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "outage");
  if (Result.DropResponse)
    return closeWithoutResponse(Context);
  Poco::JSON::Object Body;
  Body.set("offset", Result.RecordOffset);
  sendResponse(Context, HTTPResponse::HTTP_CREATED, Body);
}

void sendReadResult(RequestContext &Context, const ReadResult &Result,
                    bool WithRecords) {
  std::this_thread::sleep_for(Context.Store.delay());
  Poco::JSON::Object Body = boundsJson(Result);
  switch (Result.Status) {
  case ReadStatus::Outage:
    return sendError(Context, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "outage");
  case ReadStatus::Trimmed:
    return sendResponse(Context, HTTPResponse::HTTP_GONE, Body);
  case ReadStatus::Ok:
    if (WithRecords)
      Body.set("records", recordsJson(Result));
    return sendResponse(Context, HTTPResponse::HTTP_OK, Body);
  }
}

void handleRead(RequestContext &Context, const std::string &Stream) {
  ReadQuery Query;
  Query.Stream = Stream;
  Query.From = parameter(Context, "from", 0, INT64_MAX);
  Query.MaxRecords = static_cast<std::size_t>(
      parameter(Context, "max", MaxRecordsPerRead, MaxRecordsPerRead));
  Query.Wait =
      std::chrono::milliseconds(parameter(Context, "wait_ms", 0, MaxWaitMs));
  sendReadResult(Context, Context.Store.read(Query), true);
}

bool endsWith(const std::string &Text, const std::string &End) {
  return Text.size() > End.size() &&
         Text.compare(Text.size() - End.size(), End.size(), End) == 0;
}

void handleStream(RequestContext &Context, std::string Name) {
  const bool IsGet = Context.Request.getMethod() == "GET";
  if (IsGet && endsWith(Name, BoundsSuffix)) {
    Name.resize(Name.size() - BoundsSuffix.size());
    sendReadResult(Context, Context.Store.bounds(Name), false);
  } else if (IsGet) {
    handleRead(Context, Name);
  } else if (Context.Request.getMethod() == "POST") {
    handleAppend(Context, Name);
  } else {
    sendError(Context, HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "GET or POST");
  }
}

void handleTrim(RequestContext &Context, const std::string &Value) {
  const auto Colon = Value.rfind(':');
  if (Colon == std::string::npos)
    throw InvalidRequest("trim is not stream:offset");
  Context.Store.trim(Value.substr(0, Colon),
                     parseNumber(Value.substr(Colon + 1), INT64_MAX));
}

void applyControl(RequestContext &Context, const std::string &Key,
                  const std::string &Value) {
  if (Key == "outage")
    Context.Store.setOutage(parseNumber(Value, 1) == 1);
  else if (Key == "delay_ms")
    Context.Store.setDelay(
        std::chrono::milliseconds(parseNumber(Value, MaxDelayMs)));
  else if (Key == "lose_answers")
    Context.Store.loseAnswers(static_cast<int>(parseNumber(Value, INT32_MAX)));
  else if (Key == "trim")
    handleTrim(Context, Value);
  else
    throw InvalidRequest("unknown control \"" + Key + "\"");
}

Poco::JSON::Object countsJson(const StreamCounts &From) {
  Poco::JSON::Object Body;
  Body.set("first", From.First);
  Body.set("next", From.Next);
  Body.set("appends", From.Appends);
  Body.set("reads", From.Reads);
  Body.set("bytes_in", From.BytesIn);
  Body.set("bytes_out", From.BytesOut);
  return Body;
}

void sendCounts(RequestContext &Context) {
  std::int64_t Appends = 0;
  std::int64_t Reads = 0;
  Poco::JSON::Object Streams;
  for (const auto &[Name, Counts] : Context.Store.counts()) {
    Appends += Counts.Appends;
    Reads += Counts.Reads;
    Streams.set(Name, countsJson(Counts));
  }
  Poco::JSON::Object Body;
  Body.set("appends", Appends);
  Body.set("reads", Reads);
  Body.set("streams", Streams);
  sendResponse(Context, HTTPResponse::HTTP_OK, Body);
}

void handleControl(RequestContext &Context) {
  if (Context.Request.getMethod() == "POST")
    for (const auto &[Key, Value] : Context.Target.getQueryParameters())
      applyControl(Context, Key, Value);
  sendCounts(Context);
}

void handle(RequestContext &Context) {
  const std::string Path = Context.Target.getPath();
  if (Path == "/control")
    handleControl(Context);
  else if (Path.size() > StreamPrefix.size() &&
           Path.compare(0, StreamPrefix.size(), StreamPrefix) == 0)
    handleStream(Context, Path.substr(StreamPrefix.size()));
  else
    sendError(Context, HTTPResponse::HTTP_NOT_FOUND, "no such path");
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(LogStore &Store) : Store_(Store) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    RequestContext Context{Store_, Request, Response, {}};
    try {
      Context.Target = Poco::URI(Request.getURI());
      handle(Context);
    } catch (const InvalidRequest &Error) {
      sendError(Context, HTTPResponse::HTTP_BAD_REQUEST, Error.what());
    } catch (const Poco::SyntaxException &Error) {
      sendError(Context, HTTPResponse::HTTP_BAD_REQUEST, Error.displayText());
    }
  }

private:
  LogStore &Store_;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(LogStore &Store) : Store_(Store) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(Store_);
  }

private:
  LogStore &Store_;
};

Poco::Net::HTTPServerParams::Ptr serverParams() {
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(MaxThreads);
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(Poco::Timespan(30, 0));
  return Params;
}

} // namespace

struct LogServer::Impl {
  Impl(const std::string &Address, std::size_t RetainRecords)
      : Store(RetainRecords), Threads(2, MaxThreads),
        Socket(Poco::Net::SocketAddress(Address)),
        Http(new Factory(Store), Threads, Socket, serverParams()) {}

  LogStore Store;
  Poco::ThreadPool Threads;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Http;
};

LogServer::LogServer(const std::string &Address, std::size_t RetainRecords)
    : Impl_(std::make_unique<Impl>(Address, RetainRecords)) {
  Impl_->Http.start();
}

LogServer::~LogServer() {
  Impl_->Store.setOutage(true);
  Impl_->Http.stopAll(true);
  Impl_->Threads.joinAll();
}

std::uint16_t LogServer::port() const { return Impl_->Socket.address().port(); }

LogStore &LogServer::store() { return Impl_->Store; }

} // namespace lycheethread::testlog
