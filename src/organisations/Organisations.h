#ifndef LYCHEETHREAD_ORGANISATIONS_ORGANISATIONS_H
#define LYCHEETHREAD_ORGANISATIONS_ORGANISATIONS_H

/// Public header of the organisations library: which organisation a request
/// belongs to, its rank, where it may be served, and how long keys are
/// believed. All functions are pure.

#include "organisations/types/KeyTable.h"
#include "organisations/types/KeyTrust.h"
#include "organisations/types/Organisation.h"

#include <optional>
#include <vector>

namespace lycheethread::organisations {

/// Returns the table of \p Keys. A key that is stated twice belongs to its
/// first holder.
KeyTable makeKeyTable(const std::vector<StatedKey> &Keys, DigestSecret Secret);

/// Returns the index of the organisation that holds \p Key.
std::optional<std::size_t> findHolder(const KeyTable &Table,
                                      const std::string &Key);

/// Whether keys may be accepted when the store confirmed \p ConfirmedAge ago
/// that the configuration is the newest one; empty if it never did.
bool mayTrustKeys(const RevocationBounds &Bounds,
                  std::optional<Milliseconds> ConfirmedAge);

/// Returns the rank of a request; the organisation's comes first. \p Holder is
/// null for a request without an organisation.
std::int32_t rankOf(const Organisation *Holder, std::int32_t RouteRank);

/// Regions in which a request may be served.
struct ServingRegions {
  /// Every region; Regions is empty then.
  bool IsAny = true;
  RegionList Regions;
};

/// Combines the regions of a route and of an organisation: where both state
/// some, those in common are allowed.
ServingRegions servingRegions(const RegionList &OfRoute,
                              const Organisation *Holder);

bool allows(const ServingRegions &Allowed, const Region &At);

} // namespace lycheethread::organisations

#endif // LYCHEETHREAD_ORGANISATIONS_ORGANISATIONS_H
