#ifndef LYCHEETHREAD_TESTS_HARNESS_MESH_H
#define LYCHEETHREAD_TESTS_HARNESS_MESH_H

#include "ChildProcess.h"
#include "FreePorts.h"
#include "HttpCall.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lycheethread::harness {

/// A node and the upstream beside it.
struct NodeSpec {
  std::string Id;
  std::string Region;
  std::string Zone;
  /// Empty for a node without upstream.
  std::string Service;
  std::string Group;
  std::string Version = "v1";
  /// More arguments of the upstream.
  std::vector<std::string> UpstreamArgs;
  /// Base URL of the log, or of a forward to it.
  std::string LogUrl;
  /// Puts a fault proxy between the node and its upstream.
  bool FaultToUpstream = false;
  /// Address of the control endpoint. With another one than 127.0.0.1 a fault
  /// proxy can tell the datagrams of this node from those of others.
  std::string ControlAddress = "127.0.0.1";
  /// Whether other nodes reach the control endpoint through a fault proxy.
  bool ForwardControl = false;
};

/// A program with one port.
struct PortProcess {
  std::uint16_t Port = 0;
  std::unique_ptr<ChildProcess> Process;

  std::string url() const { return "http://127.0.0.1:" + std::to_string(Port); }
};

/// A fault proxy with one forward.
struct FaultProcess {
  std::uint16_t ControlPort = 0;
  std::uint16_t ListenPort = 0;
  std::unique_ptr<ChildProcess> Process;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(ListenPort);
  }
  /// Sets the rule given as the members of a JSON object without "listen",
  /// such as "\"mode\":\"reset\""; empty passes everything.
  void rule(const std::string &Members) const;
};

/// One node process; keeps its ports over a restart.
struct NodeProcess {
  NodeSpec Spec;
  std::uint16_t RequestPort = 0;
  std::uint16_t HopPort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t AdminPort = 0;
  std::uint16_t UpstreamPort = 0;
  /// Null without FaultToUpstream.
  FaultProcess *UpstreamLink = nullptr;
  /// Before the control endpoint, when that is wanted.
  FaultProcess *ControlFault = nullptr;
  std::string SettingsFile;
  std::unique_ptr<ChildProcess> Process;
  std::unique_ptr<ChildProcess> Upstream;
};

/// All processes of one test, and the folder with their settings and output.
class Mesh {
public:
  /// Empties the folder of the test, below test-output of the build.
  explicit Mesh(const std::string &TestName);

  const std::string &folder() const { return Folder_; }

  PortProcess &startLog();
  FaultProcess &startFault(const std::string &Name, std::uint16_t Target);
  /// The same for TCP and UDP at \p Target ("ip:port").
  FaultProcess &startControlFault(const std::string &Name,
                                  const std::string &Target);
  /// Starts the upstream, when there is one, and the node beside it. The first
  /// nodes started are its seeds.
  NodeProcess &startNode(const NodeSpec &Spec);
  /// Starts a node that has ended with the same settings.
  void restart(NodeProcess &Node) const;
  /// Starts an upstream that has ended on its port.
  void restartUpstream(NodeProcess &Node) const;

  /// Waits until the node's status says "ready"; false after \p Limit.
  static bool waitReady(const NodeProcess &Node,
                        std::chrono::milliseconds Limit);
  /// Body of GET /status; empty without an answer.
  static std::string status(const NodeProcess &Node);

  /// Output of a run of the binary with \p Args.
  struct Run {
    int ExitCode = -1;
    std::string Output;
  };
  Run run(const std::vector<std::string> &Args);

  /// Writes a file into the folder and returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;

private:
  std::string outputOf(const std::string &Name) const;
  FaultProcess &launchFault(const std::string &Name, const std::string &Target,
                            bool WithUdp);
  void launch(NodeProcess &Node) const;
  void launchUpstream(NodeProcess &Node) const;

  std::string Folder_;
  /// Commands may run at the same time.
  std::atomic<int> Runs_{0};
  std::vector<std::unique_ptr<PortProcess>> Logs_;
  std::vector<std::unique_ptr<FaultProcess>> Faults_;
  std::vector<std::unique_ptr<NodeProcess>> Nodes_;
};

/// Calls \p Check until it is true; false after \p Limit.
template <typename Function>
bool eventually(std::chrono::milliseconds Limit, const Function &Check) {
  const auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!Check()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

} // namespace lycheethread::harness

#endif // LYCHEETHREAD_TESTS_HARNESS_MESH_H
