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

/// Records that upstream processes with a given id are leaving or have left.
struct DepartedUpstream {
  /// Processes that started at or before this Unix time in ms are meant.
  std::int64_t StartedUpTo = 0;
  /// From this time on, check-ins of these processes are accepted again. Empty
  /// if they never are: the process was registered here, so its start time is
  /// known and cannot be confused with that of a new process.
  std::optional<SteadyTime> Until;
  /// The store holds it, so that it outlasts a loss of all nodes.
  bool IsRecorded = false;
};

/// A departure as the store holds it.
struct Departure {
  UpstreamId Id;
  std::int64_t StartedUpTo = 0;
  /// StartedUpTo is the start of a process that was registered, and not the
  /// time of a message about a process that was not.
  bool IsStartKnown = false;
};

/// The check-ins of a process that may have left before this node was started.
struct UnverifiedCheckIns {
  std::optional<CheckIn> Newest;
  Sequence FirstNumber;
  SteadyTime FirstAt;
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
