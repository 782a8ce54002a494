// Baseline proxy for measurements: round robin, no limits, up to two retries
// after any failure.

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <cxxopts.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace Poco::Net;

constexpr int Attempts = 3;
constexpr int MaxThreads = 600;
constexpr int Backlog = 1024;
constexpr int FirstServerError = 500;

struct ProxyState {
  std::vector<std::string> Upstreams;
  std::atomic<std::size_t> Next{0};
};

HTTPClientSession &sessionTo(const std::string &Target) {
  thread_local std::map<std::string, std::unique_ptr<HTTPClientSession>>
      Sessions;
  std::unique_ptr<HTTPClientSession> &Session = Sessions[Target];
  if (!Session) {
    const SocketAddress Address(Target);
    Session = std::make_unique<HTTPClientSession>(Address.host().toString(),
                                                  Address.port());
    Session->setKeepAlive(true);
  }
  return *Session;
}

class Handler : public HTTPRequestHandler {
public:
  explicit Handler(ProxyState &State) : State_(State) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    std::string Body;
    for (int I = 0; I < Attempts; ++I)
      if (attempt(Request, Response, Body))
        break;
    Response.sendBuffer(Body.data(), Body.size());
  }

private:
  bool attempt(const HTTPServerRequest &Request, HTTPServerResponse &Response,
               std::string &Body) {
    const std::string &Target =
        State_.Upstreams[State_.Next++ % State_.Upstreams.size()];
    HTTPClientSession &Session = sessionTo(Target);
    try {
      HTTPRequest UpstreamRequest(Request.getMethod(), Request.getURI(),
                                  HTTPMessage::HTTP_1_1);
      UpstreamRequest.setHost(Request.getHost());
      HTTPResponse UpstreamResponse;
      Body.clear();
      Session.sendRequest(UpstreamRequest);
      Poco::StreamCopier::copyToString(
          Session.receiveResponse(UpstreamResponse), Body);
      Response.setStatusAndReason(UpstreamResponse.getStatus(),
                                  UpstreamResponse.getReason());
      return UpstreamResponse.getStatus() < FirstServerError;
    } catch (const Poco::Exception &) {
      Session.reset();
      Response.setStatusAndReason(HTTPResponse::HTTP_BAD_GATEWAY);
      return false;
    }
  }

  ProxyState &State_;
};

class Factory : public HTTPRequestHandlerFactory {
public:
  explicit Factory(ProxyState &State) : State_(State) {}

  HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(State_);
  }

private:
  ProxyState &State_;
};

} // namespace

int main(int Argc, char **Argv) {
  try {
    ProxyState State;
    std::string Listen;
    cxxopts::Options Parser("lychee-plain-proxy", "Baseline of measurements");
    Parser.add_options()("listen", "ip:port", cxxopts::value(Listen))(
        "upstream", "ip:port", cxxopts::value(State.Upstreams));
    Parser.parse(Argc, Argv);
    sigset_t Signals;
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &Signals, nullptr);
    Poco::ThreadPool Threads(2, MaxThreads);
    auto Params = Poco::makeAuto<HTTPServerParams>();
    Params->setMaxThreads(MaxThreads);
    Params->setMaxQueued(MaxThreads);
    const ServerSocket Socket(SocketAddress(Listen), Backlog);
    HTTPServer Server(new Factory(State), Threads, Socket, Params);
    Server.start();
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Server.stopAll(true);
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "plain-proxy: " << Error.what() << "\n";
    return 1;
  }
}
