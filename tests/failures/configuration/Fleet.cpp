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
constexpr const char *Reset = R"("mode":"reset")";

Object::Ptr parseObject(const std::string &Text) {
  return Poco::JSON::Parser().parse(Text).extract<Object::Ptr>();
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

std::string exampleWith(const std::string &File, int BaseRevision,
                        const std::string &More) {
  std::string Text = readFile(std::string(ZINNWERK_DOCUMENTS) + "/" + File);
  const std::string Line = "builds_on = 0";
  const std::size_t At = Text.find(Line);
  if (At == std::string::npos)
    throw std::runtime_error(File + " has no line " + Line);
  Text.replace(At, Line.size(), "builds_on = " + std::to_string(BaseRevision));
  return Text + "\n" + More;
}

std::string addressOf(const std::string &Region) {
  return Region == "franken" ? "127.0.0.2" : "127.0.0.1";
}

std::string otherThan(const std::string &Region) {
  return Region == "franken" ? "oberbayern" : "franken";
}

std::string caseFolder(const std::string &Case, unsigned Seed) {
  return "configuration-" + Case + "-" + std::to_string(Seed);
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

Publishing::Publishing(const std::string &Document, const std::string &LogUrl,
                       std::string Output)
    : Output_(std::move(Output)),
      Process_(
          LYCHEE_BINARY,
          {"publish", Document, "--log", LogUrl, "--json", "--timeout", "30"},
          Output_) {}

Publishing::Verdict Publishing::wait() {
  constexpr int Refused = 1;
  Verdict Result;
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

PositionWatch::PositionWatch(std::vector<NodeProcess *> Nodes)
    : Nodes_(std::move(Nodes)), Worker_([this] { run(); }) {}

PositionWatch::~PositionWatch() {
  Stopping_ = true;
  Worker_.join();
}

std::string PositionWatch::stepsBack() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return StepsBack_;
}

void PositionWatch::run() {
  while (!Stopping_) {
    for (const NodeProcess *Node : Nodes_) {
      const auto Status = statusOf(*Node);
      if (!Status || !Status->Ready)
        continue;
      ++Polls_;
      const std::lock_guard<std::mutex> Guard(Lock_);
      std::int64_t &Highest = Highest_[Node->Spec.Id];
      if (Status->Position < Highest)
        StepsBack_ += Node->Spec.Id + " went from " + std::to_string(Highest) +
                      " to " + std::to_string(Status->Position) + "; ";
      Highest = std::max(Highest, Status->Position);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

Fleet::Fleet(const std::string &Case, unsigned Seed, bool ForwardControl)
    : Mesh(caseFolder(Case, Seed)), Log(&Mesh.startLog()), Random(Seed),
      ForwardControl_(ForwardControl) {
  for (const char *Region : {"oberbayern", "franken"})
    LogFaults[Region] =
        &Mesh.startFault(std::string("log-fault-") + Region, Log->Port);
  publish(storeWith(0));
  publish(deskWith(0, 0));
  start("workshop-1", "oberbayern", "eichstaett", Desk, "workshop");
  start("workshop-2", "oberbayern", "ingolstadt", Desk, "workshop");
  start("scans-1", "franken", "nuernberg", Store, "scans");
  start("ledger-1", "franken", "fuerth", Store, "ledger");
  start("scans-2", "oberbayern", "eichstaett", Store, "scans");
  start("ledger-2", "oberbayern", "ingolstadt", Store, "ledger");
  start("workshop-3", "franken", "nuernberg", Desk, "workshop");
  start("workshop-4", "franken", "fuerth", Desk, "workshop");
  start("workshop-5", "oberbayern", "eichstaett", Desk, "workshop");
  start("ledger-3", "franken", "nuernberg", Store, "ledger");
  if (!eventually(ReadyLimit, [this] { return allSeeAll(); }))
    throw std::runtime_error("the nodes do not see each other; see " +
                             Mesh.folder());
  if (secondsUntilAt(head(), Nodes, std::chrono::steady_clock::now()) >=
      InForceLimit.count())
    throw std::runtime_error("documents are not in force; see " +
                             Mesh.folder());
}

int Fleet::below(int Bound) {
  return std::uniform_int_distribution<int>(0, Bound - 1)(Random);
}

std::vector<NodeProcess *> Fleet::pick(std::size_t Count) {
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
  throw std::logic_error("no reader");
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
  Spec.ControlAddress = addressOf(Region);
  Nodes.push_back(&Mesh.startNode(Spec));
  return Nodes.back();
}

void Fleet::cutLog(const std::string &Region, bool Cut) {
  LogFaults.at(Region)->rule(Cut ? Reset : "");
}

void Fleet::cutLog(bool Cut) {
  for (const auto &Item : LogFaults)
    cutLog(Item.first, Cut);
}

void Fleet::cutRegions(bool Cut) {
  for (const NodeProcess *Each : Nodes) {
    const std::string From = addressOf(otherThan(Each->Spec.Region));
    Each->ControlFault->rule(Cut ? R"("mode":"drop","from":")" + From + "\""
                                 : "");
  }
}

void Fleet::controlLog(const std::string &Key, const std::string &Value) const {
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

std::unique_ptr<Publishing> Fleet::startPublish(const std::string &Document) {
  return startPublish(Document, Log->url());
}

std::unique_ptr<Publishing> Fleet::startPublish(const std::string &Document,
                                                const std::string &LogUrl) {
  const std::string Name = "publish-" + std::to_string(++Published_);
  return std::make_unique<Publishing>(Mesh.write(Name + ".ini", Document),
                                      LogUrl,
                                      Mesh.folder() + "/" + Name + ".out");
}

void Fleet::publish(const std::string &Document) {
  const Publishing::Verdict Verdict = startPublish(Document)->wait();
  if (!Verdict.Accepted)
    throw std::runtime_error("a publication failed: " + Verdict.Output);
}

std::unique_ptr<Publishing> Fleet::startMarker() {
  ++Markers_;
  return startPublish(deskWith(Markers_, Markers_));
}

std::string Fleet::deskWith(int BaseRevision, int Markers,
                            const std::string &More) {
  std::ostringstream Routes;
  for (int Number = 1; Number <= Markers; ++Number)
    Routes << "[route.marker-" << Number << "]\npath = /marker-" << Number
           << "\nclass = repeatable\nupstreams = workshop\n"
           << "timeout_ms = 2000\n\n";
  return exampleWith("commission-catalogue.ini", BaseRevision,
                     Routes.str() + More);
}

std::string Fleet::storeWith(int BaseRevision, const std::string &More) {
  return exampleWith("scans-stock-ledger.ini", BaseRevision, More);
}

double Fleet::secondsUntilAt(std::int64_t Position,
                             const std::vector<NodeProcess *> &Of,
                             std::chrono::steady_clock::time_point From,
                             std::chrono::seconds Limit) {
  for (const NodeProcess *Each : Of)
    while (true) {
      const auto Status = statusOf(*Each);
      const bool There = Status && Status->Position >= Position;
      const bool Late = std::chrono::steady_clock::now() - From >= Limit;
      if (There || Late)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - From)
      .count();
}

std::vector<NodeProcess *>
Fleet::without(const std::vector<NodeProcess *> &Some) const {
  std::vector<NodeProcess *> Others;
  for (NodeProcess *Each : Nodes)
    if (std::find(Some.begin(), Some.end(), Each) == Some.end())
      Others.push_back(Each);
  return Others;
}

bool Fleet::allSeeAll() const {
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
