#include "World.h"

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

constexpr const char *ServiceLines = "[service]\nname = ";
constexpr const char *Limits = R"(
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
constexpr const char *Routes = R"(

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

World::World(const std::string &TestName)
    : Mesh("failures-" + TestName + "-" + std::to_string(seed())),
      Log(&Mesh.startLog()), LogFault(&Mesh.startFault("log-fault", Log->Port)),
      Random_(seed()) {
  publish("desk", 1500);
}

void World::publish(const std::string &Service, int LookupTimeoutMs) {
  const std::string File = Mesh.write(
      Service + ".ini", ServiceLines + Service + Limits +
                            std::to_string(LookupTimeoutMs) + Routes);
  const Mesh::Run Published = Mesh.run({"publish", File, "--log", Log->url()});
  if (Published.ExitCode != 0)
    throw std::runtime_error("publishing failed: " + Published.Output);
}

NodeProcess &World::addOf(const std::string &Service, const std::string &Id,
                          const std::vector<std::string> &UpstreamArgs,
                          bool Faulty) {
  NodeSpec Spec;
  Spec.Id = Id;
  Spec.Region = "west";
  Spec.Zone = "west-a";
  Spec.Service = Service;
  Spec.Group = "main";
  Spec.UpstreamArgs = {"--runs-file", runsFile(Id)};
  Spec.UpstreamArgs.insert(Spec.UpstreamArgs.end(), UpstreamArgs.begin(),
                           UpstreamArgs.end());
  Spec.FaultToUpstream = Faulty;
  return start(Spec);
}

std::string World::runsFile(const std::string &Id) const {
  return Mesh.folder() + "/" + Id + ".runs";
}

NodeProcess &World::start(NodeSpec Spec) {
  Spec.LogUrl = LogFault->url();
  Nodes.push_back(&Mesh.startNode(Spec));
  return *Nodes.back();
}

NodeProcess &World::add(const std::string &Id, const std::string &Region,
                        const std::string &Zone, bool Faulty) {
  NodeSpec Spec;
  Spec.Id = Id;
  Spec.Region = Region;
  Spec.Zone = Zone;
  Spec.Service = "desk";
  Spec.Group = "main";
  Spec.UpstreamArgs = {"--runs-file", runsFile(Id)};
  Spec.FaultToUpstream = Faulty;
  return start(Spec);
}

NodeProcess &World::addGate(const std::string &Id, const std::string &Region,
                            const std::string &Zone) {
  NodeSpec Spec;
  Spec.Id = Id;
  Spec.Region = Region;
  Spec.Zone = Zone;
  return start(Spec);
}

void World::addFour(bool Faulty) {
  add("west-1", "west", "west-a", Faulty);
  add("west-2", "west", "west-a");
  add("east-1", "east", "east-a", Faulty);
  add("east-2", "east", "east-a");
  waitUntilReady();
}

bool World::seesAll(const NodeProcess &Node) const {
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

void World::waitUntilReady() {
  for (const NodeProcess *Each : Nodes)
    if (!Mesh::waitReady(*Each, ReadyLimit) ||
        !eventually(ReadyLimit, [&] { return seesAll(*Each); }))
      throw std::runtime_error(Each->Spec.Id + " is not ready; see " +
                               Mesh.folder());
}

void World::restart(NodeProcess &Node) { Mesh.restart(Node); }

void World::restartUpstream(NodeProcess &Node) { Mesh.restartUpstream(Node); }

HttpCall World::call(const NodeProcess &Entry, const std::string &Method,
                     const std::string &Path) const {
  HttpCall Call;
  Call.Port = Entry.RequestPort;
  Call.Method = Method;
  Call.Path = Path;
  Call.Headers["Host"] = "desk";
  return Call;
}

std::vector<RunRecord> World::runsAt(const NodeProcess &Node) const {
  std::ifstream In(runsFile(Node.Spec.Id));
  std::vector<RunRecord> Found;
  RunRecord Next;
  while (In >> Next.AtMs >> Next.Id)
    Found.push_back(Next);
  return Found;
}

std::map<std::string, int> World::runs() const {
  std::map<std::string, int> Counts;
  for (const NodeProcess *Each : Nodes)
    for (const RunRecord &Run : runsAt(*Each))
      ++Counts[Run.Id];
  return Counts;
}

int World::random(int Low, int High) {
  return std::uniform_int_distribution<int>(Low, High)(Random_);
}

Callers::Callers(int Count, std::function<void(int, int)> Body) {
  for (int Number = 0; Number < Count; ++Number)
    Threads_.emplace_back([this, Number, Body] {
      for (int Turn = 0; !Stopped_; ++Turn)
        Body(Number, Turn);
    });
}

Callers::~Callers() { stop(); }

void Callers::stop() {
  Stopped_ = true;
  for (std::thread &Each : Threads_)
    if (Each.joinable())
      Each.join();
}

} // namespace lycheethread::failures
