#ifndef LYCHEETHREAD_MESH_TYPES_FAIRSHARE_H
#define LYCHEETHREAD_MESH_TYPES_FAIRSHARE_H

#include "model/Model.h"
#include "organisations/Organisations.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lycheethread::mesh {

/// Position of an organisation in FairShares::Accounts. The default is the
/// account of requests without an organisation.
using ShareAccount = StrongNumber<struct ShareAccountTag>;

/// What one organisation has used of the slots of an upstream.
struct OrganisationUse {
  organisations::OrganisationId Organisation;
  /// Slot time in milliseconds, weighted as in FairShares.
  double SlotMs = 0;
};

/// Recent use of the slots of one upstream by organisations.
struct FairShares {
  /// Slot time used at a later time T counts exp((T - Since) / decay time), so
  /// that comparing two organisations needs no decay.
  SteadyTime Since;
  std::vector<OrganisationUse> Accounts{1};
  std::unordered_map<organisations::OrganisationId, ShareAccount> Positions;
  /// Sums over all accounts, weighted likewise.
  double SlotMs = 0;
  double Starts = 0;
  /// Accounts with recent use.
  std::int32_t Active = 0;
};

/// A slot that a request holds.
struct SlotUse {
  ShareAccount Account;
  std::int32_t Rank = 0;
  /// Service time that was charged at the start.
  Milliseconds Expected{0};
  SteadyTime StartedAt;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_FAIRSHARE_H
