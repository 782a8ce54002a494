#ifndef LYCHEETHREAD_MESH_TYPES_CHECKIN_H
#define LYCHEETHREAD_MESH_TYPES_CHECKIN_H

#include "mesh/types/NodeReport.h"

#include <map>
#include <optional>

namespace lycheethread::mesh {

/// Registration message of an upstream to the node beside it.
struct CheckIn {
  Upstream From;
  Endpoint Address;
  /// Grows with each check-in of one upstream process.
  Sequence Number;
};

/// Records that upstream processes with a given id have left.
struct DepartedUpstream {
  /// Processes that started at or before this Unix time in ms have left.
  std::int64_t StartedUpTo = 0;
  /// End of the record; no end when the start time of the process was known
  /// from its registration.
  std::optional<SteadyTime> Until;
};

/// The upstream beside this node.
struct Registration {
  Upstream Current;
  Endpoint Address;
  Sequence Number;
  SteadyTime HeardAt;
  /// Processes that have left, by id, so that one of their late check-ins does
  /// not register them again.
  std::map<UpstreamId, DepartedUpstream> Left;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_CHECKIN_H
