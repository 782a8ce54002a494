#include "configcheck/internal/FindingSink.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace lycheethread::configcheck {

namespace {

using Differences = std::vector<Difference>;

const std::string Added = "added";
const std::string Removed = "removed";

std::string textOf(double Number) {
  // Rounds off the error of a quotient.
  constexpr int Digits = 12;
  std::ostringstream Out;
  Out << std::setprecision(Digits) << Number;
  return Out.str();
}

std::string textOf(Milliseconds Time) {
  return std::to_string(Time.count()) + " ms";
}

std::string textOf(const organisations::RegionList &Regions) {
  const std::set<Region> Sorted(Regions.begin(), Regions.end());
  std::string Text;
  for (const Region &Item : Sorted)
    Text += (Text.empty() ? "" : ", ") + Item.str();
  return Text.empty() ? "any" : Text;
}

std::string textOf(RequestClass Class) {
  switch (Class) {
  case RequestClass::Repeatable:
    return "idempotent";
  case RequestClass::OnceOnly:
    return "non_idempotent";
  case RequestClass::Upload:
    break;
  }
  return "upload";
}

/// Collects the differences of one entry.
struct EntryDifferences {
  std::string Subject;
  Differences &Into;

  void add(const std::string &Field, const std::string &From,
           const std::string &To) const {
    if (From != To)
      Into.push_back({Subject, Field, From, To});
  }
};

/// Compares the entries of two maps; \p Describe gives the text of a whole
/// entry, \p Compare adds the differences between two of them.
template <typename Map, typename DescribeEntry, typename CompareEntries>
void compareMaps(const std::string &Kind, const Map &From, const Map &To,
                 DescribeEntry Describe, CompareEntries Compare,
                 Differences &Into) {
  for (const auto &[Name, Old] : From)
    if (To.count(Name) == 0)
      Into.push_back({Kind + " " + Name, Removed, Describe(*Old), ""});
  for (const auto &[Name, New] : To) {
    const auto Old = From.find(Name);
    if (Old == From.end())
      Into.push_back({Kind + " " + Name, Added, "", Describe(*New)});
    else
      Compare(*Old->second, *New, EntryDifferences{Kind + " " + Name, Into});
  }
}

/// Weights by service.
using Weights = std::map<ServiceName, double>;

/// Returns the largest number of which both are multiples but for rounding, by
/// Euclid's algorithm.
double commonUnit(double First, double Second) {
  constexpr double MaxError = 1e-12;
  const double Allowed = MaxError * std::max(First, Second);
  while (Second > Allowed) {
    const double Rest = std::fmod(First, Second);
    First = std::exchange(Second, Second - Rest > Allowed ? Rest : 0);
  }
  return First;
}

/// Returns the weights in their lowest terms, since only their ratio counts.
Weights weightsOf(const mesh::MeshRoute &Route) {
  // The sum of weights near the largest double would be infinite. A power of
  // two changes no other digit.
  constexpr double MaxSummed = 0x1p1000;
  double Scale = 1;
  for (const mesh::SplitPart &Part : Route.Parts)
    if (Part.Weight > MaxSummed)
      Scale = 1 / MaxSummed;
  Weights Found;
  for (const mesh::SplitPart &Part : Route.Parts)
    Found[Part.Service] += Part.Weight * Scale;
  double Unit = 0;
  for (const auto &[Service, Weight] : Found)
    Unit = commonUnit(std::max(Unit, Weight), std::min(Unit, Weight));
  for (auto &[Service, Weight] : Found)
    Weight /= Unit;
  return Found;
}

std::string servicesText(const Weights &Of) {
  std::string Text;
  for (const auto &[Service, Weight] : Of)
    Text += (Text.empty() ? "" : ", ") + Service.str();
  return Text.empty() ? "none" : Text;
}

std::string weightsText(const Weights &Of) {
  std::string Text;
  for (const auto &[Service, Weight] : Of)
    Text += (Text.empty() ? "" : ", ") + Service.str() + " " + textOf(Weight);
  return Text;
}

using RouteMap = std::map<std::string, const StatedRoute *>;

/// Of routes with the same name, nodes use all; those after the first are told
/// apart by their prefix.
RouteMap routesOf(const StatedConfig &Config) {
  RouteMap Found;
  for (const StatedRoute &Rule : Config.Routes)
    if (!Found.try_emplace(Rule.Route.Name.str(), &Rule).second)
      Found[Rule.Route.Name.str() + " at " + Rule.Host + Rule.Route.Prefix] =
          &Rule;
  return Found;
}

std::string describeRoute(const StatedRoute &Rule) {
  return Rule.Host + Rule.Route.Prefix + " to " +
         servicesText(weightsOf(Rule.Route));
}

void compareRoutes(const StatedRoute &From, const StatedRoute &To,
                   const EntryDifferences &Entry) {
  const mesh::MeshRoute &Old = From.Route;
  const mesh::MeshRoute &New = To.Route;
  Entry.add("match", From.Host + Old.Prefix, To.Host + New.Prefix);
  Entry.add("type", textOf(Old.Class), textOf(New.Class));
  const Weights OldWeights = weightsOf(Old);
  const Weights NewWeights = weightsOf(New);
  const bool IsMoved = servicesText(OldWeights) != servicesText(NewWeights);
  Entry.add("service", servicesText(OldWeights), servicesText(NewWeights));
  // With one service on each side, the weights say nothing more.
  if (!IsMoved || OldWeights.size() > 1 || NewWeights.size() > 1)
    Entry.add("weights", weightsText(OldWeights), weightsText(NewWeights));
  Entry.add("timeout", textOf(Old.Timeout), textOf(New.Timeout));
  Entry.add("attempts", std::to_string(Old.MaxAttempts),
            std::to_string(New.MaxAttempts));
  Entry.add("objective", textOf(Old.LatencyObjective),
            textOf(New.LatencyObjective));
  Entry.add("priority", std::to_string(Old.Rank), std::to_string(New.Rank));
  Entry.add("public", Old.IsPublic ? "yes" : "no", New.IsPublic ? "yes" : "no");
  Entry.add("allowed regions", textOf(Old.AllowedRegions),
            textOf(New.AllowedRegions));
}

using ServiceMap = std::map<std::string, const StatedService *>;

ServiceMap servicesOf(const StatedConfig &Config) {
  ServiceMap Found;
  for (const StatedService &Item : Config.Services)
    Found[Item.Service.Name.str()] = &Item;
  return Found;
}

std::string describeService(const StatedService &Item) {
  return std::to_string(Item.Service.MaxConnections) + " connections";
}

void compareServices(const StatedService &From, const StatedService &To,
                     const EntryDifferences &Entry) {
  const auto OrNone = [](const std::optional<double> &Value) {
    return Value ? textOf(*Value) : std::string("none");
  };
  Entry.add("connections", std::to_string(From.Service.MaxConnections),
            std::to_string(To.Service.MaxConnections));
  Entry.add("cold requests per s", OrNone(From.Service.ColdPerSecond),
            OrNone(To.Service.ColdPerSecond));
  Entry.add("health path", From.Service.HealthPath, To.Service.HealthPath);
  Entry.add("cold start in s", OrNone(From.ColdStart), OrNone(To.ColdStart));
}

using OrganisationMap = std::map<std::string, const StatedOrganisation *>;

OrganisationMap organisationsOf(const StatedConfig &Config) {
  OrganisationMap Found;
  for (const StatedOrganisation &Holder : Config.Organisations)
    Found[Holder.Item.Name.str()] = &Holder;
  return Found;
}

std::string quotaText(const StatedOrganisation &Holder) {
  if (!Holder.Item.Limit)
    return "none";
  return textOf(Holder.Item.Limit->PerSecond) + " per s, burst " +
         textOf(Holder.Item.Limit->Burst);
}

std::set<std::string> keysOf(const StatedOrganisation &Holder) {
  return {Holder.Keys.begin(), Holder.Keys.end()};
}

std::string keyCountText(std::size_t Count) {
  return std::to_string(Count) + (Count == 1 ? " key" : " keys");
}

std::string describeOrganisation(const StatedOrganisation &Holder) {
  return keyCountText(keysOf(Holder).size()) + ", quota " + quotaText(Holder);
}

/// Returns how many keys \p Of has that \p Other has not.
std::size_t countMissing(const std::set<std::string> &Of,
                         const std::set<std::string> &Other) {
  return static_cast<std::size_t>(
      std::count_if(Of.begin(), Of.end(), [&](const std::string &Key) {
        return Other.count(Key) == 0;
      }));
}

void compareOrganisations(const StatedOrganisation &From,
                          const StatedOrganisation &To,
                          const EntryDifferences &Entry) {
  const auto Old = keysOf(From);
  const auto New = keysOf(To);
  const std::size_t AddedKeys = countMissing(New, Old);
  const std::size_t RemovedKeys = countMissing(Old, New);
  if (AddedKeys + RemovedKeys > 0)
    Entry.add("keys", keyCountText(Old.size()),
              keyCountText(New.size()) + " (" + std::to_string(AddedKeys) +
                  " added, " + std::to_string(RemovedKeys) + " removed)");
  Entry.add("quota", quotaText(From), quotaText(To));
  Entry.add("priority", std::to_string(From.Item.Rank),
            std::to_string(To.Item.Rank));
  Entry.add("allowed regions", textOf(From.Item.AllowedRegions),
            textOf(To.Item.AllowedRegions));
}

void compareLimits(const mesh::CallerLimits &From, const mesh::CallerLimits &To,
                   Differences &Into) {
  const EntryDifferences Entry{"limits", Into};
  Entry.add("max_header_bytes", std::to_string(From.MaxHeadBytes),
            std::to_string(To.MaxHeadBytes));
  Entry.add("max_body_bytes", std::to_string(From.MaxBodyBytes),
            std::to_string(To.MaxBodyBytes));
  Entry.add("header_timeout", textOf(From.HeadTimeout), textOf(To.HeadTimeout));
  Entry.add("idle_timeout", textOf(From.IdleTimeout), textOf(To.IdleTimeout));
}

} // namespace

