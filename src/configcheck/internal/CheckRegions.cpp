#include "configcheck/internal/FindingSink.h"

#include <algorithm>

namespace lycheethread::configcheck {

namespace {

void checkKnown(const organisations::RegionList &Stated, const Place &At,
                const std::set<Region> &Regions, const FindingSink &Sink) {
  std::string All;
  for (const Region &Item : Regions)
    All += (All.empty() ? "" : ", ") + Item.str();
  for (std::size_t Index = 0; Index < Stated.size(); ++Index)
    if (Regions.count(Stated[Index]) == 0)
      Sink.warning(At + "[" + std::to_string(Index) + "]",
                   "no availability zone is in region \"" +
                       Stated[Index].str() + "\"",
                   All);
}

/// Whether no organisation can use the route, since each allows other regions.
bool excludesAll(const StatedConfig &Config, const mesh::MeshRoute &Route) {
  return !Route.IsPublic && !Config.Organisations.empty() &&
         std::all_of(Config.Organisations.begin(), Config.Organisations.end(),
                     [&](const StatedOrganisation &Holder) {
                       const auto Allowed = organisations::servingRegions(
                           Route.AllowedRegions, &Holder.Item);
                       return !Allowed.IsAny && Allowed.Regions.empty();
                     });
}

} // namespace

void checkRegions(const StatedConfig &Config, const KnownRegions &Regions,
                  const FindingSink &Sink) {
  for (const StatedRoute &Rule : Config.Routes) {
    const Place At = Rule.At + "." + Config.Names.RouteRegions;
    if (excludesAll(Config, Rule.Route))
      Sink.warning(At,
                   "no organisation can use the route: none allows one of "
                   "these regions",
                   "a region that an organisation allows");
    if (Regions)
      checkKnown(Rule.Route.AllowedRegions, At, *Regions, Sink);
  }
  if (Regions)
    for (const StatedOrganisation &Holder : Config.Organisations)
      checkKnown(Holder.Item.AllowedRegions,
                 Holder.At + "." + Config.Names.OrganisationRegions, *Regions,
                 Sink);
}

} // namespace lycheethread::configcheck
