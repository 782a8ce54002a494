#include "Mesh.h"

#include <Poco/File.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace lycheethread::harness {

namespace {

constexpr std::chrono::seconds StartLimit{10};
constexpr std::chrono::seconds CommandLimit{60};
constexpr std::size_t MaxSeeds = 3;

std::string local(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

bool answers(std::uint16_t Port) {
  HttpCall Call;
  Call.Port = Port;
  Call.Path = "/health";
  Call.Timeout = std::chrono::milliseconds(500);
  return send(Call).Status != 0;
}

void requireAnswer(const std::string &Name, std::uint16_t Port) {
  if (!eventually(StartLimit, [Port] { return answers(Port); }))
    throw std::runtime_error(Name + " does not answer on port " +
                             std::to_string(Port));
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

std::string controlOf(const NodeProcess &Node) {
  return Node.Spec.ControlAddress + ":" + std::to_string(Node.ControlPort);
}

/// Where other nodes reach the control endpoint.
std::string announcedBy(const NodeProcess &Node) {
  return Node.ControlFault != nullptr ? local(Node.ControlFault->ListenPort)
                                      : controlOf(Node);
}

std::string settingsOf(const NodeProcess &Node, const std::string &Seeds) {
  const NodeSpec &Spec = Node.Spec;
  std::ostringstream Out;
  Out << "[node]\nid = " << Spec.Id << "\nregion = " << Spec.Region
      << "\nzone = " << Spec.Zone
      << "\n\n[listen]\nrequests = " << local(Node.RequestPort)
      << "\nhop = " << local(Node.HopPort) << "\ncontrol = " << controlOf(Node)
      << "\nadmin = " << local(Node.AdminPort) << "\n";
  if (Node.ControlFault != nullptr)
    Out << "announce = " << announcedBy(Node) << "\n";
  if (!Spec.Service.empty())
    Out << "\n[upstream]\naddress = "
        << local(Node.UpstreamLink != nullptr ? Node.UpstreamLink->ListenPort
                                              : Node.UpstreamPort)
        << "\nservice = " << Spec.Service << "\ngroup = " << Spec.Group
        << "\nversion = " << Spec.Version << "\n";
  Out << "\n[log]\nurl = " << Spec.LogUrl << "\n";
  if (!Seeds.empty())
    Out << "\n[peers]\nseeds = " << Seeds << "\n";
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
    throw std::runtime_error("fault proxy refused " + Call.Body + ": " +
                             Answer.Body + Answer.Error);
}

Mesh::Mesh(const std::string &TestName)
    : Folder_(std::string(LYCHEE_TEST_OUTPUT) + "/" + TestName) {
  Poco::File Folder(Folder_);
  if (Folder.exists())
    Folder.remove(true);
  Folder.createDirectories();
}

std::string Mesh::outputOf(const std::string &Name) const {
  return Folder_ + "/" + Name + ".out";
}

std::string Mesh::write(const std::string &Name,
                        const std::string &Text) const {
  const std::string Path = Folder_ + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

PortProcess &Mesh::startLog() {
  auto Made = std::make_unique<PortProcess>();
  Made->Port = freePort();
  Made->Process = std::make_unique<ChildProcess>(
      LYCHEE_TEST_LOG, std::vector<std::string>{"--listen", local(Made->Port)},
      outputOf("log"));
  requireAnswer("log", Made->Port);
  Logs_.push_back(std::move(Made));
  return *Logs_.back();
}

FaultProcess &Mesh::startFault(const std::string &Name, std::uint16_t Target) {
  return launchFault(Name, local(Target), false);
}

FaultProcess &Mesh::startControlFault(const std::string &Name,
                                      const std::string &Target) {
  return launchFault(Name, Target, true);
}

FaultProcess &Mesh::launchFault(const std::string &Name,
                                const std::string &Target, bool WithUdp) {
  auto Made = std::make_unique<FaultProcess>();
  Made->ControlPort = freePort();
  Made->ListenPort = freePort();
  const std::string Forward = local(Made->ListenPort) + "=" + Target;
  std::vector<std::string> Args{"--control", local(Made->ControlPort), "--tcp",
                                Forward};
  if (WithUdp)
    Args.insert(Args.end(), {"--udp", Forward});
  Made->Process =
      std::make_unique<ChildProcess>(LYCHEE_TEST_FAULT, Args, outputOf(Name));
  requireAnswer(Name, Made->ControlPort);
  Faults_.push_back(std::move(Made));
  return *Faults_.back();
}

void Mesh::launchUpstream(NodeProcess &Node) const {
  std::vector<std::string> Args{"--listen",  local(Node.UpstreamPort),
                                "--node",    local(Node.RequestPort),
                                "--version", Node.Spec.Version};
  Args.insert(Args.end(), Node.Spec.UpstreamArgs.begin(),
              Node.Spec.UpstreamArgs.end());
  Node.Upstream = std::make_unique<ChildProcess>(
      LYCHEE_TEST_UPSTREAM, Args, outputOf(Node.Spec.Id + "-upstream"));
  requireAnswer("upstream of " + Node.Spec.Id, Node.UpstreamPort);
}

void Mesh::launch(NodeProcess &Node) const {
  Node.Process = std::make_unique<ChildProcess>(
      LYCHEE_BINARY,
      std::vector<std::string>{"node", "--settings", Node.SettingsFile},
      outputOf(Node.Spec.Id));
}

NodeProcess &Mesh::startNode(const NodeSpec &Spec) {
  auto Made = std::make_unique<NodeProcess>();
  Made->Spec = Spec;
  for (std::uint16_t *Port :
       {&Made->RequestPort, &Made->HopPort, &Made->ControlPort,
        &Made->AdminPort, &Made->UpstreamPort})
    *Port = freePort();
  if (!Spec.Service.empty())
    launchUpstream(*Made);
  if (Spec.FaultToUpstream)
    Made->UpstreamLink =
        &startFault(Spec.Id + "-upstream-fault", Made->UpstreamPort);
  if (Spec.ForwardControl)
    Made->ControlFault =
        &startControlFault(Spec.Id + "-fault", controlOf(*Made));
  std::string Seeds;
  for (std::size_t I = 0; I < Nodes_.size() && I < MaxSeeds; ++I)
    Seeds += (I == 0 ? "" : ", ") + announcedBy(*Nodes_[I]);
  Made->SettingsFile = write(Spec.Id + ".ini", settingsOf(*Made, Seeds));
  launch(*Made);
  Nodes_.push_back(std::move(Made));
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
  const std::string Output = outputOf("run-" + std::to_string(++Runs_));
  ChildProcess Command(LYCHEE_BINARY, Args, Output);
  Run Result;
  Result.ExitCode = Command.waitFor(CommandLimit).value_or(-1);
  Result.Output = readFile(Output);
  return Result;
}

} // namespace lycheethread::harness