Comparison compare(const ParsedConfig &Next, const ParsedConfig &InForce) {
  Comparison Result;
  const StatedConfig &From = InForce.Config;
  const StatedConfig &To = Next.Config;
  const auto Name = [](const StatedConfig &Of) {
    return "r" + std::to_string(Of.Version.value());
  };
  if (!(From.Version < To.Version))
    Result.Errors.push_back(
        {Next.File, lineOf(Next, "version"), "version",
         Name(To) + " is not above " + Name(From) + " of " + InForce.File +
             ", so nodes do not take it",
         "r" + std::to_string(From.Version.value() + 1) + " or more"});
  Differences &Into = Result.Differences;
  EntryDifferences{"configuration", Into}.add("version", Name(From), Name(To));
  compareLimits(From.Limits, To.Limits, Into);
  compareMaps("route", routesOf(From), routesOf(To), describeRoute,
              compareRoutes, Into);
  compareMaps("service", servicesOf(From), servicesOf(To), describeService,
              compareServices, Into);
  compareMaps("organisation", organisationsOf(From), organisationsOf(To),
              describeOrganisation, compareOrganisations, Into);
  return Result;
}

std::string toString(const Difference &Item) {
  const std::string Start = Item.Subject + ": " + Item.Field + ": ";
  if (Item.Field == Added)
    return inOneLine(Start + Item.To);
  if (Item.Field == Removed)
    return inOneLine(Start + Item.From);
  return inOneLine(Start + Item.From + " -> " + Item.To);
}

} // namespace lycheethread::configcheck
