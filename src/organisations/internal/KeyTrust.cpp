#include "organisations/Organisations.h"

#include <algorithm>

namespace lycheethread::organisations {

namespace {

/// A confirmation travels through other nodes as an age, which does not count
/// the time in the network and in the sockets of busy nodes.
constexpr Milliseconds TransitMargin{750};

} // namespace

bool mayTrustKeys(const RevocationBounds &Bounds,
                  std::optional<Milliseconds> ConfirmedAge) {
  if (!Bounds.IsStrict)
    return true;
  const Milliseconds Longest =
      std::max(Bounds.Longest - TransitMargin, Bounds.Longest / 2);
  return ConfirmedAge && *ConfirmedAge < Longest;
}

} // namespace lycheethread::organisations
