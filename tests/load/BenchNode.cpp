// The data path of one node with a fixed routing view, for measurements without
// membership and log.

#include "proxy/Proxy.h"
#include "proxy/internal/NodeServices.h"

#include <Poco/Net/SocketAddress.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace lycheethread;
namespace names = kernel::service_names;

const ServiceName Service("bench");
const GroupName Group("all");
const VersionName Version("v1");

struct Options {
  std::string Id = "n1";
  std::string Listen;
  std::string Hop;
  std::string Upstream;
  /// "id=ip:port" of the hop endpoint of each node, this node included.
  std::vector<std::string> Nodes;
  ServiceLimits Limits;
};

Endpoint parseEndpoint(const std::string &Text) {
  const Poco::Net::SocketAddress Address(Text);
  return {Address.host().toString(), Address.port()};
}

Options parseOptions(int Argc, char **Argv) {
  Options Result;
  cxxopts::Options Parser("lychee-bench-node", "Data path with a fixed view");
  Parser.add_options()("id", "node id", cxxopts::value(Result.Id))(
      "listen", "ip:port", cxxopts::value(Result.Listen))(
      "hop", "ip:port", cxxopts::value(Result.Hop))(
      "upstream", "ip:port", cxxopts::value(Result.Upstream))(
      "node", "id=ip:port", cxxopts::value(Result.Nodes))(
      "slots", "slots", cxxopts::value(Result.Limits.Slots))(
      "connections", "connections", cxxopts::value(Result.Limits.Connections))(
      "queue", "queue", cxxopts::value(Result.Limits.Queue))(
      "caller-share", "percent",
      cxxopts::value(Result.Limits.CallerSharePercent));
  Parser.parse(Argc, Argv);
  return Result;
}

requests::RoutingView makeView(const Options &Config) {
  requests::RoutingView View;
  requests::ServiceView &Own = View.Services[Service];
  Own.Limits = Config.Limits;
  Route DefaultRoute;
  DefaultRoute.Name = RouteName("all");
  DefaultRoute.Path = "/";
  DefaultRoute.Group = Group;
  DefaultRoute.Timeout = Milliseconds(2000);
  Own.Routes.push_back(DefaultRoute);
  Own.Groups[Group].Share.Stable = Version;
  for (const std::string &Text : Config.Nodes) {
    requests::Candidate Item;
    const std::size_t Split = Text.find('=');
    Item.Target.Id = NodeId(Text.substr(0, Split));
    Item.Target.Hop = parseEndpoint(Text.substr(Split + 1));
    Own.Groups[Group].ByVersion[Version].push_back(Item);
  }
  return View;
}

std::shared_ptr<settings::NodeSettings> makeSettings(const Options &Config) {
  auto Settings = std::make_shared<settings::NodeSettings>();
  Settings->Id = NodeId(Config.Id);
  Settings->Listen = parseEndpoint(Config.Listen);
  if (!Config.Upstream.empty()) {
    Settings->Hop = parseEndpoint(Config.Hop);
    Settings->Upstream = parseEndpoint(Config.Upstream);
    Settings->Service = Service;
    Settings->Group = Group;
    Settings->Version = Version;
  }
  Settings->MaxConnections = 1024;
  return Settings;
}

void addServices(kernel::ServiceRegistry &Registry, const Options &Config) {
  Registry.add(names::Settings, makeSettings(Config));
  Registry.add(names::View,
               std::make_shared<kernel::SnapshotStore<requests::RoutingView>>(
                   std::make_shared<requests::RoutingView>(makeView(Config))));
  Registry.add(
      names::StoppedMoves,
      std::make_shared<kernel::SnapshotStore<moves::StoppedMoveSet>>());
  auto Sink = std::make_shared<refusals::RefusalSink>();
  Sink->Add = [](const Refusal &) {};
  Registry.add(names::Refusals, Sink);
  auto Recorder = std::make_shared<metrics::RequestRecorder>();
  Recorder->Record = [](const metrics::RequestSample &) {};
  Registry.add(names::RequestMetrics, Recorder);
  auto Peers = std::make_shared<peer::PeerControl>();
  Peers->Self = [] { return Member(); };
  Peers->Broadcast = [](const std::string &, const std::string &) {};
  Peers->OnRumour = [](const std::string &, peer::RumourHandler) {};
  Peers->Announce = [](MemberState) {};
  Registry.add(names::Peers, Peers);
  auto Log = std::make_shared<streamlog::LogClient>();
  Log->Append = [](const StreamName &, const std::string &) -> Offset {
    throw streamlog::LogUnavailable("no log");
  };
  Registry.add(names::Log, Log);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    sigset_t Signals;
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigaddset(&Signals, SIGINT);
    sigprocmask(SIG_BLOCK, &Signals, nullptr);
    boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                        boost::log::trivial::warning);
    kernel::Kernel Node;
    addServices(Node.registry(), parseOptions(Argc, Argv));
    Node.add(proxy::makeProxyModule());
    Node.start();
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Node.stop();
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "bench-node: " << Error.what() << "\n";
    return 1;
  }
}
