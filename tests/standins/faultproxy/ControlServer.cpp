#include "ControlServer.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

#include <sstream>
#include <stdexcept>

namespace lycheethread::testfault {

namespace {

namespace net = Poco::Net;
using Poco::JSON::Object;

FaultMode parseMode(const std::string &Name) {
  if (Name == "pass")
    return FaultMode::Pass;
  if (Name == "reset")
    return FaultMode::Reset;
  if (Name == "drop")
    return FaultMode::Drop;
  throw std::invalid_argument("mode \"" + Name +
                              "\" is not pass, reset or drop");
}

std::int64_t number(const Object::Ptr &From, const char *Key) {
  return From->optValue<std::int64_t>(Key, 0);
}

void applyRule(FaultProxy &Proxy, const std::string &Body) {
  const auto Parameters =
      Poco::JSON::Parser().parse(Body).extract<Object::Ptr>();
  FaultRule Rule;
  Rule.Mode = parseMode(Parameters->optValue<std::string>("mode", "pass"));
  Rule.DelayMs = number(Parameters, "delay_ms");
  Rule.JitterMs = number(Parameters, "jitter_ms");
  Rule.BytesPerSecond = number(Parameters, "bytes_per_s");
  Rule.CloseAfterBytes = number(Parameters, "close_after_bytes");
  Rule.From = Parameters->optValue<std::string>("from", "");
  const std::string Direction =
      Parameters->optValue<std::string>("direction", "both");
  if (Direction != "up" && Direction != "down" && Direction != "both")
    throw std::invalid_argument("direction \"" + Direction +
                                "\" is not up, down or both");
  const std::string Listen = Parameters->getValue<std::string>("listen");
  if (!Proxy.setRule(Listen, Direction != "down", Direction != "up", Rule))
    throw std::invalid_argument("no forward listens on \"" + Listen + "\"");
}

std::string totalsJson(const FaultProxy &Proxy) {
  Poco::JSON::Array Rows;
  for (const ForwardTotals &Each : Proxy.totals()) {
    Object Row;
    Row.set("protocol", Each.Spec.Kind == Protocol::Tcp ? "tcp" : "udp");
    Row.set("listen", Each.Spec.Listen);
    Row.set("target", Each.Spec.Target);
    Row.set("bytes_up", Each.BytesUp);
    Row.set("bytes_down", Each.BytesDown);
    Row.set("connections", Each.Connections);
    Rows.add(Row);
  }
  std::ostringstream Text;
  Rows.stringify(Text);
  return Text.str();
}

class Handler : public net::HTTPRequestHandler {
public:
  explicit Handler(FaultProxy &Proxy) : Proxy_(Proxy) {}

  void handleRequest(net::HTTPServerRequest &Request,
                     net::HTTPServerResponse &Response) override {
    std::string Answer;
    try {
      if (Request.getMethod() == "POST") {
        std::string Body;
        Poco::StreamCopier::copyToString(Request.stream(), Body);
        applyRule(Proxy_, Body);
      }
      Answer = totalsJson(Proxy_);
    } catch (const std::exception &Error) {
      Response.setStatusAndReason(net::HTTPResponse::HTTP_BAD_REQUEST);
      Answer = Error.what();
    }
    Response.sendBuffer(Answer.data(), Answer.size());
  }

private:
  FaultProxy &Proxy_;
};

class Factory : public net::HTTPRequestHandlerFactory {
public:
  explicit Factory(FaultProxy &Proxy) : Proxy_(Proxy) {}

  net::HTTPRequestHandler *
  createRequestHandler(const net::HTTPServerRequest &) override {
    return new Handler(Proxy_);
  }

private:
  FaultProxy &Proxy_;
};

} // namespace

struct ControlServer::Impl {
  Impl(const std::string &Address, FaultProxy &Proxy)
      : Socket(net::SocketAddress(Address)),
        Server(new Factory(Proxy), Socket, new net::HTTPServerParams) {}

  net::ServerSocket Socket;
  net::HTTPServer Server;
};

ControlServer::ControlServer(const std::string &Address, FaultProxy &Proxy)
    : Impl_(std::make_unique<Impl>(Address, Proxy)) {
  Impl_->Server.start();
}

ControlServer::~ControlServer() { Impl_->Server.stopAll(true); }

std::uint16_t ControlServer::port() const {
  return Impl_->Socket.address().port();
}

} // namespace lycheethread::testfault
