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
  for (std::size_t At = Bytes; At > 0; --At)
    Text += static_cast<char>((Value >> (8 * (At - 1))) & 0xffU);
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

struct Topic {
  /// Offset of Records.front().
  std::int64_t First = 0;
  std::vector<Record> Records;
  std::map<std::string, std::pair<std::int64_t, std::string>> Newest;

  std::int64_t end() const {
    return First + static_cast<std::int64_t>(Records.size());
  }
  void add(const Record &Item) {
    Newest[Item.Key] = {end(), Item.Value};
    Records.push_back(Item);
  }
};

struct State {
  mutable std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Topic> Topics;
  bool Down = false;
  bool Ending = false;
};

using Query = std::map<std::string, std::string>;

class Handler : public HTTPRequestHandler {
public:
  explicit Handler(State &Used) : State_(Used) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const Poco::URI Target(Request.getURI());
    Query Given;
    for (const auto &[Name, Value] : Target.getQueryParameters())
      Given[Name] = Value;
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    int Status = 200;
    const std::string Answer = run(Target.getPath(), Given, Body, Status);
    Response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    Response.setContentLength64(static_cast<std::int64_t>(Answer.size()));
    Response.send() << Answer;
  }

private:
  std::string run(const std::string &Path, Query &Given,
                  const std::string &Body, int &Status) {
    std::unique_lock<std::mutex> Guard(State_.Lock);
    if (State_.Down) {
      Status = 503;
      return "";
    }
    Topic &Used = State_.Topics[Given["topic"]];
    if (Path == "/log-newest")
      return newest(Used);
    if (Path == "/log-append")
      return append(Used, Given, Body, Status);
    if (Path == "/log-read")
      return read(Guard, Used, Given, Status);
    Status = 404;
    return "";
  }

  static std::string newest(const Topic &Used) {
    std::string Items;
    for (const auto &[Key, Item] : Used.Newest)
      Items += (Items.empty() ? "" : ",") + std::string("{\"key\":\"") + Key +
               "\",\"value\":\"" + base64(Item.second) +
               "\",\"offset\":" + std::to_string(Item.first) + "}";
    return "{\"items\":[" + Items +
           "],\"has_more\":false,\"end_offset\":" + std::to_string(Used.end()) +
           "}";
  }

  std::string append(Topic &Used, Query &Given, const std::string &Body,
                     int &Status) {
    const std::string End =
        "\"end_offset\":" + std::to_string(Used.end()) + "}";
    if (Given.count("at") != 0 && std::stoll(Given["at"]) != Used.end()) {
      Status = 412;
      return "{" + End;
    }
    const std::size_t KeyBytes =
        static_cast<unsigned char>(Body.at(LengthBytes));
    Used.add({Body.substr(LengthBytes + 1, KeyBytes),
              Body.substr(LengthBytes + 1 + KeyBytes)});
    State_.Changed.notify_all();
    return "{\"offset\":" + std::to_string(Used.end() - 1) +
           ",\"end_offset\":" + std::to_string(Used.end()) + "}";
  }

  std::string read(std::unique_lock<std::mutex> &Guard, const Topic &Used,
                   Query &Given, int &Status) {
    const std::int64_t From = std::stoll(Given["from"]);
    State_.Changed.wait_for(
        Guard, std::chrono::milliseconds(std::stoll(Given["wait_ms"])),
        [&] { return Used.end() > From || State_.Down || State_.Ending; });
    if (State_.Down) {
      Status = 503;
      return "";
    }
    if (From < Used.First) {
      Status = 410;
      return "{\"first_offset\":" + std::to_string(Used.First) + "}";
    }
    std::string Answer = bigEndian(static_cast<std::uint64_t>(Used.end()), 8) +
                         bigEndian(static_cast<std::uint64_t>(Used.First), 8);
    for (std::int64_t At = From; At < Used.end(); ++At) {
      const Record &Item =
          Used.Records[static_cast<std::size_t>(At - Used.First)];
      Answer += bigEndian(1 + Item.Key.size() + Item.Value.size(), LengthBytes);
      Answer += static_cast<char>(Item.Key.size());
      Answer += Item.Key + Item.Value;
    }
    return Answer;
  }

  State &State_;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(State &Used) : State_(Used) {}
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
    Impl_->Shared.Ending = true;
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
  Impl_->Shared.Topics[TopicName].add({Key, Value});
  Impl_->Shared.Changed.notify_all();
}

std::string StoreStandIn::newest(const std::string &TopicName,
                                 const std::string &Key) const {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  const Topic &Used = Impl_->Shared.Topics[TopicName];
  const auto Found = Used.Newest.find(Key);
  return Found == Used.Newest.end() ? "" : Found->second.second;
}

void StoreStandIn::dropHistory() {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  for (auto &[Name, Used] : Impl_->Shared.Topics) {
    Used.First = Used.end();
    Used.Records.clear();
  }
}

void StoreStandIn::setDown(bool Down) {
  const std::lock_guard<std::mutex> Guard(Impl_->Shared.Lock);
  Impl_->Shared.Down = Down;
  Impl_->Shared.Changed.notify_all();
}

} // namespace lycheethread::platformtest
