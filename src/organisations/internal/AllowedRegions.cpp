#include "organisations/Organisations.h"

#include <algorithm>
#include <iterator>

namespace lycheethread::organisations {

namespace {

bool contains(const RegionList &List, const Region &Item) {
  return std::find(List.begin(), List.end(), Item) != List.end();
}

} // namespace

ServingRegions servingRegions(const RegionList &OfRoute,
                              const Organisation *Holder) {
  const RegionList None;
  const RegionList &OfHolder =
      Holder == nullptr ? None : Holder->AllowedRegions;
  if (OfRoute.empty() && OfHolder.empty())
    return {};
  if (OfRoute.empty() || OfHolder.empty())
    return {false, OfRoute.empty() ? OfHolder : OfRoute};
  ServingRegions Common{false, {}};
  std::copy_if(OfRoute.begin(), OfRoute.end(),
               std::back_inserter(Common.Regions),
               [&](const Region &Item) { return contains(OfHolder, Item); });
  return Common;
}

bool allows(const ServingRegions &Allowed, const Region &At) {
  return Allowed.IsAny || contains(Allowed.Regions, At);
}

} // namespace lycheethread::organisations
