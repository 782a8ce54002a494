#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMHOP_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMHOP_H

#include "sidecar/internal/CalleeWatch.h"
#include "sidecar/internal/ColdWatch.h"
#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/CrashProbe.h"
#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"
#include "sidecar/internal/OutcomeRecorder.h"
#include "sidecar/internal/UpstreamStatement.h"

#include <deque>
#include <unordered_map>

namespace lycheethread::sidecar {

/// The last hop, which forwards requests to the upstream beside this node. No
/// other node sends to the upstream, so the slots are counted exactly, and
/// sending stops as soon as the upstream leaves.
class UpstreamHop {
public:
  struct Callbacks {
    /// Returns the running rollout of a service, for which outcomes are
    /// counted.
    std::function<std::optional<Offset>(const ServiceName &)> ActiveOrder;
    /// The upstream says in an answer that it leaves; Registered is not changed
    /// yet.
    std::function<void()> OnLeaving;
  };

  UpstreamHop(NodeContext &Context, Callbacks Handlers);
  ~UpstreamHop();

  /// OnEnd may be called before this returns.
  mesh::JobId submit(HopJob Job);

  /// Called when the caller has left. A request that is not repeatable and has
  /// been sent runs to its end, and its answer is dropped. No callback follows.
  void cancel(mesh::JobId Id);

  /// Refuses the requests that have not been sent to the upstream.
  void refuseUnsent();

  /// To be called after Registered, Config or Evacuated has changed.
  void onRegistrationChanged();

  /// To be called after each accepted check-in, before onRegistrationChanged().
  void onCheckIn();

  mesh::LoadReport load() const;
  /// The part that knows whether the upstream is cold.
  const ColdWatch &cold() const { return Cold_; }
  mesh::EvidenceByRoute evidence() const;
  /// Takes the calls that the upstream makes.
  CalleeWatch &callees() { return Callees_; }
  /// The order at the position \p From is now known by \p To.
  void moveEvidence(Offset From, Offset To) { Outcomes_.moveOrder(From, To); }
  std::size_t inProgress() const { return Jobs_.size(); }
  /// Requests that the upstream holds.
  std::size_t running() const;

private:
  struct Running;
  using RunningPtr = std::shared_ptr<Running>;

  void admit(const RunningPtr &Job);
  void admitUpload(const RunningPtr &Job);
  void receiveNext();
  void receive(const RunningPtr &Job);
  void endReceiving(const RunningPtr &Job);
  void onBody(const RunningPtr &Job);
  std::optional<RefusalReason> checkTarget(const HopInfo &Info) const;
  std::optional<RefusalReason> checkUpstream() const;
  void grant(const RunningPtr &Job);
  void connect(const RunningPtr &Job);
  void send(const RunningPtr &Job);
  void onAnswer(const RunningPtr &Job, ClientAnswer Answer);
  void onStatement(const Running &Job, const Poco::Net::HTTPResponse &Head);
  void onFailure(const RunningPtr &Job, ClientFailure Why);
  void onDeadline(const RunningPtr &Job);
  void finish(const RunningPtr &Job, HopOutcome Outcome);
  void release(const RunningPtr &Job);
  void runWaiting();
  void countWork(Running &Job, Milliseconds Expected);
  void scheduleExpiry();
  void expireWaiting();
  void refuseWaiting(RefusalReason Reason);
  void recordEvidence(const Running &Job, bool Good, Milliseconds Took);
  /// Returns the expected time of a request, which is assumed from its
  /// objective at first.
  Milliseconds expectedService(const HopInfo &Info);

  NodeContext &Context_;
  Callbacks Callbacks_;
  ConnectionPool Pool_;
  CrashProbe Crashes_;
  mesh::HopQueue Queue_;
  /// Sum of the expected times of the requests that run or wait.
  Milliseconds ExpectedWork_{0};
  ColdWatch Cold_;
  CalleeWatch Callees_;
  std::unordered_map<std::int64_t, RunningPtr> Jobs_;
  mesh::JobId LastJob_;
  /// Requests whose long body has not arrived yet; they hold no slot.
  mesh::UploadBacklog UploadBacklog_;
  std::deque<RunningPtr> UploadQueue_;
  mesh::Upstream CurrentUpstream_;
  /// What the upstream said in its last answer.
  UpstreamStatement Stated_;
  bool HasAnswered_ = false;
  /// After a failed connection the upstream counts as down until this time.
  SteadyTime DownUntil_;
  mesh::ServiceTime Service_;
  std::unordered_map<RouteName, mesh::ServiceTime> ServiceByRoute_;
  OutcomeRecorder Outcomes_;
  reactor::TimerId Timer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMHOP_H
