#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lycheethread::mesh {

namespace {

/// Fractional part of the golden ratio, whose multiples modulo 1 are spread
/// most evenly.
constexpr double GoldenRatioStep = 0.6180339887498949;

std::string hostKey(const std::string &Host) {
  std::string Key = Host.substr(0, Host.find(':'));
  std::transform(Key.begin(), Key.end(), Key.begin(), [](unsigned char Byte) {
    return static_cast<char>(Byte >= 'A' && Byte <= 'Z' ? Byte + 32 : Byte);
  });
  return Key;
}

} // namespace

const MeshRoute *findRoute(const MeshConfig &Config, const std::string &Host,
                           const std::string &Target) {
  const auto Found = Config.Hosts.find(hostKey(Host));
  if (Found == Config.Hosts.end())
    return nullptr;
  std::string Path = Target.substr(0, Target.find('?'));
  for (;;) {
    const std::size_t Slash = Path.rfind('/');
    if (Slash == std::string::npos)
      return nullptr;
    Path.resize(Slash + 1);
    const auto Route = Found->second.find(Path);
    if (Route != Found->second.end())
      return &Route->second;
    Path.pop_back();
  }
}

Milliseconds objectiveOf(const MeshRoute &Route) {
  return Route.LatencyObjective > Milliseconds(0) ? Route.LatencyObjective
                                                  : Route.Timeout;
}

namespace {

/// Returns the rank of the least urgent requests of \p Route.
std::int32_t largestRank(const MeshConfig &Config, const MeshRoute &Route) {
  const organisations::Organisation *Last = nullptr;
  for (const organisations::Organisation &Item : Config.Organisations)
    if (Last == nullptr || Item.Rank > Last->Rank)
      Last = &Item;
  return organisations::rankOf(Route.IsPublic ? nullptr : Last, Route.Rank);
}

} // namespace

void updateLeastUrgent(MeshConfig &Config) {
  for (const auto &[Host, Routes] : Config.Hosts)
    for (const auto &[Prefix, Route] : Routes)
      for (const SplitPart &Part : Route.Parts) {
        const auto Found = Config.Services.find(Part.Service);
        if (Found == Config.Services.end())
          continue;
        MeshService &Service = Found->second;
        std::tie(Service.LeastUrgentRank, Service.LeastUrgentObjective) =
            std::max(std::pair(Service.LeastUrgentRank,
                               Service.LeastUrgentObjective),
                     std::pair(largestRank(Config, Route), objectiveOf(Route)));
      }
}

bool isServedLast(const MeshConfig &Config, const ServiceName &Service,
                  const MeshRoute &Route, std::int32_t Rank) {
  const auto Found = Config.Services.find(Service);
  return Found == Config.Services.end() ||
         std::pair(Rank, objectiveOf(Route)) >=
             std::pair(Found->second.LeastUrgentRank,
                       Found->second.LeastUrgentObjective);
}

// A golden ratio sequence from a random start: any run of its positions covers
// the interval evenly, and the starts of many nodes do so too. A round robin
// that starts in the same state on every node would send the first request of
// each to the same part.
const ServiceName *chooseService(const MeshRoute &Route, SplitState &State,
                                 std::mt19937_64 &Random) {
  if (Route.Parts.empty())
    return nullptr;
  // The sum of weights near the largest double would be infinite.
  double Largest = 0;
  for (const SplitPart &Part : Route.Parts)
    Largest = std::max(Largest, Part.Weight);
  double Total = 0;
  for (const SplitPart &Part : Route.Parts)
    Total += Part.Weight / Largest;
  if (State.Position)
    State.Position = std::fmod(*State.Position + GoldenRatioStep, 1.0);
  else
    State.Position = std::uniform_real_distribution<double>(0, 1)(Random);
  double Rest = *State.Position * Total;
  for (const SplitPart &Part : Route.Parts) {
    Rest -= Part.Weight / Largest;
    if (Rest < 0)
      return &Part.Service;
  }
  return &Route.Parts.back().Service;
}

} // namespace lycheethread::mesh
