#include "configcheck/ConfigCheck.h"

#include <utility>

namespace lycheethread::configcheck {

mesh::MeshConfig meshConfigOf(StatedConfig Stated) {
  mesh::MeshConfig Config;
  Config.Version = Stated.Version;
  Config.Limits = Stated.Limits;
  for (const StatedListener &Listener : Stated.Listeners)
    Config.Hosts[Listener.Host];
  for (StatedRoute &Rule : Stated.Routes) {
    const std::string Prefix = Rule.Route.Prefix;
    Config.Hosts[Rule.Host][Prefix] = std::move(Rule.Route);
  }
  for (const StatedService &Item : Stated.Services)
    Config.Services[Item.Service.Name] = Item.Service;
  for (StatedOrganisation &Holder : Stated.Organisations) {
    for (std::string &Key : Holder.Keys)
      Config.StatedKeys.push_back(
          {std::move(Key), Config.Organisations.size()});
    Config.Organisations.push_back(std::move(Holder.Item));
  }
  return Config;
}

} // namespace lycheethread::configcheck
