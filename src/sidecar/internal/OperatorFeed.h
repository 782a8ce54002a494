#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_OPERATORFEED_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_OPERATORFEED_H

#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/NodeContext.h"
#include "sidecar/internal/StoreClient.h"

namespace lycheethread::sidecar {

/// Keeps the operator's records up to date: a few nodes read the store, the
/// others take the records from them.
class OperatorFeed {
public:
  struct Callbacks {
    /// Records have changed; the configuration in force is up to date.
    std::function<void()> OnRecords;
    /// Read from the store itself; the others should hear of it at once.
    std::function<void()> OnRead;
    /// Fetched from another node; those nearby may lack the records too.
    std::function<void()> OnFetched;
    /// isCurrent() may have become true.
    std::function<void()> OnProgress;
    std::function<void(const std::vector<StoreItem> &)> OnStatus;
    std::function<void(const std::vector<StoreItem> &)> OnMembers;
  };

  OperatorFeed(NodeContext &Context, StoreClient &Store, Callbacks Used);
  ~OperatorFeed();

  /// Reads the list of nodes once more.
  void reloadMembers() { loadMembers(); }

  /// To be called after news have arrived.
  void onReports();

  /// A configuration is in force that no known node is ahead of, and the
  /// rollouts that have ended are known.
  bool isCurrent() const;

private:
  void start();
  bool hasOrders() const;
  void loadStatus();
  void loadMembers();
  void onListed();
  bool peersKnowOrders() const;
  void waitAndReload(Milliseconds Pause);
  void watch();
  void poll();
  void onPolled(const StoreRead &Read);
  void reload();
  void waitAndWatch(Milliseconds Pause);
  void take(const OperatorRecords &From, const char *Source);
  void applyConfig();
  void pull();
  Milliseconds between(Milliseconds Least, Milliseconds Most);
  Milliseconds nextPause();

  NodeContext &Context_;
  StoreClient &Store_;
  Callbacks Used_;
  ConnectionPool Pool_;
  ClientConnectionPtr Pulling_;
  reactor::TimerId PullTimer_;
  reactor::TimerId FetchTimer_;
  /// Since when another node is known to have newer records.
  SteadyTime BehindSince_;
  reactor::TimerId Timer_;
  SteadyTime StartedAt_;
  SteadyTime MembersAt_;
  bool ReadOnce_ = false;
  bool StatusAsked_ = false;
  bool StatusKnown_ = false;
  bool MembersKnown_ = false;
  bool Busy_ = false;
  Milliseconds Pause_{0};
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_OPERATORFEED_H
