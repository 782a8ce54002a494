#ifndef LYCHEETHREAD_CONFIGCHECK_TESTS_CONFIGFIXTURE_H
#define LYCHEETHREAD_CONFIGCHECK_TESTS_CONFIGFIXTURE_H

#include "configcheck/ConfigCheck.h"

namespace lycheethread::configcheck {

inline StatedRoute makeRoute(const std::string &Name, std::size_t Index,
                             const std::string &Service) {
  StatedRoute Rule;
  Rule.At = "listeners[0].policy[" + std::to_string(Index) + "]";
  Rule.Host = "shop.example";
  Rule.Route.Name = RouteName(Name);
  Rule.Route.Prefix = "/" + Name + "/";
  Rule.Route.Timeout = Milliseconds(800);
  Rule.Route.LatencyObjective = Milliseconds(400);
  Rule.Route.Parts = {{ServiceName(Service), 1}};
  Rule.Parts = {{Rule.At + ".action", ServiceName(Service), 1}};
  return Rule;
}

inline StatedOrganisation makeOrganisation(const std::string &Name,
                                           std::size_t Index,
                                           std::vector<std::string> Keys) {
  StatedOrganisation Holder;
  Holder.At = "tenants[" + std::to_string(Index) + "]";
  Holder.Item.Name = organisations::OrganisationId(Name);
  Holder.Item.Limit = organisations::Quota{50, 20};
  Holder.Keys = std::move(Keys);
  return Holder;
}

/// A configuration without a finding: two routes, services and organisations.
inline ParsedConfig makeConfig() {
  ParsedConfig Parsed;
  Parsed.File = "config.json";
  StatedConfig &Config = Parsed.Config;
  Config.Names = {"clusters",
                  "name",
                  "hostname",
                  "match.path_prefix",
                  "action.traffic_split",
                  "backend_service",
                  "weight",
                  "action.timeout_s",
                  "target_latency_s",
                  "action.attempts",
                  "action.allowed_regions",
                  "allowed_regions",
                  "api_keys",
                  "rate_per_s",
                  "burst",
                  "cold_per_s",
                  "cold_start_s",
                  "limits",
                  "header_timeout_s",
                  "idle_timeout_s",
                  "max_body_bytes",
                  "max_header_bytes"};
  Config.Version = mesh::ConfigVersion(7);
  Config.Listeners = {{"listeners[0]", "shop.example"}};
  Config.Routes = {makeRoute("a", 0, "x"), makeRoute("b", 1, "y")};
  for (const char *const Name : {"x", "y"}) {
    StatedService Item;
    Item.At = "clusters[" + std::to_string(Config.Services.size()) + "]";
    Item.Service.Name = ServiceName(Name);
    Item.Service.MaxConnections = 100;
    Config.Services.push_back(Item);
  }
  Config.Organisations = {makeOrganisation("north", 0, {"secret-1"}),
                          makeOrganisation("south", 1, {"secret-2"})};
  return Parsed;
}

} // namespace lycheethread::configcheck

#endif // LYCHEETHREAD_CONFIGCHECK_TESTS_CONFIGFIXTURE_H
