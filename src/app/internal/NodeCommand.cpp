#include "admin/Admin.h"
#include "app/internal/Commands.h"
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

/// Pause between two looks at the requests in progress while draining.
constexpr Milliseconds DrainPoll{50};
/// A request that was on its way when the drain began must have arrived, and
/// the other nodes must have heard of the drain, before the ports close.
constexpr Milliseconds DrainQuietTime{3000};
/// A caller that connected just before the port closed must have sent its
/// request.
constexpr Milliseconds ListenQuietTime{1000};

sigset_t endSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Returns whether an end signal came within \p Limit.
bool endSignalWithin(Milliseconds Limit) {
  const sigset_t Signals = endSignals();
  timespec Wait{};
  Wait.tv_sec = Limit.count() / 1000;
  Wait.tv_nsec = (Limit.count() % 1000) * 1000000;
  return sigtimedwait(&Signals, nullptr, &Wait) > 0;
}

void waitForEndSignal() {
  const sigset_t Signals = endSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
}

kernel::Module settingsModule(const NodeSettings &Checked) {
  return {"settings",
          [Checked](kernel::ServiceRegistry &Registry) {
            Registry.add(kernel::service_names::Settings,
                         std::make_shared<NodeSettings>(Checked));
          },
          {},
          {}};
}

/// Modules stop in reverse order: the proxy first, and the refusal log while
/// peers and log can still be reached.
void addModules(kernel::Kernel &Node, const NodeSettings &Checked) {
  Node.add(settingsModule(Checked));
  Node.add(streamlog::makeStreamLogModule());
  Node.add(metrics::makeMetricsModule());
  Node.add(peer::makePeerModule());
  Node.add(refusallog::makeRefusalLogModule());
  Node.add(moveowner::makeMoveOwnerModule());
  Node.add(proxy::makeProxyModule());
  Node.add(admin::makeAdminModule());
}

/// Waits until nothing has been in progress for \p Quiet. False after \p Limit
/// or a second signal, which asks for an immediate end.
bool waitForQuiet(const std::function<std::int64_t()> &InProgress,
                  Milliseconds Quiet, Milliseconds &Limit) {
  Milliseconds QuietFor{0};
  while (QuietFor < Quiet) {
    if (endSignalWithin(DrainPoll)) {
      BOOST_LOG_TRIVIAL(warning) << "node: second signal, stopping with "
                                 << InProgress() << " requests open";
      return false;
    }
    Limit -= DrainPoll;
    if (Limit <= Milliseconds(0))
      return false;
    QuietFor = InProgress() == 0 ? QuietFor + DrainPoll : Milliseconds(0);
  }
  return true;
}

/// Callers that stay connected would keep the node from ever being quiet, so
/// the port for callers closes once the last hop has nothing in progress.
void drain(kernel::ServiceRegistry &Registry, Milliseconds Limit) {
  const auto Drain =
      Registry.find<proxy::DrainControl>(kernel::service_names::Drain);
  const auto Peers =
      Registry.find<peer::PeerControl>(kernel::service_names::Peers);
  Drain->Begin();
  Peers->Announce(MemberState::Draining);
  if (!waitForQuiet(Drain->LastHopInProgress, DrainQuietTime, Limit))
    return;
  Drain->StopListening();
  waitForQuiet(Drain->InProgress, ListenQuietTime, Limit);
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    throw std::runtime_error("settings file \"" + Path + "\" cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

int runChecked(const NodeSettings &Checked) {
  startLogging(Checked.LogLevel);
  const sigset_t Signals = endSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  kernel::Kernel Node;
  addModules(Node, Checked);
  Node.start();
  BOOST_LOG_TRIVIAL(info) << "node: " << Checked.Id << " started in "
                          << Checked.At.Zone;
  waitForEndSignal();
  BOOST_LOG_TRIVIAL(info) << "node: draining";
  drain(Node.registry(), Checked.DrainTimeout);
  Node.stop();
  BOOST_LOG_TRIVIAL(info) << "node: stopped";
  return ExitOk;
}

/// A node whose configuration comes from a platform's store.
int runSidecar(const std::string &Path, const std::string &LogLevel) {
  startStandardOutputLogging(LogLevel);
  kernel::Kernel Node;
  Node.add({"platform",
            [](kernel::ServiceRegistry &Registry) {
              Registry.add(sidecar::PlatformProtocolName,
                           std::make_shared<sidecar::PlatformProtocol>(
                               platform::makePlatformPort()));
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

bool reportFindings(const Findings &Problems) {
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
      "check", "check the settings and exit")("h,help", "print this help");
  const auto Parsed = Options.parse(Argc, Argv);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return ExitOk;
  }
  if (Parsed.count("settings") == 0)
    throw std::runtime_error("--settings FILE is missing");

  const auto Path = Parsed["settings"].as<std::string>();
  const std::string Text = readFile(Path);
  const bool OnlyCheck = Parsed.count("check") != 0;
  if (settings::isForSidecar(Text)) {
    const settings::ParsedSidecarSettings Result =
        settings::parseSidecarSettings(Path, Text);
    if (reportFindings(Result.Problems))
      return ExitRefused;
    return OnlyCheck ? ExitOk : runSidecar(Path, Result.Settings.LogLevel);
  }
  const settings::ParsedSettings Result =
      settings::parseNodeSettings(Path, Text);
  if (reportFindings(Result.Problems))
    return ExitRefused;
  return OnlyCheck ? ExitOk : runChecked(Result.Settings);
}

} // namespace lycheethread::app
