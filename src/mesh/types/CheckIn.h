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
  /// From this time on, check-ins of these processes are accepted again. Empty
  /// if they never are: the process was registered here, so its start time is
  /// known and cannot be confused with that of a new process.
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
