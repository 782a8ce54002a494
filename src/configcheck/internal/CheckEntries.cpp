#include "configcheck/internal/FindingSink.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace lycheethread::configcheck {

namespace {

/// The place at which each text was first stated.
using FirstPlaces = std::map<std::string, Place>;

/// Reports a name that is empty or stated before.
void checkName(FirstPlaces &Known, const std::string &Name, const Place &At,
               const std::string &Kind, const FindingSink &Sink) {
  if (Name.empty()) {
    Sink.error(At, "the name of the " + Kind + " is empty", "a name");
    return;
  }
  const auto [First, IsNew] = Known.try_emplace(Name, At);
  if (!IsNew)
    Sink.error(
        At, Kind + " \"" + Name + "\" is defined before, at " + First->second,
        "one " + Kind + " of each name");
}

void checkListeners(const StatedConfig &Config, const FindingSink &Sink) {
  FirstPlaces Hosts;
  for (const StatedListener &Listener : Config.Listeners) {
    const Place At = Listener.At + "." + Config.Names.Host;
    checkName(Hosts, Listener.Host, At, "listener", Sink);
    // The port is removed from the Host header before the look-up.
    if (Listener.Host.find(':') != std::string::npos)
      Sink.warning(At, "matches no request: a host name has no port",
                   "a host name without a port");
  }
}

void checkPrefix(FirstPlaces &Known, const StatedRoute &Rule,
                 const FieldNames &Names, const FindingSink &Sink) {
  const std::string &Prefix = Rule.Route.Prefix;
  const Place At = Rule.At + "." + Names.Prefix;
  if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/')
    Sink.error(At, "\"" + Prefix + "\" does not begin and end with a slash",
               "a prefix such as /orders/");
  // The query is removed from the target before the look-up.
  else if (Prefix.find('?') != std::string::npos)
    Sink.warning(At, "matches no request: a prefix holds no query",
                 "a prefix without a question mark");
  // A line break cannot be part of either.
  const auto [First, IsNew] = Known.try_emplace(Rule.Host + "\n" + Prefix, At);
  if (!IsNew)
    Sink.error(At,
               "\"" + Prefix + "\" of host \"" + Rule.Host +
                   "\" is defined before, at " + First->second,
               "each prefix once on a host");
}

void checkRoutes(const StatedConfig &Config, const FindingSink &Sink) {
  const FieldNames &Names = Config.Names;
  FirstPlaces Routes;
  FirstPlaces Prefixes;
  std::set<ServiceName> Services;
  for (const StatedService &Item : Config.Services)
    Services.insert(Item.Service.Name);
  if (Services.empty() && !Config.Routes.empty())
    Sink.error(Names.Services,
               "no service is defined, so no route can be served",
               "the services of all routes");
  for (const StatedRoute &Rule : Config.Routes) {
    checkName(Routes, Rule.Route.Name.str(), Rule.At + "." + Names.Name,
              "route", Sink);
    checkPrefix(Prefixes, Rule, Names, Sink);
    for (const StatedPart &Part : Rule.Parts)
      if (!Services.empty() && Services.count(Part.Service) == 0 &&
          (Part.Weight > 0 || !Part.Service.empty()))
        Sink.error(Part.At + "." + Names.Service,
                   "\"" + Part.Service.str() + "\" is not in " + Names.Services,
                   "the name of a cluster");
    if (Rule.Parts.empty())
      Sink.warning(Rule.At + "." + Names.Parts,
                   "the route serves nothing: it has no parts",
                   "one part or more");
  }
}

void checkServices(const StatedConfig &Config, const FindingSink &Sink) {
  FirstPlaces Names;
  for (const StatedService &Item : Config.Services)
    checkName(Names, Item.Service.Name.str(), Item.At + "." + Config.Names.Name,
              "service", Sink);
}

/// Whether a header can carry \p Key; spaces around a value are not part of it.
bool canBeSent(const std::string &Key) {
  const auto IsSpace = [](unsigned char Byte) {
    return std::isspace(Byte) != 0;
  };
  return !Key.empty() && !IsSpace(static_cast<unsigned char>(Key.front())) &&
         !IsSpace(static_cast<unsigned char>(Key.back())) &&
         std::none_of(Key.begin(), Key.end(), [](unsigned char Byte) {
           return std::iscntrl(Byte) != 0;
         });
}

void checkKeys(FirstPlaces &Known, const StatedOrganisation &Holder,
               const FieldNames &Names, const FindingSink &Sink) {
  const Place List = Holder.At + "." + Names.Keys;
  if (Holder.Keys.empty())
    Sink.warning(List,
                 "organisation \"" + Holder.Item.Name.str() +
                     "\" has no keys, so no request can be its own",
                 "one key or more");
  for (std::size_t Index = 0; Index < Holder.Keys.size(); ++Index) {
    const Place At = List + "[" + std::to_string(Index) + "]";
    if (!canBeSent(Holder.Keys[Index])) {
      Sink.warning(At,
                   "the key matches no request: a header cannot carry it, or "
                   "not whole",
                   "text without control characters and without spaces around "
                   "it");
      continue;
    }
    const auto [First, IsNew] = Known.try_emplace(Holder.Keys[Index], At);
    if (!IsNew)
      Sink.error(At, "the key is held before, at " + First->second,
                 "each key once");
  }
}

void checkOrganisations(const StatedConfig &Config, const FindingSink &Sink) {
  FirstPlaces Names;
  FirstPlaces Keys;
  for (const StatedOrganisation &Holder : Config.Organisations) {
    checkName(Names, Holder.Item.Name.str(),
              Holder.At + "." + Config.Names.Name, "organisation", Sink);
    checkKeys(Keys, Holder, Config.Names, Sink);
  }
}

} // namespace

void checkEntries(const StatedConfig &Config, const FindingSink &Sink) {
  checkListeners(Config, Sink);
  checkRoutes(Config, Sink);
  checkServices(Config, Sink);
  checkOrganisations(Config, Sink);
}

} // namespace lycheethread::configcheck
