#include "LogServer.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

constexpr const char *DefaultRetainRecords = "1000000";

cxxopts::ParseResult parse(int Argc, char **Argv) {
  cxxopts::Options Options("lychee-test-log",
                           "In-memory test double of the platform's log");
  Options.add_options()("listen", "ip:port to listen on",
                        cxxopts::value<std::string>())(
      "retain-records", "records that each stream keeps",
      cxxopts::value<std::size_t>()->default_value(DefaultRetainRecords));
  return Options.parse(Argc, Argv);
}

void run(int Argc, char **Argv) {
  const auto Arguments = parse(Argc, Argv);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  const lycheethread::testlog::LogServer Server(
      Arguments["listen"].as<std::string>(),
      Arguments["retain-records"].as<std::size_t>());
  std::cout << "test-log: listening on port " << Server.port() << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    run(Argc, Argv);
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "test-log: " << Error.what() << "\n";
    return 2;
  }
}
