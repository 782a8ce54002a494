#include "StoreStandIn.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace lycheethread::platformtest {

namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t LengthBytes = 4;
constexpr int MaxThreads = 64;

std::string bigEndian(std::uint64_t Value, std::size_t Bytes) {
  std::string Text;
  for (std::size_t Index = Bytes; Index > 0; --Index)
    Text += static_cast<char>((Value >> (8 * (Index - 1))) & 0xffU);
  return Text;
}

std::string base64(const std::string &Text) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Text;
  Encoder.close();
  return Out.str();
}

struct Record {
  std::string Key;
  std::string Value;
};

struct TopicLog {
  /// Offset of Records.front(); the end offset when Records is empty.
  std::int64_t FirstOffset = 0;
  std::vector<Record> Records;
  std::map<std::string, std::pair<std::int64_t, std::string>> Newest;

  std::int64_t endOffset() const {
    return FirstOffset + static_cast<std::int64_t>(Records.size());
  }
  void append(const Record &Entry) {
    Newest[Entry.Key] = {endOffset(), Entry.Value};
    Records.push_back(Entry);
  }
};

struct State {
  mutable std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, TopicLog> Topics;
  std::map<std::string, TopicLog> Copy;
  int Era = 1;
  bool Unavailable = false;
  bool Stopping = false;
};

using Query = std::map<std::string, std::string>;

class Handler : public HTTPRequestHandler {
public:
  explicit Handler(State &Shared) : State_(Shared) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const Poco::URI Target(Request.getURI());
    Query Parameters;
    for (const auto &[Name, Value] : Target.getQueryParameters())
      Parameters[Name] = Value;
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    int Status = 200;
    int Era = 0;
    const std::string ResponseBody =
        run(Target.getPath(), Parameters, Body, Status, Era);
    Response.set("Store-Era", std::to_string(Era));
    Response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    Response.setContentLength64(static_cast<std::int64_t>(ResponseBody.size()));
    Response.send() << ResponseBody;
  }

private:
  std::string run(const std::string &Path, Query &Parameters,
                  const std::string &Body, int &Status, int &Era) {
    std::unique_lock<std::mutex> Guard(State_.Lock);
    Era = State_.Era;
    if (State_.Unavailable) {
      Status = 503;
      return "";
    }
    TopicLog &Log = State_.Topics[Parameters["topic"]];
    if (Path == "/log-newest")
      return newest(Log);
    if (Path == "/log-append")
      return append(Log, Parameters, Body, Status);
    if (Path == "/log-read")
      return read(Guard, Log, Parameters, Status);
    Status = 404;
    return "";
  }

  static std::string newest(const TopicLog &Log) {
    std::string Items;
    for (const auto &[Key, Entry] : Log.Newest)
      Items += (Items.empty() ? "" : ",") + std::string("{\"key\":\"") + Key +
               "\",\"value\":\"" + base64(Entry.second) +
               "\",\"offset\":" + std::to_string(Entry.first) + "}";
    return "{\"items\":[" + Items + "],\"has_more\":false,\"end_offset\":" +
           std::to_string(Log.endOffset()) + "}";
  }

  std::string append(TopicLog &Log, Query &Parameters, const std::string &Body,
                     int &Status) {
    const std::string End =
        "\"end_offset\":" + std::to_string(Log.endOffset()) + "}";
    if (Parameters.count("at") != 0 &&
        std::stoll(Parameters["at"]) != Log.endOffset()) {
      Status = 412;
      return "{" + End;
    }
    const std::size_t KeyBytes =
        static_cast<unsigned char>(Body.at(LengthBytes));
    Log.append({Body.substr(LengthBytes + 1, KeyBytes),
                Body.substr(LengthBytes + 1 + KeyBytes)});
    State_.Changed.notify_all();
    return "{\"offset\":" + std::to_string(Log.endOffset() - 1) +
           ",\"end_offset\":" + std::to_string(Log.endOffset()) + "}";
  }

  std::string read(std::unique_lock<std::mutex> &Guard, const TopicLog &Log,
                   Query &Parameters, int &Status) {
    const std::int64_t From = std::stoll(Parameters["from"]);
    State_.Changed.wait_for(
        Guard, std::chrono::milliseconds(std::stoll(Parameters["wait_ms"])),
        [&] {
          return Log.endOffset() != From || State_.Unavailable ||
                 State_.Stopping;
        });
    if (State_.Unavailable) {
      Status = 503;
      return "";
    }
    if (From < Log.FirstOffset || From > Log.endOffset()) {
      Status = 410;
      return "{\"first_offset\":" + std::to_string(Log.FirstOffset) + "}";
    }
    std::string ResponseBody =
        bigEndian(static_cast<std::uint64_t>(Log.endOffset()), 8) +
        bigEndian(static_cast<std::uint64_t>(Log.FirstOffset), 8);
    for (std::int64_t Index = From; Index < Log.endOffset(); ++Index) {
      const Record &Entry =
          Log.Records[static_cast<std::size_t>(Index - Log.FirstOffset)];
      ResponseBody +=
          bigEndian(1 + Entry.Key.size() + Entry.Value.size(), LengthBytes);
      ResponseBody += static_cast<char>(Entry.Key.size());
      ResponseBody += Entry.Key + Entry.Value;
    }
    return ResponseBody;
  }

  State &State_;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(State &Shared) : State_(Shared) {}
  HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(State_);
  }

