// The baseline of measurements: round robin, no limits, two retries after any
// failure.

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

struct Shared {
  std::vector<std::string> Upstreams;
  std::atomic<std::size_t> Next{0};
};

HTTPClientSession &sessionTo(const std::string &Target) {
  thread_local std::map<std::string, std::unique_ptr<HTTPClientSession>> Own;
  std::unique_ptr<HTTPClientSession> &Session = Own[Target];
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
  explicit Handler(Shared &Used) : Shared_(Used) {}

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
        Shared_.Upstreams[Shared_.Next++ % Shared_.Upstreams.size()];
    HTTPClientSession &Session = sessionTo(Target);
    try {
      HTTPRequest Onward(Request.getMethod(), Request.getURI(),
                         HTTPMessage::HTTP_1_1);
      Onward.setHost(Request.getHost());
      HTTPResponse Answer;
      Body.clear();
      Session.sendRequest(Onward);
      Poco::StreamCopier::copyToString(Session.receiveResponse(Answer), Body);
      Response.setStatusAndReason(Answer.getStatus(), Answer.getReason());
      return Answer.getStatus() < FirstServerError;
    } catch (const Poco::Exception &) {
      Session.reset();
      Response.setStatusAndReason(HTTPResponse::HTTP_BAD_GATEWAY);
      return false;
    }
  }

  Shared &Shared_;
};

class Factory : public HTTPRequestHandlerFactory {
public:
  explicit Factory(Shared &Used) : Shared_(Used) {}

  HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(Shared_);
  }

private:
  Shared &Shared_;
};

} // namespace

int main(int Argc, char **Argv) {
  try {
    Shared Used;
    std::string Listen;
    cxxopts::Options Parser("lychee-plain-proxy", "Baseline of measurements");
    Parser.add_options()("listen", "ip:port", cxxopts::value(Listen))(
        "upstream", "ip:port", cxxopts::value(Used.Upstreams));
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
    HTTPServer Server(new Factory(Used), Threads, Socket, Params);
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
