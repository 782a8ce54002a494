#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_ROLLOUTS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_ROLLOUTS_H

#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

class StoreClient;

/// Follows the operator's rollout orders: splits requests between versions and,
/// on the node whose turn it is, records the progress in the store.
class Rollouts {
public:
  struct Callbacks {
    std::function<mesh::EvidenceByRoute()> OwnEvidence;
    std::function<mesh::LoadReport()> OwnLoad;
    /// Sends this node's evidence on an order to the nodes that judge.
    std::function<void(Offset, const mesh::EvidenceByRoute &,
                       const std::vector<NodeId> &)>
        SendEvidence;
    /// The state of a rollout has changed; all nodes should learn of it at
    /// once.
    std::function<void()> OnChange;
    /// The order at the first position is now known by the second one.
    std::function<void(Offset From, Offset To)> OnOrderMoved;
  };

  Rollouts(NodeContext &Context, StoreClient &Store, Callbacks Handlers);
  ~Rollouts();

  /// To be called after the operator's records have changed.
  void onRecordsChanged();

  /// Returns the offset of the running order of \p Service.
  std::optional<Offset> activeOrder(const ServiceName &Service) const;

  /// Returns the candidates whose version may get the next request of \p Class.
  std::vector<mesh::Candidate> select(const ServiceName &Service,
                                      RequestClass Class,
                                      std::vector<mesh::Candidate> From);

  std::vector<mesh::RolloutReport> reports() const;

  /// Takes the evidence of another node, which was sent by \p SentBy.
  void onEvidence(const mesh::EvidenceReport &Report, SteadyTime SentBy);

  /// Applies the ends that the store has recorded, by status key.
  void onStatus(const std::vector<StoreItem> &Items);

private:
  struct Item {
    mesh::RolloutOrder Order;
    SteadyTime SeenAt;
    mesh::RolloutState State = mesh::RolloutState::Running;
    mesh::RolloutDecision Decision;
    bool IsNewVersionBad = false;
    /// Evidence of each node when the share last changed, and the outcomes
    /// under each earlier share.
    std::map<NodeId, mesh::EvidenceByRoute> EvidenceBefore;
    std::vector<mesh::TotalsByRoute> Earlier;
    /// Accumulated share of the new version in thousandths of a request, for
    /// repeatable and for other requests.
    /// A random start spreads the first such requests of the nodes over time.
    std::int64_t Credit[2] = {0, 0};
    /// The newest judgement of any node, and the time from which its age
    /// counts.
    std::optional<mesh::Judgement> Judged;
    SteadyTime JudgedAt;
    /// Since when this node has been one of the judges; empty while it is not.
    std::optional<SteadyTime> JudgingSince;
    /// Nodes that judge and to which evidence goes; 0 before the first look.
    std::size_t Judges = 0;
    bool RunningRecorded = false;
    /// The rollout has ended, and the store may have lost the record of that.
    bool MustRecordEnd = false;
    bool Writing = false;
    SteadyTime NextWrite;
  };

  void moveOrder(Item &Current, Offset To);
  void onStoreEra(StoreEra Era);
  std::optional<mesh::RolloutState>
  stateToRecord(Item &Current, const std::vector<StoreItem> &Items);
  void tick();
  /// The subject of the order in which the nodes judge.
  static std::string judgeSubject(const ServiceName &Service);
  void sendEvidence();
  void expireEvidence();
  void update(Item &Current);
  void mergeReports(Item &Current);
  mesh::RolloutView viewOf(const Item &Current) const;
  void addNode(mesh::RolloutView &View, const Item &Current,
               const mesh::NodeReport &Report, bool IsRecent) const;
  void addEvidence(mesh::RolloutView &View, const Item &Current,
                   const NodeId &Id, const mesh::EvidenceByRoute &Counted,
                   bool IsNew) const;
  /// Returns the evidence of this node with its sum over all routes.
  mesh::EvidenceByRoute ownEvidence(const Item &Current) const;
  /// Returns the evidence of another node on the order, or null.
  const mesh::KnownEvidence *evidenceOf(const NodeId &Id,
                                        const Item &Current) const;
  void updateJudge(Item &Current);
  bool mayJudge(const Item &Current) const;
  std::size_t judgeCountOf(const Item &Current) const;
  std::optional<mesh::Judgement> judgementOf(const Item &Current) const;
  void recordJudgement(Item &Current, const mesh::RolloutDecision &Decided);
  /// Starts to count the outcomes under a changed share.
  void closeShare(Item &Current, const mesh::RolloutView &View);
  void recordProgress(Item &Current);
  /// Ends a call to the store and returns its item, or null if a different
  /// order has replaced it meanwhile.
  Item *onStoreCallEnded(const ServiceName &Service, Offset Order);
  void append(const ServiceName &Service, Offset Order,
              mesh::RolloutState State, Offset At);
  void finishRollout(Item &Current, mesh::RolloutState State,
                     const char *Source);

  NodeContext &Context_;
  StoreClient &Store_;
  Callbacks Callbacks_;
  std::map<ServiceName, Item> Items_;
  std::map<std::string, std::string> Status_;
  /// Evidence of the other nodes.
  std::map<NodeId, mesh::KnownEvidence> Evidence_;
  /// Era of the store as of the records; empty before the first.
  std::optional<StoreEra> Era_;
  reactor::TimerId Timer_;
  SteadyTime EvidenceSentAt_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_ROLLOUTS_H
