#include "sidecar/internal/Allotments.h"

namespace lycheethread::sidecar {

std::string Allotments::exposition() const {
  // In the order in which the accounts were added, so that an organisation
  // that is added later does not move another one to the sum of the others.
  std::vector<metrics::QuotaUse> Uses(Accounts_.size());
  for (const auto &[Name, Item] : Accounts_)
    Uses[Item.Place] = {Name, Item.Counts, Item.Owner == Context_.Settings.Id};
  return metrics::quotaExposition(Uses);
}

} // namespace lycheethread::sidecar
