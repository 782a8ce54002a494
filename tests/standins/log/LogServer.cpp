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

/// The request is malformed.
class BadQuery : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

struct Exchange {
  LogStore &Store;
  HTTPServerRequest &Request;
  HTTPServerResponse &Response;
  Poco::URI Target;
};

void answer(Exchange &On, HTTPResponse::HTTPStatus Status,
            const std::string &Body) {
  On.Response.setStatusAndReason(Status);
  On.Response.setContentType("application/json");
  On.Response.sendBuffer(Body.data(), Body.size());
}

void answer(Exchange &On, HTTPResponse::HTTPStatus Status,
            const Poco::JSON::Object &Body) {
  std::ostringstream Text;
  Body.stringify(Text);
  answer(On, Status, Text.str());
}

void answerError(Exchange &On, HTTPResponse::HTTPStatus Status,
                 const std::string &Problem) {
  Poco::JSON::Object Body;
  Body.set("error", Problem);
  On.Response.setKeepAlive(false);
  answer(On, Status, Body);
}

std::int64_t numberIn(const std::string &Text, std::int64_t Max) {
  Poco::Int64 Value = 0;
  if (!Poco::NumberParser::tryParse64(Text, Value) || Value < 0)
    throw BadQuery("\"" + Text + "\" is not a number");
  return std::min<std::int64_t>(Value, Max);
}

std::int64_t parameter(const Exchange &On, const std::string &Name,
                       std::int64_t Default, std::int64_t Max) {
  for (const auto &[Key, Value] : On.Target.getQueryParameters())
    if (Key == Name)
      return numberIn(Value, Max);
  return Default;
}

std::string readBody(Exchange &On) {
  std::string Body(MaxRequestBytes + 1, '\0');
  std::istream &In = On.Request.stream();
  In.read(Body.data(), static_cast<std::streamsize>(Body.size()));
  Body.resize(static_cast<std::size_t>(In.gcount()));
  if (Body.size() > MaxRequestBytes)
    throw BadQuery("the body has more than " + std::to_string(MaxRequestBytes) +
                   " bytes");
  if (On.Request.hasContentLength() &&
      On.Request.getContentLength64() != Poco::Int64(Body.size()))
    throw BadQuery("the body ended early");
  return Body;
}

void closeWithoutAnswer(Exchange &On) {
  auto &Request = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(On.Request);
  On.Response.setKeepAlive(false);
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
    Record.set("offset", Item.At);
    Record.set("data", encodeBase64(Item.Data));
    Records.add(Record);
  }
  return Records;
}

void handleAppend(Exchange &On, const std::string &Stream) {
  const AppendResult Result = On.Store.append(Stream, readBody(On));
  // The delay follows the effect, so that a caller's time-out leaves the
  // result open as on a slow log.
  std::this_thread::sleep_for(On.Store.delay());
  if (Result.Outage)
    return answerError(On, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "outage");
  if (Result.LoseAnswer)
    return closeWithoutAnswer(On);
  Poco::JSON::Object Body;
  Body.set("offset", Result.At);
  answer(On, HTTPResponse::HTTP_CREATED, Body);
}

void answerRead(Exchange &On, const ReadResult &Result, bool WithRecords) {
  std::this_thread::sleep_for(On.Store.delay());
  Poco::JSON::Object Body = boundsJson(Result);
  switch (Result.Status) {
  case ReadStatus::Outage:
    return answerError(On, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "outage");
  case ReadStatus::Trimmed:
    return answer(On, HTTPResponse::HTTP_GONE, Body);
  case ReadStatus::Ok:
    if (WithRecords)
      Body.set("records", recordsJson(Result));
    return answer(On, HTTPResponse::HTTP_OK, Body);
  }
}

void handleRead(Exchange &On, const std::string &Stream) {
  ReadQuery Query;
  Query.Stream = Stream;
  Query.From = parameter(On, "from", 0, INT64_MAX);
  Query.MaxRecords = static_cast<std::size_t>(
      parameter(On, "max", MaxRecordsPerRead, MaxRecordsPerRead));
  Query.Wait =
      std::chrono::milliseconds(parameter(On, "wait_ms", 0, MaxWaitMs));
  answerRead(On, On.Store.read(Query), true);
}

bool endsWith(const std::string &Text, const std::string &End) {
  return Text.size() > End.size() &&
         Text.compare(Text.size() - End.size(), End.size(), End) == 0;
}

void handleStream(Exchange &On, std::string Name) {
  const bool IsGet = On.Request.getMethod() == "GET";
  if (IsGet && endsWith(Name, BoundsSuffix)) {
    Name.resize(Name.size() - BoundsSuffix.size());
    answerRead(On, On.Store.bounds(Name), false);
  } else if (IsGet) {
    handleRead(On, Name);
  } else if (On.Request.getMethod() == "POST") {
    handleAppend(On, Name);
  } else {
    answerError(On, HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "GET or POST");
  }
}

void handleTrim(Exchange &On, const std::string &Value) {
  const auto Colon = Value.rfind(':');
  if (Colon == std::string::npos)
    throw BadQuery("trim is not stream:offset");
  On.Store.trim(Value.substr(0, Colon),
                numberIn(Value.substr(Colon + 1), INT64_MAX));
}

void applyControl(Exchange &On, const std::string &Key,
                  const std::string &Value) {
  if (Key == "outage")
    On.Store.setOutage(numberIn(Value, 1) == 1);
  else if (Key == "delay_ms")
    On.Store.setDelay(std::chrono::milliseconds(numberIn(Value, MaxDelayMs)));
  else if (Key == "lose_answers")
    On.Store.loseAnswers(static_cast<int>(numberIn(Value, INT32_MAX)));
  else if (Key == "trim")
    handleTrim(On, Value);
  else
    throw BadQuery("unknown control \"" + Key + "\"");
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

void answerCounts(Exchange &On) {
  std::int64_t Appends = 0;
  std::int64_t Reads = 0;
  Poco::JSON::Object Streams;
  for (const auto &[Name, Counts] : On.Store.counts()) {
    Appends += Counts.Appends;
    Reads += Counts.Reads;
    Streams.set(Name, countsJson(Counts));
  }
  Poco::JSON::Object Body;
  Body.set("appends", Appends);
  Body.set("reads", Reads);
  Body.set("streams", Streams);
  answer(On, HTTPResponse::HTTP_OK, Body);
}

void handleControl(Exchange &On) {
  if (On.Request.getMethod() == "POST")
    for (const auto &[Key, Value] : On.Target.getQueryParameters())
      applyControl(On, Key, Value);
  answerCounts(On);
}

void handle(Exchange &On) {
  const std::string Path = On.Target.getPath();
  if (Path == "/control")
    handleControl(On);
  else if (Path.size() > StreamPrefix.size() &&
           Path.compare(0, StreamPrefix.size(), StreamPrefix) == 0)
    handleStream(On, Path.substr(StreamPrefix.size()));
  else
    answerError(On, HTTPResponse::HTTP_NOT_FOUND, "no such path");
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(LogStore &Store) : Store_(Store) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    Exchange On{Store_, Request, Response, {}};
    try {
      On.Target = Poco::URI(Request.getURI());
      handle(On);
    } catch (const BadQuery &Error) {
      answerError(On, HTTPResponse::HTTP_BAD_REQUEST, Error.what());
    } catch (const Poco::SyntaxException &Error) {
      answerError(On, HTTPResponse::HTTP_BAD_REQUEST, Error.displayText());
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
