#include "ControlServer.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <stdexcept>

namespace {

using namespace lycheethread::testfault;

cxxopts::ParseResult parse(int Argc, char **Argv) {
  cxxopts::Options Options("lychee-test-fault",
                           "Forwarding proxy that injects network faults");
  Options.add_options()("control", "ip:port of POST /control",
                        cxxopts::value<std::string>())(
      "tcp", "listen=target, may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "udp", "listen=target, may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  return Options.parse(Argc, Argv);
}

void addForwards(std::vector<ForwardSpec> &Forwards, Protocol Kind,
                 const std::vector<std::string> &Arguments) {
  for (const std::string &Each : Arguments) {
    if (Each.empty())
      continue;
    const std::size_t Separator = Each.find('=');
    if (Separator == std::string::npos)
      throw std::invalid_argument("\"" + Each + "\" is not listen=target");
    Forwards.push_back(
        {Kind, Each.substr(0, Separator), Each.substr(Separator + 1)});
  }
}

void run(int Argc, char **Argv) {
  const cxxopts::ParseResult Arguments = parse(Argc, Argv);
  std::vector<ForwardSpec> Forwards;
  addForwards(Forwards, Protocol::Tcp,
              Arguments["tcp"].as<std::vector<std::string>>());
  addForwards(Forwards, Protocol::Udp,
              Arguments["udp"].as<std::vector<std::string>>());
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  FaultProxy Proxy(Forwards);
  const ControlServer Control(Arguments["control"].as<std::string>(), Proxy);
  std::cout << "test-fault: control on port " << Control.port() << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    run(Argc, Argv);
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "test-fault: " << Error.what() << "\n";
    return 2;
  }
}
