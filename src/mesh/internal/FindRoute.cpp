#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

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

void updateLeastUrgentRanks(MeshConfig &Config) {
  for (const auto &[Host, Routes] : Config.Hosts)
    for (const auto &[Prefix, Route] : Routes)
      for (const SplitPart &Part : Route.Parts) {
        const auto Service = Config.Services.find(Part.Service);
        if (Service != Config.Services.end())
          Service->second.LeastUrgentRank =
              std::max(Service->second.LeastUrgentRank, Route.Rank);
      }
}

std::int32_t leastUrgentRank(const MeshConfig &Config,
                             const ServiceName &Service) {
  const auto Found = Config.Services.find(Service);
  return Found == Config.Services.end() ? 0 : Found->second.LeastUrgentRank;
}

const ServiceName *chooseService(const MeshRoute &Route, SplitState &State) {
  if (Route.Parts.empty())
    return nullptr;
  State.Credit.resize(Route.Parts.size(), 0);
  std::int64_t Total = 0;
  std::size_t Best = 0;
  for (std::size_t At = 0; At < Route.Parts.size(); ++At) {
    State.Credit[At] += Route.Parts[At].Weight;
    Total += Route.Parts[At].Weight;
    if (State.Credit[At] > State.Credit[Best])
      Best = At;
  }
  State.Credit[Best] -= Total;
  return &Route.Parts[Best].Service;
}

} // namespace lycheethread::mesh
