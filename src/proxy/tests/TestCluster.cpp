#include "TestCluster.h"
#include "TestClient.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Process.h>
#include <Poco/Thread.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <sys/wait.h>

namespace lycheethread::proxy {

namespace {

namespace names = kernel::service_names;

const GroupName All("all");
const VersionName Version("v1");

Route makeRoute(const std::string &Name, RequestClass Class) {
  Route Item;
  Item.Name = RouteName(Name);
  Item.Path = Name;
  Item.Class = Class;
  Item.Group = All;
  Item.Timeout = Milliseconds(10000);
  return Item;
}

requests::ServiceView makeService(const ServiceLimits &Limits) {
  requests::ServiceView View;
  View.Limits = Limits;
  View.Routes = {makeRoute("/upload", RequestClass::Upload),
                 makeRoute("/work/order", RequestClass::OnceOnly),
                 makeRoute("/", RequestClass::Repeatable)};
  View.Resources[ResourceName("small")] = {ResourceName("small"),
                                           ByteCount(200000)};
  View.Routes.insert(View.Routes.begin(),
                     makeRoute("/echo/small", RequestClass::Repeatable));
  View.Routes.front().Limit = ResourceName("small");
  View.Groups[All].Share.Stable = Version;
  return View;
}

} // namespace

std::shared_ptr<streamlog::LogClient> FakeLog::client() {
  auto Client = std::make_shared<streamlog::LogClient>();
  Client->Append = [this](const StreamName &Stream, const std::string &Data) {
    Poco::Thread::sleep(AppendMs);
    const std::lock_guard<std::mutex> Guard(Lock);
    if (IsDown)
      throw streamlog::LogUnavailable("the log is down");
    Streams[Stream].push_back(Data);
    if (LosesResponses)
      throw streamlog::LogUnavailable("the response was lost");
    return Offset(static_cast<std::int64_t>(Streams[Stream].size()) - 1);
  };
  Client->Read = [this](const StreamName &Stream, Offset From, std::size_t Max,
                        Milliseconds) {
    const std::lock_guard<std::mutex> Guard(Lock);
    if (IsDown)
      throw streamlog::LogUnavailable("the log is down");
    const std::vector<std::string> &Data = Streams[Stream];
    const auto Next = static_cast<std::int64_t>(Data.size());
    streamlog::LogBatch Batch;
    Batch.Bounds = {Offset(0), Offset(Next)};
    for (std::int64_t I = From.value(); I < Next && Batch.Records.size() < Max;
         ++I)
      Batch.Records.push_back({Offset(I), Data[static_cast<std::size_t>(I)]});
    return Batch;
  };
  Client->Bounds = [this](const StreamName &Stream) {
    const std::lock_guard<std::mutex> Guard(Lock);
    if (IsDown)
      throw streamlog::LogUnavailable("the log is down");
    const auto Next = static_cast<std::int64_t>(Streams[Stream].size());
    return streamlog::StreamBounds{Offset(0), Offset(Next)};
  };
  return Client;
}

std::uint16_t freePort() {
  const Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  return Socket.address().port();
}

UpstreamProcess::UpstreamProcess(std::vector<std::string> Args)
    : Args_(std::move(Args)), Port_(freePort()) {
  start();
}

UpstreamProcess::~UpstreamProcess() { kill(); }

void UpstreamProcess::start() {
  std::vector<std::string> Args = Args_;
  Args.insert(Args.end(), {"--listen", "127.0.0.1:" + std::to_string(Port_)});
  Pid_ = Poco::Process::launch(UPSTREAM_PROGRAM, Args).id();
  for (int I = 0; I < 500; ++I) {
    if (get("/health") == "ok\n")
      return;
    Poco::Thread::sleep(10);
  }
  throw std::runtime_error("the upstream did not start");
}

void UpstreamProcess::kill() {
  if (Pid_ == 0)
    return;
  ::kill(Pid_, SIGKILL);
  int Status = 0;
  ::waitpid(Pid_, &Status, 0);
  Pid_ = 0;
}

std::string UpstreamProcess::get(const std::string &Path) const {
  return TestClient(Port_).get(Path).Body;
}

std::shared_ptr<DrainControl> TestNode::drain() {
  return Kernel.registry().find<DrainControl>(names::Drain);
}

TestCluster::TestCluster() {
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      boost::log::trivial::warning);
}

