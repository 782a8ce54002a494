#include "requests/Requests.h"

#include <string>

namespace lycheethread::requests {

namespace {

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

bool hasPrefix(std::string_view Path, std::string_view Prefix) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Prefix.empty() ||
         Prefix.back() == '/' || Path[Prefix.size()] == '/';
}

} // namespace

RouteMatch findRoute(const RoutingView &View, std::string_view Host,
                     std::string_view Target) {
  RouteMatch Match;
  const auto It =
      View.Services.find(ServiceName(std::string(withoutPort(Host))));
  if (It == View.Services.end())
    return Match;
  Match.Name = &It->first;
  Match.Service = &It->second;
  const std::string_view Path = Target.substr(0, Target.find('?'));
  for (const Route &Item : It->second.Routes) {
    if (!hasPrefix(Path, Item.Path))
      continue;
    Match.Found = &Item;
    break;
  }
  return Match;
}

} // namespace lycheethread::requests
