#include "Zinnwerk.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>
#include <stdexcept>

namespace lycheethread::integration {

namespace {

using namespace harness;

constexpr std::chrono::seconds ReadyLimit{30};
/// An accepted configuration must be in force at all nodes within 9 s.
constexpr std::chrono::seconds InForceLimit{9};
constexpr const char *CatalogueService = "commission-catalogue";
constexpr const char *LedgerService = "scans-stock-ledger";

/// Returns the number of members that the node sees as ready, itself included.
std::size_t readyMembers(const NodeProcess &Node) {
  const std::string Text = harness::Mesh::status(Node);
  if (Text.empty())
    return 0;
  const auto Status =
      Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
  const Poco::JSON::Array::Ptr Rows = Status->getArray("members");
  std::size_t Ready = 0;
  for (unsigned I = 0; Rows && I < Rows->size(); ++I)
    Ready +=
        Rows->getObject(I)->getObject("states")->optValue<unsigned>("ready", 0);
  return Ready;
}

} // namespace

HttpCall callTo(const NodeProcess &Entry, const std::string &Service,
                const std::string &Method, const std::string &Path) {
  HttpCall Call;
  Call.Port = Entry.RequestPort;
  Call.Method = Method;
  Call.Path = Path;
  Call.Headers["Host"] = Service;
  return Call;
}

Zinnwerk::Zinnwerk(const std::string &TestName)
    : Mesh(TestName), Log(&Mesh.startLog()),
      LogFault(&Mesh.startFault("log-fault", Log->Port)) {
  publish("scans-stock-ledger.ini");
  publish("commission-catalogue.ini");
  Eichstaett = start("workshop-1", "oberbayern", "eichstaett", CatalogueService,
                     "workshop");
  Ingolstadt = start("workshop-2", "oberbayern", "ingolstadt", CatalogueService,
                     "workshop");
  Nuernberg = start("scans-1", "franken", "nuernberg", LedgerService, "scans");
  Fuerth = start("ledger-1", "franken", "fuerth", LedgerService, "ledger");
  for (const NodeProcess *Each : Nodes)
    if (!harness::Mesh::waitReady(*Each, ReadyLimit))
      throw std::runtime_error(Each->Spec.Id + " is not ready; see " +
                               Mesh.folder());
  if (!eventually(InForceLimit, [this] { return hasDocuments(); }))
    throw std::runtime_error(
        "the documents are not in force at all nodes; see " + Mesh.folder());
  if (!eventually(InForceLimit, [this] { return hasMembers(); }))
    throw std::runtime_error("not all nodes see each other as ready; see " +
                             Mesh.folder());
}

NodeProcess *Zinnwerk::start(const std::string &Id, const std::string &Region,
                             const std::string &Zone,
                             const std::string &Service,
                             const std::string &Group) {
  NodeSpec Spec;
  Spec.Id = Id;
  Spec.Region = Region;
  Spec.Zone = Zone;
  Spec.Service = Service;
  Spec.Group = Group;
  Spec.LogUrl = LogFault->url();
  Nodes.push_back(&Mesh.startNode(Spec));
  return Nodes.back();
}

void Zinnwerk::publish(const std::string &File) {
  const harness::Mesh::Run Result =
      Mesh.run({"publish", std::string(ZINNWERK_DOCUMENTS) + "/" + File,
                "--log", Log->url()});
  if (Result.ExitCode != 0)
    throw std::runtime_error("publishing " + File + " failed with exit code " +
                             std::to_string(Result.ExitCode) + ": " +
                             Result.Output);
}

bool Zinnwerk::hasDocuments() const {
  for (const NodeProcess *Each : Nodes) {
    const std::string Status = harness::Mesh::status(*Each);
    const std::size_t Documents = Status.find("\"documents\"");
    if (Documents == std::string::npos ||
        Status.find(CatalogueService, Documents) == std::string::npos ||
        Status.find(LedgerService, Documents) == std::string::npos)
      return false;
  }
  return true;
}

bool Zinnwerk::hasMembers() const {
  for (const NodeProcess *Each : Nodes)
    if (readyMembers(*Each) != Nodes.size())
      return false;
  return true;
}

int Zinnwerk::executions(const std::string &Key) const {
  int Sum = 0;
  for (const NodeProcess *Each : Nodes) {
    HttpCall Call;
    Call.Port = Each->UpstreamPort;
    Call.Path = "/control/executions";
    std::istringstream Lines(send(Call).Body);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.rfind(Key + " ", 0) == 0)
        Sum += std::stoi(Line.substr(Key.size() + 1));
  }
  return Sum;
}

} // namespace lycheethread::integration
