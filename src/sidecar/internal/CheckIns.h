#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_CHECKINS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_CHECKINS_H

#include "sidecar/internal/DepartureLog.h"
#include "sidecar/internal/HttpServer.h"

namespace lycheethread::sidecar {

/// Takes what the upstream beside the node says of itself, and keeps the
/// registration in NodeContext::Registered.
class CheckIns {
public:
  struct Callbacks {
    /// A check-in was accepted; comes before OnRegistration.
    std::function<void()> OnCheckIn;
    /// NodeContext::Registered has changed.
    std::function<void()> OnRegistration;
    /// The list of nodes has to be read.
    std::function<void()> OnUnlisted;
  };

  CheckIns(NodeContext &Context, StoreClient &Store, Callbacks Handlers);

  /// Answers a check-in or a leave message.
  void handle(const ServerRequestPtr &Request);

  /// The upstream says in its answers that it leaves.
  void onStatedLeaving();

  /// Another node remembers that the upstream was leaving before this node was
  /// restarted; the acknowledgement given then still binds.
  void onOwnPast(const mesh::Upstream &Past);

  void checkSilence();

  DepartureLog &departures() { return Departures_; }

private:
  void onMessage(const ServerRequestPtr &Request);
  void acknowledge(const ServerRequestPtr &Request) const;
  void onLeave(const mesh::UpstreamId &Id);
  void onCheckIn(const mesh::CheckIn &Item);
  bool mayHaveLeft(const mesh::CheckIn &Item);
  void onDeparturesKnown();
  void logRegistered() const;

  NodeContext &Context_;
  Callbacks Callbacks_;
  /// Check-ins that came before the departures were known.
  mesh::UnverifiedCheckIns Unverified_;
  DepartureLog Departures_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_CHECKINS_H
