#include "Handler.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace lycheethread::upstream;

constexpr int MaxConnections = 600;
constexpr int Backlog = 1024;

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  Factory(const Options &Config, Faults &Shared)
      : Options_(Config), Faults_(Shared) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(Options_, Faults_);
  }

private:
  const Options &Options_;
  Faults &Faults_;
};

Options parseOptions(int Argc, char **Argv) {
  Options Result;
  cxxopts::Options Parser("lychee-test-upstream", "Upstream for tests");
  Parser.add_options()("listen", "ip:port", cxxopts::value(Result.Listen))(
      "version", "name", cxxopts::value(Result.Version))(
      "slots", "requests at once", cxxopts::value(Result.Slots))(
      "workers", "requests that make progress at once",
      cxxopts::value(Result.Workers))("service-time-ms", "time of one request",
                                      cxxopts::value(Result.ServiceTimeMs))(
      "cold-start-ms", "time in which requests take longer",
      cxxopts::value(Result.ColdStartMs))("runs-file",
                                          "file to which runs are appended",
                                          cxxopts::value(Result.RunsFile))(
      "node", "listen endpoint of the own node", cxxopts::value(Result.Node));
  Parser.parse(Argc, Argv);
  return Result;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    const Options Config = parseOptions(Argc, Argv);
    Faults Shared(Config);
    sigset_t Signals;
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigaddset(&Signals, SIGINT);
    sigprocmask(SIG_BLOCK, &Signals, nullptr);
    Poco::ThreadPool Threads(2, MaxConnections);
    auto Params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    Params->setMaxThreads(MaxConnections);
    Params->setMaxQueued(MaxConnections);
    Params->setKeepAliveTimeout(Poco::Timespan(15, 0));
    const Poco::Net::ServerSocket Socket(
        Poco::Net::SocketAddress(Config.Listen), Backlog);
    Poco::Net::HTTPServer Server(new Factory(Config, Shared), Threads, Socket,
                                 Params);
    Server.start();
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Server.stopAll(true);
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "upstream: " << Error.what() << "\n";
    return 1;
  }
}
