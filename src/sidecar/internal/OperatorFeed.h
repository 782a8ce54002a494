#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_OPERATORFEED_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_OPERATORFEED_H

#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/NodeContext.h"
#include "sidecar/internal/StoreClient.h"

namespace lycheethread::sidecar {

/// Keeps the operator's records up to date: a few nodes read the store, the
/// others fetch the records from them.
class OperatorFeed {
public:
  struct Callbacks {
    /// The records have changed, and the configuration in force has been
    /// updated.
    std::function<void()> OnRecords;
    /// Records were read from the store; the other nodes should learn of it at
    /// once.
    std::function<void()> OnRead;
    /// Records were fetched from another node; nearby nodes may lack them too.
    std::function<void()> OnFetched;
    /// isCurrent() may have become true.
    std::function<void()> OnProgress;
    std::function<void(const std::vector<StoreItem> &)> OnStatus;
    std::function<void(const StoreRead &)> OnMembers;
  };

  OperatorFeed(NodeContext &Context, StoreClient &Store, Callbacks Handlers);
  ~OperatorFeed();

  /// Reads the member list again.
  void reloadMembers() { loadMembers(); }

  /// To be called after reports of other nodes have arrived.
  void onReports();

  /// Whether a configuration is in force, no known node has newer records, and
  /// the ended rollouts are known.
  bool isCurrent() const;

private:
  void start();
  bool isOrder(const std::string &Key, const OperatorRecord &Record) const;
  bool hasOrders() const;
  void loadStatus();
  void loadMembers();
  void onFirstMembers(std::size_t Listed);
  bool peersKnowOrders() const;
  bool hasReadyPeer() const;
  void scheduleReload(Milliseconds Pause);
  void checkReader();
  void poll();
  void onPolled(const StoreRead &Read, SteadyTime SentAt, Milliseconds Wait);
  void reload();
  void scheduleReaderCheck(Milliseconds Pause);
  void applyRecords(const OperatorRecords &From, const char *Source);
  void applyConfig();
  bool lacksRecordsOf(const mesh::NodeReport &Report) const;
  bool lacksKeptRecords() const;
  void fetchFromPeer();
  Milliseconds randomBetween(Milliseconds Least, Milliseconds Most);
  Milliseconds nextBackoff();

  NodeContext &Context_;
  StoreClient &Store_;
  Callbacks Callbacks_;
  ConnectionPool Pool_;
  ClientConnectionPtr FetchConnection_;
  reactor::TimerId FetchTimeoutTimer_;
  reactor::TimerId FetchDelayTimer_;
  /// The highest position of an earlier era of the store up to which this node
  /// has all records.
  Offset EarlierPosition_;
  SteadyTime KeptAskedAt_;
  /// Time since which another node is known to have newer records.
  SteadyTime BehindSince_;
  reactor::TimerId Timer_;
  SteadyTime StartedAt_;
  SteadyTime MembersReadAt_;
  bool HasReadStore_ = false;
  bool StatusRequested_ = false;
  bool StatusKnown_ = false;
  bool StatusAwaited_ = false;
  bool MembersKnown_ = false;
  bool Busy_ = false;
  Milliseconds Backoff_{0};
  /// With which the keys of this process's configurations are digested.
  organisations::DigestSecret KeySecret_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_OPERATORFEED_H
