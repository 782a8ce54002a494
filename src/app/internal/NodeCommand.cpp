#include "admin/Admin.h"
#include "app/internal/Commands.h"
#include "app/internal/DrainPlan.h"
#include "app/internal/Logging.h"
#include "kernel/Kernel.h"
#include "metrics/Metrics.h"
#include "moveowner/MoveOwner.h"
#include "peer/Peer.h"
#include "platform/Platform.h"
#include "proxy/Proxy.h"
#include "refusallog/RefusalLog.h"
#include "settings/Settings.h"
#include "sidecar/Sidecar.h"
#include "streamlog/StreamLog.h"

#include <boost/log/trivial.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <pthread.h>
#include <sstream>
#include <time.h>

namespace lycheethread::app {

namespace {

using settings::NodeSettings;

/// Interval between checks of the number of requests in progress while
/// draining.
constexpr Milliseconds DrainPollInterval{50};

sigset_t terminationSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Returns whether a termination signal arrives within \p Timeout.
bool terminationSignalWithin(Milliseconds Timeout) {
  const sigset_t Signals = terminationSignals();
  timespec Wait{};
  Wait.tv_sec = Timeout.count() / 1000;
  Wait.tv_nsec = (Timeout.count() % 1000) * 1000000;
  return sigtimedwait(&Signals, nullptr, &Wait) > 0;
}

void waitForTerminationSignal() {
  const sigset_t Signals = terminationSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
}

kernel::Module settingsModule(const NodeSettings &Settings) {
  return {"settings",
          [Settings](kernel::ServiceRegistry &Registry) {
            Registry.add(kernel::service_names::Settings,
                         std::make_shared<NodeSettings>(Settings));
          },
          {},
          {}};
}

/// The order matters, because modules stop in reverse order: the proxy stops
/// before the refusal log, and the refusal log stops while the other nodes and
/// the log can still be reached.
void addModules(kernel::Kernel &Node, const NodeSettings &Settings) {
  Node.add(settingsModule(Settings));
  Node.add(streamlog::makeStreamLogModule());
  Node.add(metrics::makeMetricsModule());
  Node.add(peer::makePeerModule());
  Node.add(refusallog::makeRefusalLogModule());
  Node.add(moveowner::makeMoveOwnerModule());
  Node.add(proxy::makeProxyModule());
  Node.add(admin::makeAdminModule());
}

enum class DrainWait { Idle, TimedOut, StopRequested };

/// Waits until no request has been in progress for \p IdleTime, for at most
/// \p Limit, which is reduced by the time that it waited. A second termination
/// signal requests an immediate stop.
DrainWait waitUntilIdle(const std::function<std::int64_t()> &InProgress,
                        Milliseconds IdleTime, Milliseconds &Limit) {
  Milliseconds IdleFor{0};
  while (IdleFor < IdleTime) {
    if (terminationSignalWithin(DrainPollInterval)) {
      BOOST_LOG_TRIVIAL(warning)
          << "node: second termination signal, stopping with " << InProgress()
          << " requests in progress";
      return DrainWait::StopRequested;
    }
    Limit -= DrainPollInterval;
    if (Limit <= Milliseconds(0))
      return DrainWait::TimedOut;
    IdleFor = InProgress() == 0 ? IdleFor + DrainPollInterval : Milliseconds(0);
  }
  return DrainWait::Idle;
}

/// Drains the node in at most \p Timeout. The port for callers closes once the
/// last hop has been idle; otherwise callers that stay connected could prevent
/// the node from ever becoming idle.
void drain(kernel::ServiceRegistry &Registry, Milliseconds Timeout) {
  const auto Drain =
      Registry.find<proxy::DrainControl>(kernel::service_names::Drain);
  const auto Peers =
      Registry.find<peer::PeerControl>(kernel::service_names::Peers);
  const DrainPlan Plan = planDrain(Timeout);
  Drain->Begin();
  Peers->Announce(MemberState::Draining);
  Milliseconds LastHopLimit = Plan.LastHopLimit;
  if (waitUntilIdle(Drain->LastHopInProgress, Plan.LastHopIdle, LastHopLimit) ==
      DrainWait::StopRequested)
    return;
  Drain->StopListening();
  Milliseconds Remaining = Timeout - (Plan.LastHopLimit - LastHopLimit);
  waitUntilIdle(Drain->InProgress, Plan.ListenIdle, Remaining);
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    throw std::runtime_error("settings file \"" + Path + "\" cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Runs a node that reads its configuration from the log.
int runWithLog(const NodeSettings &Settings) {
  startLogging(Settings.LogLevel);
  const sigset_t Signals = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  kernel::Kernel Node;
  addModules(Node, Settings);
  Node.start();
  BOOST_LOG_TRIVIAL(info) << "node: " << Settings.Id << " started in "
                          << Settings.At.Zone;
  waitForTerminationSignal();
  BOOST_LOG_TRIVIAL(info) << "node: draining";
  drain(Node.registry(), Settings.DrainTimeout);
  Node.stop();
  BOOST_LOG_TRIVIAL(info) << "node: stopped";
  return ExitOk;
}

/// Runs a node that reads its configuration from the store of a platform.
int runSidecar(const std::string &Path, const std::string &LogLevel) {
  startStandardOutputLogging(LogLevel);
  kernel::Kernel Node;
  Node.add({"platform",
            [](kernel::ServiceRegistry &Registry) {
              Registry.add(sidecar::PlatformProtocolName,
                           std::make_shared<sidecar::PlatformProtocol>(
                               platform::makePlatformProtocol()));
            },
            {},
            {}});
  Node.add(metrics::makeMetricsModule());
  Node.add(sidecar::makeSidecarModule(Path));
  Node.start();
  Node.registry().find<sidecar::SidecarRunner>(sidecar::RunnerName)->Run();
  Node.stop();
  return ExitOk;
}

/// Prints the bounds that the node would use; returns the findings.
Findings checkBounds(const std::string &Path,
                     const settings::SidecarSettings &Settings) {
  mesh::ParsedMeshBounds Parsed =
      platform::makePlatformProtocol().Bounds(Settings.PlatformBounds);
  const mesh::MeshBounds &Used = Parsed.Bounds;
  std::cout << "bounds in use: grace " << Used.GraceTime.count()
            << " ms, configuration in force within "
            << Used.ConfigApplyTime.count() << " ms, retry ratio "
            << Used.RetryRatio << ", retry slack " << Used.RetrySlack
            << ", exposure of a bad version " << Used.ExposureShare << "\n";
  for (Finding &Item : Parsed.Problems)
    Item.File = Path;
  return Parsed.Problems;
}

bool printFindingsIfAny(const Findings &Problems) {
  for (const Finding &Item : Problems)
    std::cerr << toString(Item) << "\n";
  return !Problems.empty();
}

} // namespace

int runNode(int Argc, char **Argv) {
  cxxopts::Options Options("lycheethread node",
                           "Runs the node beside an upstream until SIGTERM.");
  Options.add_options()("s,settings", "settings file (docs/settings.md)",
                        cxxopts::value<std::string>())(
      "check", "check the settings file and exit")("h,help", "print this help");
  const auto Parsed = Options.parse(Argc, Argv);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return ExitOk;
  }
  if (Parsed.count("settings") == 0)
    throw std::runtime_error("--settings FILE is missing");

  const auto Path = Parsed["settings"].as<std::string>();
  const std::string Text = readFile(Path);
  const bool CheckOnly = Parsed.count("check") != 0;
  if (settings::isForSidecar(Text)) {
    const settings::ParsedSidecarSettings Result =
        settings::parseSidecarSettings(Path, Text);
    if (printFindingsIfAny(Result.Problems))
      return ExitRefused;
    if (!CheckOnly)
      return runSidecar(Path, Result.Settings.LogLevel);
    return printFindingsIfAny(checkBounds(Path, Result.Settings)) ? ExitRefused
                                                                  : ExitOk;
  }
  const settings::ParsedSettings Result =
      settings::parseNodeSettings(Path, Text);
  if (printFindingsIfAny(Result.Problems))
    return ExitRefused;
  return CheckOnly ? ExitOk : runWithLog(Result.Settings);
}

} // namespace lycheethread::app
