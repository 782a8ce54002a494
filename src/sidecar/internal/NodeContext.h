#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_NODECONTEXT_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_NODECONTEXT_H

#include "metrics/Metrics.h"
#include "reactor/Reactor.h"
#include "settings/Settings.h"
#include "sidecar/internal/AnswerBudget.h"
#include "sidecar/internal/EventLog.h"
#include "sidecar/types/OperatorRecords.h"
#include "sidecar/types/PlatformProtocol.h"

#include <optional>
#include <random>
#include <utility>

namespace lycheethread::sidecar {

/// State that the parts of a node share. All of them run on one thread.
struct NodeContext {
  NodeContext(reactor::EventLoop &OwnerLoop, const PlatformProtocol &Protocol,
              settings::SidecarSettings ParsedSettings)
      : Loop(OwnerLoop), Platform(Protocol),
        Settings(std::move(ParsedSettings)) {}

  reactor::EventLoop &Loop;
  const PlatformProtocol &Platform;
  settings::SidecarSettings Settings;
  mesh::MeshBounds Bounds;

  /// Null until a configuration is known.
  mesh::MeshConfigPtr Config;
  OperatorRecords Records;
  /// The newest configuration of the operator could not be read; an older one
  /// is in force.
  bool IsConfigUnreadable = false;
  /// When the store last confirmed, to this or another node, that Records was
  /// complete; zero before the first confirmation.
  SteadyTime ConfirmedAt;

  /// The zones that Records states as evacuated.
  mesh::Evacuation Evacuated;

  mesh::NodeTable KnownNodes;
  mesh::JoinState Join;
  mesh::Registration Registered;
  requests::SuspectTable Suspects;
  /// Crashes of the upstream beside this node, newest last.
  std::vector<mesh::CrashSuspectReport> OwnCrashes;

  /// The node reports itself as ready to callers.
  bool Ready = false;
  /// Requests are served; in contrast to Ready, also while the node stops.
  bool Serving = false;
  bool Stopping = false;
  /// When the stop was requested.
  SteadyTime StopAt;

  std::shared_ptr<metrics::RequestRecorder> Metrics;
  EventLog Log;
  std::shared_ptr<AnswerBudget> HeldAnswers = std::make_shared<AnswerBudget>();
  std::mt19937_64 Random{std::random_device{}()};

  /// The process was suspended for LastPause until ResumedAt.
  SteadyTime ResumedAt;
  Milliseconds LastPause{0};

  SteadyTime now() const { return Loop.now(); }

  /// Returns when a request that has just been read may have arrived: after a
  /// suspension it may have waited in the socket all the time.
  SteadyTime arrival() const {
    const bool JustResumed = elapsed(ResumedAt, now()) < CatchUpTime;
    return JustResumed ? after(now(), -LastPause) : now();
  }

  /// Whether a key that the configuration in force holds may be accepted.
  bool mayTrustKeys() const {
    if (!Bounds.Revocation.IsStrict)
      return true;
    std::optional<Milliseconds> Age;
    if (ConfirmedAt != SteadyTime() && !IsConfigUnreadable)
      Age = elapsed(ConfirmedAt, now());
    return organisations::mayTrustKeys(Bounds.Revocation, Age);
  }

  /// Returns when a message that was read at \p ReadAt was sent at the latest,
  /// but for its time in the network.
  SteadyTime sentBy(SteadyTime ReadAt) const {
    const Milliseconds Since = elapsed(ResumedAt, ReadAt);
    const bool MayHaveWaited =
        Since >= Milliseconds(0) && Since < DatagramCatchUpTime;
    return MayHaveWaited ? after(ReadAt, -LastPause) : ReadAt;
  }

  /// Time within which everything that arrived during a suspension is read.
  static constexpr Milliseconds CatchUpTime{150};
  /// The same for datagrams, of which a socket holds many.
  static constexpr Milliseconds DatagramCatchUpTime{1000};
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_NODECONTEXT_H
