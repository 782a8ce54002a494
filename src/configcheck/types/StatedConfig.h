#ifndef LYCHEETHREAD_CONFIGCHECK_TYPES_STATEDCONFIG_H
#define LYCHEETHREAD_CONFIGCHECK_TYPES_STATEDCONFIG_H

#include "mesh/types/MeshConfig.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheethread::configcheck {

/// Path of a value in the text, such as "listeners[0].policy[3].action".
using Place = std::string;

/// The fields of the text as places and problems name them, relative to the
/// place of their entry. The reader of the text states them.
struct FieldNames {
  std::string Services;
  std::string Name;
  std::string Host;
  std::string Prefix;
  std::string Parts;
  std::string Service;
  std::string Weight;
  std::string Timeout;
  std::string Objective;
  std::string Attempts;
  std::string RouteRegions;
  std::string OrganisationRegions;
  std::string Keys;
  std::string Rate;
  std::string Burst;
  std::string ColdRate;
  std::string ColdTime;
  std::string Limits;
  std::string HeadTimeout;
  std::string IdleTimeout;
  std::string MaxBodyBytes;
  std::string MaxHeadBytes;
};

struct StatedPart {
  Place At;
  ServiceName Service;
  /// A part with weight 0 gets no requests.
  double Weight = 1;
};

struct StatedRoute {
  Place At;
  /// Host name in lower case.
  std::string Host;
  /// What a node makes of it.
  mesh::MeshRoute Route;
  /// All parts, also those with weight 0.
  std::vector<StatedPart> Parts;
  std::optional<std::int32_t> Attempts;
};

struct StatedListener {
  Place At;
  /// In lower case.
  std::string Host;
};

struct StatedService {
  Place At;
  mesh::MeshService Service;
  /// How long an upstream is cold, in s; empty if that is not stated.
  std::optional<double> ColdStart;
};

struct StatedOrganisation {
  Place At;
  organisations::Organisation Item;
  std::vector<std::string> Keys;
};

/// A configuration in the order and with the repetitions of its text.
struct StatedConfig {
  FieldNames Names;
  mesh::ConfigVersion Version;
  mesh::CallerLimits Limits;
  std::vector<StatedListener> Listeners;
  std::vector<StatedRoute> Routes;
  std::vector<StatedService> Services;
  std::vector<StatedOrganisation> Organisations;
};

} // namespace lycheethread::configcheck

#endif // LYCHEETHREAD_CONFIGCHECK_TYPES_STATEDCONFIG_H
