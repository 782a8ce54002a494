#ifndef LYCHEETHREAD_QUOTA_TYPES_OWNERCANDIDATE_H
#define LYCHEETHREAD_QUOTA_TYPES_OWNERCANDIDATE_H

#include "model/Model.h"

#include <cstdint>
#include <vector>

namespace lycheethread::quota {

/// A node that may own a quota, as one node sees it.
struct OwnerCandidate {
  NodeId Id;
  bool IsSelf = false;
  /// Time since the node was heard of.
  Milliseconds SilentFor{0};
  /// This entry's asks to it have not been answered, and it has not been heard
  /// of since.
  bool IsUnresponsive = false;
};

/// The nodes among which the owners are chosen.
struct OwnerMembers {
  std::vector<NodeId> Ids;
  /// Grows with each change of Ids.
  std::int64_t Version = 0;
};

} // namespace lycheethread::quota

#endif // LYCHEETHREAD_QUOTA_TYPES_OWNERCANDIDATE_H
