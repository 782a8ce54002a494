#include "TestCluster.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace lycheethread::failures {

namespace {

using namespace harness;

constexpr std::chrono::seconds ReadyLimit{30};

// The document is DocumentHead, the name of the service, DocumentBody, the
// timeout of the lookup route in ms and DocumentTail.
constexpr const char *DocumentHead = "[service]\nname = ";
constexpr const char *DocumentBody = R"(
team = tests
builds_on = 0

[limits]
slots = 20
connections = 110
queue = 40
caller_share_percent = 50
retry_budget_percent = 10

[upstreams.main]
versions = v1

[resource.big]
max_body_bytes = 209715200

[route.echo]
path = /echo
class = repeatable
upstreams = main
timeout_ms = 1500

[route.lookup]
path = /lookup
class = repeatable
upstreams = main
timeout_ms = )";
constexpr const char *DocumentTail = R"(

[route.orders]
path = /orders
class = once-only
upstreams = main
timeout_ms = 1500

[route.upload]
path = /upload
class = upload
upstreams = main
timeout_ms = 120000
resource = big
)";

} // namespace

unsigned seed() {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  for (int I = 1; I + 1 < Suite.argc; ++I)
    if (std::string(Suite.argv[I]) == "--seed")
      return static_cast<unsigned>(std::stoul(Suite.argv[I + 1]));
  return 1;
}

void report(const std::string &Point, const std::string &Injected,
            const std::string &Observed) {
  std::cout << Point << " | " << Injected << " | " << Observed << std::endl;
}

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void pause(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

TestCluster::TestCluster(const std::string &TestName)
    : Mesh("failures-" + TestName + "-" + std::to_string(seed())),
      Log(&Mesh.startLog()), LogFault(&Mesh.startFault("log-fault", Log->Port)),
      Random_(seed()) {
  publish("desk", 1500);
}

void TestCluster::publish(const std::string &Service, int LookupTimeoutMs) {
  const std::string File = Mesh.write(
      Service + ".ini", DocumentHead + Service + DocumentBody +
                            std::to_string(LookupTimeoutMs) + DocumentTail);
  const Mesh::Run Published = Mesh.run({"publish", File, "--log", Log->url()});
  if (Published.ExitCode != 0)
    throw std::runtime_error("publishing failed: " + Published.Output);
}

NodeProcess &
TestCluster::addForService(const std::string &Service, const std::string &Id,
                           const std::vector<std::string> &UpstreamArgs,
                           bool WithFaultProxy) {
  NodeSpec Spec;
  Spec.Id = Id;
  Spec.Region = "west";
  Spec.Zone = "west-a";
  Spec.Service = Service;
  Spec.Group = "main";
  Spec.UpstreamArgs = {"--runs-file", executionsFile(Id)};
  Spec.UpstreamArgs.insert(Spec.UpstreamArgs.end(), UpstreamArgs.begin(),
                           UpstreamArgs.end());
  Spec.FaultToUpstream = WithFaultProxy;
  return start(Spec);
}

std::string TestCluster::executionsFile(const std::string &Id) const {
  return Mesh.folder() + "/" + Id + ".runs";
}

NodeProcess &TestCluster::start(NodeSpec Spec) {
  Spec.LogUrl = LogFault->url();
  Nodes.push_back(&Mesh.startNode(Spec));
  return *Nodes.back();
}

NodeProcess &TestCluster::add(const std::string &Id, const std::string &Region,
                              const std::string &Zone, bool WithFaultProxy) {
  NodeSpec Spec;
  Spec.Id = Id;
  Spec.Region = Region;
  Spec.Zone = Zone;
  Spec.Service = "desk";
  Spec.Group = "main";
  Spec.UpstreamArgs = {"--runs-file", executionsFile(Id)};
  Spec.FaultToUpstream = WithFaultProxy;
  return start(Spec);
}

NodeProcess &TestCluster::addWithoutUpstream(
    const std::string &Id, const std::string &Region, const std::string &Zone,
    std::chrono::seconds DrainTimeout) {
  NodeSpec Spec;
  Spec.DrainTimeout = DrainTimeout;
  Spec.Id = Id;
  Spec.Region = Region;
  Spec.Zone = Zone;
  return start(Spec);
}

void TestCluster::addFourNodes(bool WithFaultProxy) {
  add("west-1", "west", "west-a", WithFaultProxy);
  add("west-2", "west", "west-a");
  add("east-1", "east", "east-a", WithFaultProxy);
  add("east-2", "east", "east-a");
  waitUntilReady();
}

bool TestCluster::seesAllNodes(const NodeProcess &Node) const {
  const std::string Text = Mesh::status(Node);
  if (Text.find("\"documents\"") == std::string::npos)
    return false;
  const auto Status =
      Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
  const auto Rows = Status->getArray("members");
  std::size_t Ready = 0;
  for (unsigned I = 0; Rows && I < Rows->size(); ++I)
    Ready +=
        Rows->getObject(I)->getObject("states")->optValue<unsigned>("ready", 0);
  return Ready == Nodes.size() && Text.find("desk") != std::string::npos;
}

void TestCluster::waitUntilReady() {
  for (const NodeProcess *Each : Nodes)
    if (!Mesh::waitReady(*Each, ReadyLimit) ||
        !eventually(ReadyLimit, [&] { return seesAllNodes(*Each); }))
      throw std::runtime_error(Each->Spec.Id + " is not ready; see " +
                               Mesh.folder());
}

void TestCluster::restart(NodeProcess &Node) { Mesh.restart(Node); }

void TestCluster::restartUpstream(NodeProcess &Node) {
  Mesh.restartUpstream(Node);
}

HttpCall TestCluster::makeCall(const NodeProcess &Entry,
                               const std::string &Method,
                               const std::string &Path) const {
  HttpCall Call;
  Call.Port = Entry.RequestPort;
  Call.Method = Method;
  Call.Path = Path;
  Call.Headers["Host"] = "desk";
  return Call;
}

std::vector<ExecutionRecord>
TestCluster::executionsAt(const NodeProcess &Node) const {
  std::ifstream In(executionsFile(Node.Spec.Id));
  std::vector<ExecutionRecord> Found;
  ExecutionRecord Next;
  while (In >> Next.AtMs >> Next.Id)
    Found.push_back(Next);
  return Found;
}

std::map<std::string, int> TestCluster::executionsById() const {
  std::map<std::string, int> Counts;
  for (const NodeProcess *Each : Nodes)
    for (const ExecutionRecord &Execution : executionsAt(*Each))
      ++Counts[Execution.Id];
  return Counts;
}

int TestCluster::randomBetween(int Low, int High) {
  return std::uniform_int_distribution<int>(Low, High)(Random_);
}

WorkerThreads::WorkerThreads(int Count, std::function<void(int, int)> Task) {
  for (int Number = 0; Number < Count; ++Number)
    Threads_.emplace_back([this, Number, Task] {
      for (int Iteration = 0; !Stopped_; ++Iteration)
        Task(Number, Iteration);
    });
}

WorkerThreads::~WorkerThreads() { stop(); }

void WorkerThreads::stop() {
  Stopped_ = true;
  for (std::thread &Each : Threads_)
    if (Each.joinable())
      Each.join();
}

} // namespace lycheethread::failures
