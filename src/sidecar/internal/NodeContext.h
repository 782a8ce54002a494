#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_NODECONTEXT_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_NODECONTEXT_H

#include "metrics/Metrics.h"
#include "reactor/Reactor.h"
#include "settings/Settings.h"
#include "sidecar/internal/EventLog.h"
#include "sidecar/types/OperatorRecords.h"
#include "sidecar/types/PlatformProtocol.h"

#include <random>
#include <utility>

namespace lycheethread::sidecar {

/// State that several parts of a node share. All of them run in one thread.
struct NodeContext {
  NodeContext(reactor::EventLoop &UsedLoop,
              const PlatformProtocol &UsedPlatform,
              settings::SidecarSettings Checked)
      : Loop(UsedLoop), Platform(UsedPlatform), Settings(std::move(Checked)) {}

  reactor::EventLoop &Loop;
  const PlatformProtocol &Platform;
  settings::SidecarSettings Settings;
  MeshBounds Bounds;

  /// Null until a configuration is known.
  mesh::MeshConfigPtr Config;
  OperatorRecords Records;
  /// When the store last confirmed, to this or another node, that Records was
  /// complete; zero before.
  SteadyTime ConfirmedAt;

  mesh::Fleet Fleet;
  mesh::Registration Registered;
  requests::SuspectTable Suspects;
  /// Crashes at the upstream beside this node, newest last.
  std::vector<mesh::CrashSuspectReport> OwnCrashes;

  /// Callers may send to this node.
  bool Ready = false;
  /// Requests are served; unlike Ready, also while the node stops.
  bool Serving = false;
  bool Stopping = false;

  std::shared_ptr<metrics::RequestRecorder> Metrics;
  EventLog Log;
  std::mt19937_64 Random{std::random_device{}()};

  /// The process stood still for LastPause until ResumedAt.
  SteadyTime ResumedAt;
  Milliseconds LastPause{0};

  SteadyTime now() const { return Loop.now(); }

  /// When a request that has just been read may have arrived. After a pause it
  /// may have waited in the socket all the while.
  SteadyTime arrival() const {
    const bool JustResumed = elapsed(ResumedAt, now()) < AfterPause;
    return JustResumed ? after(now(), -LastPause) : now();
  }

  /// Time in which everything that came during a pause is read.
  static constexpr Milliseconds AfterPause{150};
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_NODECONTEXT_H
