#include "Mesh.h"

#include <Poco/File.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace lycheethread::harness {

namespace {

constexpr std::chrono::seconds StartTimeout{10};
constexpr std::chrono::seconds CommandTimeout{60};
constexpr std::size_t MaxSeeds = 3;

std::string localAddress(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Whether a process answers HTTP requests on the port.
bool answersRequests(std::uint16_t Port) {
  HttpCall Call;
  Call.Port = Port;
  Call.Path = "/health";
  Call.Timeout = std::chrono::milliseconds(500);
  return send(Call).Status != 0;
}

/// Waits until the process answers. Throws std::runtime_error after
/// StartTimeout.
void waitForAnswer(const std::string &Name, std::uint16_t Port) {
  if (!eventually(StartTimeout, [Port] { return answersRequests(Port); }))
    throw std::runtime_error(Name + " does not answer HTTP requests on port " +
                             std::to_string(Port));
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

std::string controlAddress(const NodeProcess &Node) {
  return Node.Spec.ControlAddress + ":" + std::to_string(Node.ControlPort);
}

/// Returns the address at which other nodes reach the control endpoint.
std::string announcedAddress(const NodeProcess &Node) {
  return Node.ControlFault != nullptr
             ? localAddress(Node.ControlFault->ListenPort)
             : controlAddress(Node);
}

std::string makeSettings(const NodeProcess &Node, const std::string &Seeds) {
  const NodeSpec &Spec = Node.Spec;
  std::ostringstream Out;
  Out << "[node]\nid = " << Spec.Id << "\nregion = " << Spec.Region
      << "\nzone = " << Spec.Zone
      << "\n\n[listen]\nrequests = " << localAddress(Node.RequestPort)
      << "\nhop = " << localAddress(Node.HopPort)
      << "\ncontrol = " << controlAddress(Node)
      << "\nadmin = " << localAddress(Node.AdminPort) << "\n";
  if (Node.ControlFault != nullptr)
    Out << "announce = " << announcedAddress(Node) << "\n";
  if (!Spec.Service.empty())
    Out << "\n[upstream]\naddress = "
        << localAddress(Node.UpstreamLink != nullptr
                            ? Node.UpstreamLink->ListenPort
                            : Node.UpstreamPort)
        << "\nservice = " << Spec.Service << "\ngroup = " << Spec.Group
        << "\nversion = " << Spec.Version << "\n";
  Out << "\n[log]\nurl = " << Spec.LogUrl << "\n";
  if (!Seeds.empty())
    Out << "\n[peers]\nseeds = " << Seeds << "\n";
  if (Spec.DrainTimeout.count() > 0)
    Out << "\n[limits]\ndrain_timeout_s = " << Spec.DrainTimeout.count()
        << "\n";
  Out << "\n[log_output]\nlevel = debug\n";
  return Out.str();
}

} // namespace

void FaultProcess::rule(const std::string &Members) const {
  HttpCall Call;
  Call.Port = ControlPort;
  Call.Method = "POST";
  Call.Path = "/control";
  Call.Body = R"({"listen":"*")" + (Members.empty() ? "" : "," + Members) + "}";
  const HttpAnswer Answer = send(Call);
  if (Answer.Status != 200)
    throw std::runtime_error("the fault proxy refused the rule " + Call.Body +
                             ": " + Answer.Body + Answer.Error);
}

Mesh::Mesh(const std::string &TestName)
    : Folder_(std::string(LYCHEE_TEST_OUTPUT) + "/" + TestName) {
  Poco::File Folder(Folder_);
  if (Folder.exists())
    Folder.remove(true);
  Folder.createDirectories();
}

std::string Mesh::outputPath(const std::string &Name) const {
  return Folder_ + "/" + Name + ".out";
}

std::string Mesh::write(const std::string &Name,
                        const std::string &Text) const {
  const std::string Path = Folder_ + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

PortProcess &Mesh::startLog() {
  auto Added = std::make_unique<PortProcess>();
  Added->Port = freePort();
  Added->Process = std::make_unique<ChildProcess>(
      LYCHEE_TEST_LOG,
      std::vector<std::string>{"--listen", localAddress(Added->Port)},
      outputPath("log"));
  waitForAnswer("log", Added->Port);
  Logs_.push_back(std::move(Added));
  return *Logs_.back();
}

FaultProcess &Mesh::startFault(const std::string &Name, std::uint16_t Target) {
  return launchFault(Name, localAddress(Target), false);
}

FaultProcess &Mesh::startControlFault(const std::string &Name,
                                      const std::string &Target) {
  return launchFault(Name, Target, true);
}

FaultProcess &Mesh::launchFault(const std::string &Name,
                                const std::string &Target, bool WithUdp) {
  auto Added = std::make_unique<FaultProcess>();
  Added->ControlPort = freePort();
  Added->ListenPort = freePort();
  const std::string Forward = localAddress(Added->ListenPort) + "=" + Target;
  std::vector<std::string> Args{"--control", localAddress(Added->ControlPort),
                                "--tcp", Forward};
  if (WithUdp)
    Args.insert(Args.end(), {"--udp", Forward});
  Added->Process =
      std::make_unique<ChildProcess>(LYCHEE_TEST_FAULT, Args, outputPath(Name));
  waitForAnswer(Name, Added->ControlPort);
  Faults_.push_back(std::move(Added));
  return *Faults_.back();
}

void Mesh::launchUpstream(NodeProcess &Node) const {
  std::vector<std::string> Args{"--listen",  localAddress(Node.UpstreamPort),
                                "--node",    localAddress(Node.RequestPort),
                                "--version", Node.Spec.Version};
  Args.insert(Args.end(), Node.Spec.UpstreamArgs.begin(),
              Node.Spec.UpstreamArgs.end());
  Node.Upstream = std::make_unique<ChildProcess>(
      LYCHEE_TEST_UPSTREAM, Args, outputPath(Node.Spec.Id + "-upstream"));
  waitForAnswer("upstream of " + Node.Spec.Id, Node.UpstreamPort);
}

void Mesh::launch(NodeProcess &Node) const {
  Node.Process = std::make_unique<ChildProcess>(
      LYCHEE_BINARY,
      std::vector<std::string>{"node", "--settings", Node.SettingsFile},
      outputPath(Node.Spec.Id));
}

NodeProcess &Mesh::startNode(const NodeSpec &Spec) {
  auto Added = std::make_unique<NodeProcess>();
  Added->Spec = Spec;
  for (std::uint16_t *Port :
       {&Added->RequestPort, &Added->HopPort, &Added->ControlPort,
        &Added->AdminPort, &Added->UpstreamPort})
    *Port = freePort();
  if (!Spec.Service.empty())
    launchUpstream(*Added);
  if (Spec.FaultToUpstream)
    Added->UpstreamLink =
        &startFault(Spec.Id + "-upstream-fault", Added->UpstreamPort);
  if (Spec.ForwardControl)
    Added->ControlFault =
        &startControlFault(Spec.Id + "-fault", controlAddress(*Added));
  std::string Seeds;
  for (std::size_t I = 0; I < Nodes_.size() && I < MaxSeeds; ++I)
    Seeds += (I == 0 ? "" : ", ") + announcedAddress(*Nodes_[I]);
  Added->SettingsFile = write(Spec.Id + ".ini", makeSettings(*Added, Seeds));
  launch(*Added);
  Nodes_.push_back(std::move(Added));
  return *Nodes_.back();
}

void Mesh::restart(NodeProcess &Node) const { launch(Node); }

void Mesh::restartUpstream(NodeProcess &Node) const { launchUpstream(Node); }

std::string Mesh::status(const NodeProcess &Node) {
  HttpCall Call;
  Call.Port = Node.AdminPort;
  Call.Path = "/status";
  Call.Timeout = std::chrono::milliseconds(2000);
  const HttpAnswer Answer = send(Call);
  return Answer.Status == 200 ? Answer.Body : "";
}

bool Mesh::waitReady(const NodeProcess &Node, std::chrono::milliseconds Limit) {
  return eventually(Limit, [&Node] {
    return status(Node).find("\"state\" : \"ready\"") != std::string::npos ||
           status(Node).find("\"state\": \"ready\"") != std::string::npos;
  });
}

Mesh::Run Mesh::run(const std::vector<std::string> &Args) {
  const std::string Output = outputPath("run-" + std::to_string(++Runs_));
  ChildProcess Command(LYCHEE_BINARY, Args, Output);
  Run Result;
  Result.ExitCode = Command.waitFor(CommandTimeout).value_or(-1);
  Result.Output = readFile(Output);
  return Result;
}

} // namespace lycheethread::harness
