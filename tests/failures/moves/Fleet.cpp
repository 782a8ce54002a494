#include "Fleet.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <boost/test/unit_test.hpp>

#include <iostream>
#include <sstream>
#include <stdexcept>

namespace lycheethread::failures {

namespace {

using namespace harness;
using Poco::JSON::Object;

constexpr int InstanceCount = 8;
constexpr std::chrono::seconds ReadyLimit{30};
/// An accepted configuration must be in force at all nodes within 9 s.
constexpr std::chrono::seconds InForceLimit{9};
constexpr Milliseconds LogTimeout{2000};

Object::Ptr statusOf(const NodeProcess &Node) {
  const std::string Text = Mesh::status(Node);
  return Text.empty() ? nullptr
                      : Poco::JSON::Parser().parse(Text).extract<Object::Ptr>();
}

std::size_t readyMembers(const NodeProcess &Node) {
  const Object::Ptr Status = statusOf(Node);
  const auto Rows = Status ? Status->getArray("members") : nullptr;
  std::size_t Ready = 0;
  for (unsigned I = 0; Rows && I < Rows->size(); ++I)
    Ready +=
        Rows->getObject(I)->getObject("states")->optValue<unsigned>("ready", 0);
  return Ready;
}

bool hasDocument(const NodeProcess &Node) {
  const Object::Ptr Status = statusOf(Node);
  const auto Rows = Status ? Status->getArray("documents") : nullptr;
  return Rows && Rows->size() == 1;
}

/// Returns the time in \p Seconds, rounded down to a whole second.
std::string timestampAfter(int Seconds) {
  const Poco::Timestamp At =
      Poco::Timestamp() + Poco::Timestamp::TimeDiff(Seconds) * 1'000'000;
  return Poco::DateTimeFormatter::format(At,
                                         Poco::DateTimeFormat::ISO8601_FORMAT);
}

MoveView makeView(const moves::Move &Item) {
  const char *Name = Item.Status == moves::MoveStatus::Running    ? "running"
                     : Item.Status == moves::MoveStatus::Finished ? "finished"
                                                                  : "undone";
  return {Name, Item.Reason, Item.StepsTaken,
          static_cast<int>(Item.Share.value())};
}

} // namespace

std::uint64_t seed() {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  for (int I = 1; I + 1 < Suite.argc; ++I)
    if (std::string(Suite.argv[I]) == "--seed")
      return std::stoull(Suite.argv[I + 1]);
  return 1;
}

void printLine(const std::string &Point, const std::string &Injected,
               const std::string &Observed) {
  std::cout << Point << " | " << Injected << " | " << Observed << std::endl;
}

std::string describe(const MoveView &View) {
  return View.Status + " after step " + std::to_string(View.StepsTaken) +
         (View.Reason.empty() ? "" : " (" + View.Reason + ")");
}

Fleet::Fleet(const std::string &TestName, int ColdStartMs)
    : Mesh("moves-" + TestName + "-" + std::to_string(seed())),
      Log(&Mesh.startLog()), LogFault(&Mesh.startFault("log-fault", Log->Port)),
      Random(seed()) {
  const harness::Mesh::Run Published = publish(makeDocument(0), "first.ini");
  if (Published.ExitCode != 0)
    throw std::runtime_error("publishing failed: " + Published.Output);
  ++Revision_;
  for (int I = 0; I < InstanceCount; ++I)
    start(I, ColdStartMs);
  for (const NodeProcess *Each : Nodes)
    if (!harness::Mesh::waitReady(*Each, ReadyLimit))
      throw std::runtime_error(Each->Spec.Id + " is not ready; see " +
                               Mesh.folder());
  const auto IsComplete = [this] {
    for (const NodeProcess *Each : Nodes)
      if (!hasDocument(*Each) || readyMembers(*Each) != Nodes.size())
        return false;
    return true;
  };
  if (!eventually(InForceLimit, IsComplete))
    throw std::runtime_error(
        "nodes do not have the document or do not see each other; see " +
        Mesh.folder());
}

void Fleet::start(int Index, int ColdStartMs) {
  const bool IsNewVersion = Index % 2 == 1;
  NodeSpec Spec;
  Spec.Id = "desk-" + std::to_string(Index + 1);
  Spec.Region = Index < InstanceCount / 2 ? "western" : "eastern";
  Spec.Zone = Spec.Region + (Index / 2 % 2 == 0 ? "-a" : "-b");
  Spec.Service = "desk";
  Spec.Group = "main";
  Spec.Version = IsNewVersion ? "v2" : "v1";
  Spec.UpstreamArgs = {"--service-time-ms", "2"};
  if (IsNewVersion && ColdStartMs > 0) {
    Spec.UpstreamArgs.emplace_back("--cold-start-ms");
    Spec.UpstreamArgs.push_back(std::to_string(ColdStartMs));
  }
  Spec.LogUrl = LogFault->url();
  Nodes.push_back(&Mesh.startNode(Spec));
}

std::string Fleet::makeDocument(int Seconds) const {
  std::ostringstream Out;
  Out << "[service]\nname = desk\nteam = desk\nbuilds_on = " << Revision_
      << "\n[upstreams.main]\nversions = v1" << (Seconds > 0 ? ", v2" : "")
      << "\n";
  if (Seconds > 0)
    Out << "[move.main]\nfrom = v1\nto = v2\nfinish_by = "
        << timestampAfter(Seconds)
        << "\nsteps_percent = 5, 50, 100\nstep_seconds = 2\n";
  for (const char *Route : {"tickets", "berths"})
    Out << "[route." << Route << "]\npath = /" << Route
        << "\nclass = repeatable\nupstreams = main\ntimeout_ms = 2000\n";
  Out << "[route.releases]\npath = /releases\nclass = once-only\n"
         "upstreams = main\ntimeout_ms = 2000\n";
  return Out.str();
}

harness::Mesh::Run Fleet::publish(const std::string &Text,
                                  const std::string &Name) {
  return Mesh.run({"publish", Mesh.write(Name, Text), "--log", Log->url()});
}

std::string Fleet::startMove(int Seconds) {
  const std::string Name = "move-" + std::to_string(++Documents_) + ".ini";
  const harness::Mesh::Run Published = publish(makeDocument(Seconds), Name);
  BOOST_REQUIRE_MESSAGE(Published.ExitCode == 0, Published.Output);
  ++Revision_;
  return "desk/main/" + std::to_string(Revision_);
}

void Fleet::controlUpstreams(const std::string &Version,
                             const std::string &Query) const {
  for (const NodeProcess *Each : Nodes) {
    if (Each->Spec.Version != Version || !Each->Upstream->running())
      continue;
    HttpCall Call;
    Call.Port = Each->UpstreamPort;
    Call.Method = "POST";
    Call.Path = "/control?" + Query;
    BOOST_REQUIRE(send(Call).Status == 200);
  }
}

config::ConfigState Fleet::loadState() const {
  return bootstrap::loadFromLog(streamlog::makeHttpLog(Log->url(), LogTimeout),
                                [](const std::string &) {});
}

MoveView Fleet::moveInLog(const std::string &Id) const {
  const config::ConfigState State = loadState();
  for (const auto &[Running, Item] : State.Moves.Running)
    if (Running.str() == Id)
      return makeView(Item);
  for (const moves::Move &Item : State.Moves.Ended)
    if (Item.Id.str() == Id)
      return makeView(Item);
  return {};
}

MoveView Fleet::moveAtNode(const NodeProcess &Node, const std::string &Id) {
  const Object::Ptr Status = statusOf(Node);
  const auto Rows = Status ? Status->getArray("moves") : nullptr;
  for (unsigned I = 0; Rows && I < Rows->size(); ++I) {
    const Object::Ptr Row = Rows->getObject(I);
    if (Row->getValue<std::string>("id") == Id)
      return {Row->getValue<std::string>("status"),
              Row->getValue<std::string>("reason"),
              Row->getValue<int>("steps_taken"),
              Row->getValue<int>("share_permille")};
  }
  return {};
}

std::chrono::steady_clock::time_point
Fleet::deadline(const std::string &Id) const {
  const config::ConfigState State = loadState();
  const auto Found = State.Moves.Running.find(MoveId(Id));
  BOOST_REQUIRE(Found != State.Moves.Running.end());
  const std::int64_t NowMs = Poco::Timestamp().epochMicroseconds() / 1000;
  return std::chrono::steady_clock::now() +
         elapsed(WallTime(NowMs), Found->second.Plan.FinishBy);
}

bool Fleet::waitEnded(const std::string &Id,
                      std::chrono::milliseconds Limit) const {
  return eventually(Limit, [&] {
    const std::string Status = moveInLog(Id).Status;
    return Status == "finished" || Status == "undone";
  });
}

bool Fleet::waitSteps(const std::string &Id, int Steps,
                      std::chrono::milliseconds Limit) const {
  return eventually(Limit, [&] { return moveInLog(Id).StepsTaken >= Steps; });
}

bool Fleet::waitAllAgree(const std::string &Id) const {
  return eventually(InForceLimit, [&] {
    const MoveView Expected = moveInLog(Id);
    for (const NodeProcess *Each : Nodes)
      if (Each->Process->running() && !(moveAtNode(*Each, Id) == Expected))
        return false;
    return true;
  });
}

bool Fleet::allStopped(const std::string &Id) const {
  for (const NodeProcess *Each : Nodes) {
    if (!Each->Process->running())
      continue;
    const Object::Ptr Status = statusOf(*Each);
    const auto Rows = Status ? Status->getArray("stopped_moves") : nullptr;
    bool Found = false;
    for (unsigned I = 0; Rows && I < Rows->size(); ++I)
      Found = Found || Rows->getElement<std::string>(I) == Id;
    if (!Found)
      return false;
  }
  return true;
}

NodeProcess *Fleet::leaseOwner() const {
  const config::ConfigState State = loadState();
  const auto Found =
      State.Moves.Leases.find(moves::leaseSubject(ServiceName("desk")));
  if (Found == State.Moves.Leases.end())
    return nullptr;
  for (NodeProcess *Each : Nodes)
    if (Found->second.Holder.str() == Each->Spec.Id + "/moves")
      return Each;
  return nullptr;
}

int Fleet::runWaitCommand(const std::string &Id) {
  return Mesh
      .run({"moves", "--log", Log->url(), "--wait", Id, "--timeout", "50"})
      .ExitCode;
}

std::int64_t Fleet::sentCallBytes() const {
  const std::string Wanted = "lycheethread_traffic_bytes_total{kind=\"call\","
                             "direction=\"sent\"";
  std::int64_t Sum = 0;
  for (const NodeProcess *Each : Nodes) {
    HttpCall Call;
    Call.Port = Each->AdminPort;
    Call.Path = "/metrics";
    std::istringstream Lines(send(Call).Body);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.rfind(Wanted, 0) == 0)
        Sum += std::stoll(Line.substr(Line.find("} ") + 2));
  }
  return Sum;
}

int Fleet::randomUpTo(int Last) {
  return std::uniform_int_distribution<int>(0, Last)(Random);
}

} // namespace lycheethread::failures
