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

/// Settings of a node and of the upstream beside it.
struct NodeSpec {
  std::string Id;
  std::string Region;
  std::string Zone;
  /// Empty for a node without an upstream.
  std::string Service;
  std::string Group;
  std::string Version = "v1";
  /// Additional command line arguments of the upstream.
  std::vector<std::string> UpstreamArgs;
  /// Base URL of the log, or of a fault proxy that forwards to it.
  std::string LogUrl;
  /// Whether a fault proxy is between the node and its upstream.
  bool FaultToUpstream = false;
  /// IP address of the control endpoint. If it differs from 127.0.0.1, a fault
  /// proxy can distinguish the datagrams of this node from those of others.
  std::string ControlAddress = "127.0.0.1";
  /// Whether other nodes reach the control endpoint through a fault proxy.
  bool ForwardControl = false;
  /// Limit for a drain; the default of the node without one.
  std::chrono::seconds DrainTimeout{0};
};

/// A process that listens on one port.
struct PortProcess {
  std::uint16_t Port = 0;
  std::unique_ptr<ChildProcess> Process;

  std::string url() const { return "http://127.0.0.1:" + std::to_string(Port); }
};

/// A fault proxy that forwards one port.
struct FaultProcess {
  std::uint16_t ControlPort = 0;
  std::uint16_t ListenPort = 0;
  std::unique_ptr<ChildProcess> Process;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(ListenPort);
  }
  /// Sets the fault rule. \p Members are the members of its JSON object without
  /// "listen", such as "\"mode\":\"reset\""; with an empty string the proxy
  /// forwards everything unchanged. Throws std::runtime_error when the proxy
  /// refuses the rule.
  void rule(const std::string &Members) const;
};

/// A node process and its upstream. The ports stay the same after a restart.
struct NodeProcess {
  NodeSpec Spec;
  std::uint16_t RequestPort = 0;
  std::uint16_t HopPort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t AdminPort = 0;
  std::uint16_t UpstreamPort = 0;
  /// The fault proxy in front of the upstream; null without FaultToUpstream.
  FaultProcess *UpstreamLink = nullptr;
  /// The fault proxy in front of the control endpoint; null without
  /// ForwardControl.
  FaultProcess *ControlFault = nullptr;
  std::string SettingsFile;
  std::unique_ptr<ChildProcess> Process;
  std::unique_ptr<ChildProcess> Upstream;
};

/// All processes of one test, and the folder with their settings and output
/// files.
class Mesh {
public:
  /// Creates the folder of the test in test-output of the build folder, or
  /// empties it.
  explicit Mesh(const std::string &TestName);

  const std::string &folder() const { return Folder_; }

  PortProcess &startLog();
  /// Starts a fault proxy for TCP to the port \p Target of 127.0.0.1.
  FaultProcess &startFault(const std::string &Name, std::uint16_t Target);
  /// Starts a fault proxy for TCP and UDP to \p Target ("ip:port").
  FaultProcess &startControlFault(const std::string &Name,
                                  const std::string &Target);
  /// Starts the upstream, if there is one, and the node beside it. The seeds of
  /// the node are the nodes that were started first, up to three.
  NodeProcess &startNode(const NodeSpec &Spec);
  /// Starts a node again that has ended, with the same settings.
  void restart(NodeProcess &Node) const;
  /// Starts an upstream again that has ended, on the same port.
  void restartUpstream(NodeProcess &Node) const;

  /// Waits until the status of the node is "ready"; false after \p Limit.
  static bool waitReady(const NodeProcess &Node,
                        std::chrono::milliseconds Limit);
  /// Returns the body of GET /status; empty unless the answer has status 200.
  static std::string status(const NodeProcess &Node);

  /// The result of a command.
  struct Run {
    int ExitCode = -1;
    std::string Output;
  };
  /// Runs the lycheethread binary with \p Args and waits until it ends.
  Run run(const std::vector<std::string> &Args);

  /// Writes a file to the folder of the test and returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;

private:
  std::string outputPath(const std::string &Name) const;
  FaultProcess &launchFault(const std::string &Name, const std::string &Target,
                            bool WithUdp);
  void launch(NodeProcess &Node) const;
  void launchUpstream(NodeProcess &Node) const;

  std::string Folder_;
  /// Number of commands started; atomic because commands may run in parallel.
  std::atomic<int> Runs_{0};
  std::vector<std::unique_ptr<PortProcess>> Logs_;
  std::vector<std::unique_ptr<FaultProcess>> Faults_;
  std::vector<std::unique_ptr<NodeProcess>> Nodes_;
};

/// Calls \p Check repeatedly until it returns true; returns false after
/// \p Limit.
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