private:
  State &State_;
};

} // namespace

struct StoreStandIn::Impl {
  State Shared;
  Poco::ThreadPool Threads{2, MaxThreads};
  Poco::Net::ServerSocket Socket{
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16(0))};
  Poco::Net::HTTPServer Server{new Factory(Shared), Threads, Socket,
                               new Poco::Net::HTTPServerParams};
};

StoreStandIn::StoreStandIn() : Impl_(std::make_unique<Impl>()) {
  Impl_->Server.start();
}

StoreStandIn::~StoreStandIn() {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
    Impl_->Shared.Stopping = true;
  }
  Impl_->Shared.Changed.notify_all();
  Impl_->Server.stopAll(true);
}

std::uint16_t StoreStandIn::port() const {
  return Impl_->Socket.address().port();
}

void StoreStandIn::put(const std::string &TopicName, const std::string &Key,
                       const std::string &Value) {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  Impl_->Shared.Topics[TopicName].append({Key, Value});
  Impl_->Shared.Changed.notify_all();
}

std::string StoreStandIn::newest(const std::string &TopicName,
                                 const std::string &Key) const {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  const TopicLog &Log = Impl_->Shared.Topics[TopicName];
  const auto Found = Log.Newest.find(Key);
  return Found == Log.Newest.end() ? "" : Found->second.second;
}

void StoreStandIn::removeWithoutTrace(const std::string &TopicName,
                                      const std::string &Key) {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
    TopicLog &Log = Impl_->Shared.Topics[TopicName];
    Log.append({Key, ""});
    Log.Newest.erase(Key);
  }
  dropHistory();
}

void StoreStandIn::dropHistory() {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  for (auto &[Name, Log] : Impl_->Shared.Topics) {
    Log.FirstOffset = Log.endOffset();
    Log.Records.clear();
  }
}

void StoreStandIn::saveCopy() {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  Impl_->Shared.Copy = Impl_->Shared.Topics;
}

void StoreStandIn::restoreCopy() {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  // Calls that wait hold a reference to their topic.
  for (auto &[Name, Log] : Impl_->Shared.Topics)
    Log = Impl_->Shared.Copy[Name];
  ++Impl_->Shared.Era;
  Impl_->Shared.Changed.notify_all();
}

void StoreStandIn::setUnavailable(bool Unavailable) {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  Impl_->Shared.Unavailable = Unavailable;
  Impl_->Shared.Changed.notify_all();
}

} // namespace lycheethread::platformtest
