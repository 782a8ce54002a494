#include "Fleet.h"

#include "distribution/Distribution.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace lycheethread::failures {

using namespace harness;
using Poco::JSON::Object;

namespace {

constexpr std::chrono::seconds PublishLimit{60};
constexpr const char *ResetRule = R"("mode":"reset")";

Object::Ptr parseObject(const std::string &Text) {
  return Poco::JSON::Parser().parse(Text).extract<Object::Ptr>();
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

std::string exampleDocument(const std::string &File, int BaseRevision,
                            const std::string &Additions) {
  std::string Text = readFile(std::string(ZINNWERK_DOCUMENTS) + "/" + File);
  const std::string Line = "builds_on = 0";
  const std::size_t At = Text.find(Line);
  if (At == std::string::npos)
    throw std::runtime_error(File + " has no line " + Line);
  Text.replace(At, Line.size(), "builds_on = " + std::to_string(BaseRevision));
  return Text + "\n" + Additions;
}

std::string controlAddressOf(const std::string &Region) {
  return Region == "franken" ? "127.0.0.2" : "127.0.0.1";
}

std::string otherRegion(const std::string &Region) {
  return Region == "franken" ? "oberbayern" : "franken";
}

std::string folderName(const std::string &CaseName, unsigned Seed) {
  return "configuration-" + CaseName + "-" + std::to_string(Seed);
}

} // namespace

std::optional<NodeStatus> statusOf(const NodeProcess &Node) {
  const std::string Text = harness::Mesh::status(Node);
  if (Text.empty())
    return std::nullopt;
  const Object::Ptr From = parseObject(Text);
  NodeStatus Status;
  Status.Ready = From->optValue<std::string>("state", "") == "ready";
  Status.Position =
      From->getObject("config")->getValue<Poco::Int64>("position");
  const auto Rows = From->getArray("members");
  for (unsigned I = 0; Rows && I < Rows->size(); ++I)
    Status.ReadyMembers +=
        Rows->getObject(I)->getObject("states")->optValue<unsigned>("ready", 0);
  const auto Documents = From->getArray("documents");
  for (unsigned I = 0; Documents && I < Documents->size(); ++I) {
    const Object::Ptr Each = Documents->getObject(I);
    Status.Revisions[Each->getValue<std::string>("service")] =
        Each->getValue<Poco::Int64>("revision");
  }
  return Status;
}

PublishCommand::PublishCommand(const std::string &Document,
                               const std::string &LogUrl, std::string Output)
    : Output_(std::move(Output)),
      Process_(
          LYCHEE_BINARY,
          {"publish", Document, "--log", LogUrl, "--json", "--timeout", "30"},
          Output_) {}

PublishCommand::Outcome PublishCommand::wait() {
  constexpr int Refused = 1;
  Outcome Result;
  const int Code = Process_.waitFor(PublishLimit).value_or(-1);
  Result.Output = readFile(Output_);
  Result.Accepted = Code == 0;
  Result.Refused = Code == Refused;
  const std::size_t Start = Result.Output.find('{');
  if (Start == std::string::npos)
    return Result;
  const Object::Ptr Body = parseObject(Result.Output.substr(Start));
  Result.Revision = Body->optValue<Poco::Int64>("revision", -1);
  return Result;
}

PositionMonitor::PositionMonitor(std::vector<NodeProcess *> Nodes)
    : Nodes_(std::move(Nodes)), Worker_([this] { run(); }) {}

PositionMonitor::~PositionMonitor() {
  Stopping_ = true;
  Worker_.join();
}

std::string PositionMonitor::regressions() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return Regressions_;
}