TestCluster::~TestCluster() {
  for (auto &Node : Nodes_)
    Node->Kernel.stop();
}

void TestCluster::addServices(TestNode &Node) {
  kernel::ServiceRegistry &Registry = Node.Kernel.registry();
  Registry.add(names::Settings, Node.Settings);
  Node.View = std::make_shared<kernel::SnapshotStore<requests::RoutingView>>();
  Registry.add(names::View, Node.View);
  Registry.add(
      names::StoppedMoves,
      std::make_shared<kernel::SnapshotStore<moves::StoppedMoveSet>>());
  Registry.add(names::Log, Log_.client());
  auto Sink = std::make_shared<refusals::RefusalSink>();
  Sink->Add = [&Node](const Refusal &Item) {
    const std::lock_guard<std::mutex> Guard(Node.Lock);
    Node.Refusals.push_back(Item);
  };
  Registry.add(names::Refusals, Sink);
  auto Recorder = std::make_shared<metrics::RequestRecorder>();
  Recorder->Record = [](const metrics::RequestSample &) {};
  Registry.add(names::RequestMetrics, Recorder);
  auto Peers = std::make_shared<peer::PeerControl>();
  Peers->Self = [&Node] {
    Member Self;
    Self.Id = Node.Settings->Id;
    return Self;
  };
  Peers->OnRumour = [&Node](const std::string &, peer::RumourHandler Handler) {
    Node.OnCrash.push_back(std::move(Handler));
  };
  Peers->Broadcast = [this, &Node](const std::string &,
                                   const std::string &Payload) {
    for (auto &Other : Nodes_)
      if (Other.get() != &Node)
        for (auto &Handler : Other->OnCrash)
          Handler(Payload);
  };
  Peers->Announce = [&Node](MemberState State) {
    const std::lock_guard<std::mutex> Guard(Node.Lock);
    Node.State = State;
  };
  Registry.add(names::Peers, Peers);
}

TestNode &TestCluster::add(const std::string &Id, const std::string &Service,
                           const Endpoint &Upstream) {
  Nodes_.push_back(std::make_unique<TestNode>());
  TestNode &Node = *Nodes_.back();
  Node.Settings = std::make_shared<settings::NodeSettings>();
  Node.Settings->Id = NodeId(Id);
  Node.Settings->Listen = {"127.0.0.1", freePort()};
  if (Upstream.Port != 0) {
    Node.Settings->Hop = {"127.0.0.1", freePort()};
    Node.Settings->Upstream = Upstream;
    Node.Settings->Service = ServiceName(Service);
    Node.Settings->Group = All;
    Node.Settings->Version = Version;
  }
  addServices(Node);
  Node.Kernel.add(makeProxyModule());
  Node.Kernel.start();
  return Node;
}

requests::RoutingView TestCluster::makeView() const {
  requests::RoutingView View;
  View.ConfigPosition = Offset(7);
  for (const auto &Node : Nodes_) {
    if (Node->Settings->Service.empty())
      continue;
    auto [It, IsNew] = View.Services.try_emplace(Node->Settings->Service);
    if (IsNew)
      It->second = makeService(Limits);
    requests::Candidate Item;
    Item.Target.Id = Node->Settings->Id;
    Item.Target.Hop = Node->Settings->Hop;
    It->second.Groups[All].ByVersion[Version].push_back(Item);
  }
  return View;
}

void TestCluster::publish() {
  const auto View = std::make_shared<const requests::RoutingView>(makeView());
  for (auto &Node : Nodes_)
    Node->View->store(View);
}

} // namespace lycheethread::proxy
