#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_ALLOTMENTS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_ALLOTMENTS_H

#include "sidecar/internal/GossipCodec.h"
#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace lycheethread::sidecar {

/// Answer to a request for a permit.
struct PermitResult {
  bool Granted = false;
  /// When the permit can no longer be released; with Granted.
  SteadyTime ExpiresAt;
  /// Time until a permit is expected; without Granted.
  Milliseconds RetryDelay{0};
};

/// The permits of organisations with a limit: grants them for those that this
/// node owns, and obtains them from the other owners.
class Allotments {
public:
  using OnResult = std::function<void(PermitResult)>;
  /// Sends a datagram to the gossip endpoint of another node.
  using SendMessage =
      std::function<void(const Endpoint &To, const GossipMessage &Message)>;

  Allotments(NodeContext &Context, SendMessage Send);
  ~Allotments();

  /// Calls \p Done at once, or within quota::longestPermitWait when the owner
  /// has to be asked. Uses the times of \p Info. \p Age is the time since the
  /// caller's first attempt.
  void acquire(const organisations::Organisation &Holder, const HopInfo &Info,
               Milliseconds Age, OnResult Done);

  /// Gives back the permit of a request that has not run.
  void release(const organisations::Organisation &Holder, SteadyTime ExpiresAt);

  /// Handles the asks and grants of a received datagram.
  void onMessage(const GossipMessage &Message);

  /// Returns the use of all quotas in the Prometheus text format.
  std::string exposition() const;

private:
  struct Waiter {
    SteadyTime Until;
    SteadyTime ObjectiveAt;
    SteadyTime DeadlineAt;
    OnResult Done;
  };
  using Waiters = std::deque<Waiter>;
  /// An organisation as an entry and, if this node owns it, as the owner.
  struct Account {
    quota::EntryStock Stock;
    Waiters Waiting;
    /// Requests of callers that were refused before; served first.
    Waiters Returning;
    NodeId Owner;
    /// The first nodes in the rendezvous order, for a version of Members_.
    std::vector<NodeId> Order;
    std::int64_t OrderVersion = -1;
    /// Nodes that have not answered, and when they were given up.
    std::map<NodeId, SteadyTime> UnresponsiveSince;
    std::unique_ptr<quota::OwnerBucket> Bucket;
    /// When this node last became the owner.
    SteadyTime EarlyAt;
    SteadyTime RefusalLoggedAt;
    SteadyTime SilenceLoggedAt;
    metrics::QuotaCounts Counts;
    /// Number of accounts that were added before this one.
    std::size_t Place = 0;
  };
  /// Callbacks of requests may add accounts while they are walked through.
  using Accounts = std::map<organisations::OrganisationId, Account>;

  Account &accountOf(const organisations::Organisation &Holder);
  void tick();
  void updateFleet();
  void updateOrder(const organisations::OrganisationId &Name, Account &Item);
  void updateOwners();
  void updateOwner(const organisations::OrganisationId &Name, Account &Item);
  void replaceSilentOwner(const organisations::OrganisationId &Name,
                          Account &Item);
  void check();
  void startCheck();
  void askIfNeeded(const organisations::OrganisationId &Name, Account &Item);
  void sendAsk(const organisations::OrganisationId &Name, Account &Item,
               std::int32_t Wanted, std::int32_t Returning);
  void onAsk(const QuotaAsk &Item);
  void onGrant(const organisations::OrganisationId &Name, Account &Item,
               const quota::PermitGrant &Grant);
  std::optional<quota::PermitGrant> grantAsOwner(Account &Item,
                                                 const quota::PermitAsk &Ask);
  void serveWaiting(const organisations::OrganisationId &Name, Account &Item);
  void serve(Account &Item, Waiters &Queue);
  void refuse(const organisations::OrganisationId &Name, Account &Item,
              const Waiter &Each);
  void refuseLate(const organisations::OrganisationId &Name, Account &Item,
                  Waiters &Queue);
  PermitResult tryTake(Account &Item);
  quota::QuotaTimes times() const;
  organisations::Quota ownerLimit(const Account &Item) const;

  NodeContext &Context_;
  SendMessage Send_;
  Accounts Accounts_;
  quota::Fleet Fleet_;
  /// The other nodes that are not stopping.
  quota::OwnerMembers Members_;
  /// The configuration that Accounts_ has been compared with.
  mesh::MeshConfigPtr Config_;
  SteadyTime StartedAt_;
  SteadyTime OwnersAt_;
  reactor::TimerId Timer_;
  reactor::TimerId CheckTimer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_ALLOTMENTS_H