void PositionMonitor::run() {
  while (!Stopping_) {
    for (const NodeProcess *Node : Nodes_) {
      const auto Status = statusOf(*Node);
      if (!Status || !Status->Ready)
        continue;
      ++Polls_;
      const std::lock_guard<std::mutex> Guard(Lock_);
      std::int64_t &Highest = Highest_[Node->Spec.Id];
      if (Status->Position < Highest)
        Regressions_ += Node->Spec.Id + " went from " +
                        std::to_string(Highest) + " to " +
                        std::to_string(Status->Position) + "; ";
      Highest = std::max(Highest, Status->Position);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

Fleet::Fleet(const std::string &CaseName, unsigned Seed, bool ForwardControl)
    : Mesh(folderName(CaseName, Seed)), Log(&Mesh.startLog()), Random(Seed),
      ForwardControl_(ForwardControl) {
  for (const char *Region : {"oberbayern", "franken"})
    LogFaults[Region] =
        &Mesh.startFault(std::string("log-fault-") + Region, Log->Port);
  publish(ledgerDocument(0));
  publish(catalogueDocument(0, 0));
  start("workshop-1", "oberbayern", "eichstaett", CatalogueService, "workshop");
  start("workshop-2", "oberbayern", "ingolstadt", CatalogueService, "workshop");
  start("scans-1", "franken", "nuernberg", LedgerService, "scans");
  start("ledger-1", "franken", "fuerth", LedgerService, "ledger");
  start("scans-2", "oberbayern", "eichstaett", LedgerService, "scans");
  start("ledger-2", "oberbayern", "ingolstadt", LedgerService, "ledger");
  start("workshop-3", "franken", "nuernberg", CatalogueService, "workshop");
  start("workshop-4", "franken", "fuerth", CatalogueService, "workshop");
  start("workshop-5", "oberbayern", "eichstaett", CatalogueService, "workshop");
  start("ledger-3", "franken", "nuernberg", LedgerService, "ledger");
  if (!eventually(ReadyLimit, [this] { return allNodesSeeAll(); }))
    throw std::runtime_error(
        "not all nodes are ready and see each other; see " + Mesh.folder());
  if (secondsUntilPosition(head(), Nodes, std::chrono::steady_clock::now()) >=
      InForceLimit.count())
    throw std::runtime_error("documents are not in force; see " +
                             Mesh.folder());
}

int Fleet::randomBelow(int Bound) {
  return std::uniform_int_distribution<int>(0, Bound - 1)(Random);
}

std::vector<NodeProcess *> Fleet::pickNodes(std::size_t Count) {
  std::vector<NodeProcess *> Chosen = Nodes;
  std::shuffle(Chosen.begin(), Chosen.end(), Random);
  Chosen.resize(Count);
  return Chosen;
}

NodeProcess &Fleet::readerOf(const std::string &Region) {
  std::vector<NodeId> Ids;
  for (const NodeProcess *Each : Nodes)
    if (Each->Spec.Region == Region)
      Ids.emplace_back(Each->Spec.Id);
  const auto Order = distribution::rendezvousOrder("reader/" + Region, Ids);
  for (NodeProcess *Each : Nodes)
    if (Each->Spec.Id == Order.at(0).str())
      return *Each;
  throw std::logic_error("no node is the reader of the region");
}

NodeProcess *Fleet::start(const std::string &Id, const std::string &Region,
                          const std::string &Zone, const std::string &Service,
                          const std::string &Group) {
  NodeSpec Spec;
  Spec.Id = Id;
  Spec.Region = Region;
  Spec.Zone = Zone;
  Spec.Service = Service;
  Spec.Group = Group;
  Spec.LogUrl = LogFaults.at(Region)->url();
  Spec.ForwardControl = ForwardControl_;
  Spec.ControlAddress = controlAddressOf(Region);
  Nodes.push_back(&Mesh.startNode(Spec));
  return Nodes.back();
}

void Fleet::setLogCut(const std::string &Region, bool Cut) {
  LogFaults.at(Region)->rule(Cut ? ResetRule : "");
}

void Fleet::setLogCut(bool Cut) {
  for (const auto &Item : LogFaults)
    setLogCut(Item.first, Cut);
}

void Fleet::setRegionsCut(bool Cut) {
  for (const NodeProcess *Each : Nodes) {
    const std::string From = controlAddressOf(otherRegion(Each->Spec.Region));
    Each->ControlFault->rule(Cut ? R"("mode":"drop","from":")" + From + "\""
                                 : "");
  }
}

void Fleet::setLogFault(const std::string &Key,
                        const std::string &Value) const {
  HttpCall Call;
  Call.Port = Log->Port;
  Call.Method = "POST";
  Call.Path = "/control?" + Key + "=" + Value;
  if (send(Call).Status != 200)
    throw std::runtime_error("the log refused " + Call.Path);
}

std::int64_t Fleet::head(const std::string &Stream) const {
  HttpCall Call;
  Call.Port = Log->Port;
  Call.Path = "/streams/" + Stream + "/bounds";
  return parseObject(send(Call).Body)->getValue<Poco::Int64>("next");
}

std::unique_ptr<PublishCommand>
Fleet::startPublish(const std::string &Document) {
  return startPublish(Document, Log->url());
}

std::unique_ptr<PublishCommand> Fleet::startPublish(const std::string &Document,
                                                    const std::string &LogUrl) {
  const std::string Name = "publish-" + std::to_string(++Published_);
  return std::make_unique<PublishCommand>(Mesh.write(Name + ".ini", Document),
                                          LogUrl,
                                          Mesh.folder() + "/" + Name + ".out");
}

void Fleet::publish(const std::string &Document) {
  const PublishCommand::Outcome Outcome = startPublish(Document)->wait();
  if (!Outcome.Accepted)
    throw std::runtime_error("publishing failed: " + Outcome.Output);
}

std::unique_ptr<PublishCommand> Fleet::startMarkerPublish() {
  ++Markers_;
  return startPublish(catalogueDocument(Markers_, Markers_));
}

std::string Fleet::catalogueDocument(int BaseRevision, int Markers,
                                     const std::string &Additions) {
  std::ostringstream Routes;
  for (int Number = 1; Number <= Markers; ++Number)
    Routes << "[route.marker-" << Number << "]\npath = /marker-" << Number
           << "\nclass = repeatable\nupstreams = workshop\n"
           << "timeout_ms = 2000\n\n";
  return exampleDocument("commission-catalogue.ini", BaseRevision,
                         Routes.str() + Additions);
}

std::string Fleet::ledgerDocument(int BaseRevision,
                                  const std::string &Additions) {
  return exampleDocument("scans-stock-ledger.ini", BaseRevision, Additions);
}

double Fleet::secondsUntilPosition(
    std::int64_t Position, const std::vector<NodeProcess *> &ExpectedNodes,
    std::chrono::steady_clock::time_point From, std::chrono::seconds Limit) {
  for (const NodeProcess *Each : ExpectedNodes)
    while (true) {
      const auto Status = statusOf(*Each);
      const bool HasPosition = Status && Status->Position >= Position;
      const bool TimedOut = std::chrono::steady_clock::now() - From >= Limit;
      if (HasPosition || TimedOut)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - From)
      .count();
}

std::vector<NodeProcess *>
Fleet::nodesExcept(const std::vector<NodeProcess *> &Excluded) const {
  std::vector<NodeProcess *> Others;
  for (NodeProcess *Each : Nodes)
    if (std::find(Excluded.begin(), Excluded.end(), Each) == Excluded.end())
      Others.push_back(Each);
  return Others;
}

bool Fleet::allNodesSeeAll() const {
  return std::all_of(Nodes.begin(), Nodes.end(), [this](const auto *Each) {
    const auto Status = statusOf(*Each);
    return Status && Status->Ready && Status->ReadyMembers == Nodes.size();
  });
}

bool hasNoRoute(const NodeProcess &Entry, const std::string &Service,
                const std::string &Path) {
  HttpCall Call;
  Call.Port = Entry.RequestPort;
  Call.Path = Path;
  Call.Headers["Host"] = Service;
  return send(Call).header("lt-reason") == "no-route";
}

} // namespace lycheethread::failures
