#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_COLDWATCH_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_COLDWATCH_H

#include "sidecar/internal/HealthCheck.h"

namespace lycheethread::sidecar {

/// Keeps the limit for the upstream beside this node while it is cold up to
/// date with the configuration, its check-ins, connections, service times and
/// health checks.
class ColdWatch {
public:
  struct Callbacks {
    /// Whether requests may be sent to the upstream.
    std::function<bool()> MaySend;
    /// A health check has ended: its slot is free, and the limit may have
    /// ended.
    std::function<void()> OnChecked;
  };

  /// \p Queue and \p Pool must outlive this object.
  ColdWatch(NodeContext &Context, ConnectionPool &Pool, mesh::HopQueue &Queue,
            Callbacks Handlers);

  /// Takes the rate of the registered service, and whether its zone is
  /// evacuated.
  void onConfig();
  void onCheckIn(bool IsNewProcess);
  void onLoss(mesh::ConnectionLoss Kind);
  /// Called for each answer from the upstream that is no failure.
  void onAnswer(const RouteName &Route, SteadyTime SentAt);

  /// How long the upstream stays cold, by what it said last.
  Milliseconds remaining() const;
  bool isCold() const { return remaining() > Milliseconds(0); }

  /// Returns the health checks by result in the Prometheus text format; empty
  /// before the first one.
  std::string metrics() const;

private:
  const mesh::MeshService *service() const;
  void check(mesh::HealthCheckReason Reason);
  void onChecked(mesh::HealthCheckReason Reason, mesh::HealthAnswer Answer);
  void endCheck();
  void log(const char *Reason);

  NodeContext &Context_;
  mesh::HopQueue &Queue_;
  mesh::ColdLimit &Limit_;
  Callbacks Callbacks_;
  mesh::ColdSuspicion Suspicion_;
  HealthCheck Check_;
  bool IsChecking_ = false;
  /// The version to which the times in Suspicion_ belong.
  VersionName Version_;
  bool WasEvacuated_ = false;
  /// The limit is in force, as logged last.
  bool IsLogged_ = false;
  std::uint64_t ColdChecks_ = 0;
  std::uint64_t WarmChecks_ = 0;
  std::uint64_t UnansweredChecks_ = 0;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_COLDWATCH_H
