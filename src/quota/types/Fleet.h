#ifndef LYCHEETHREAD_QUOTA_TYPES_FLEET_H
#define LYCHEETHREAD_QUOTA_TYPES_FLEET_H

#include "model/Model.h"

#include <cstddef>

namespace lycheethread::quota {

/// The nodes that may use a quota, as one node sees them. Both counts include
/// that node.
struct Fleet {
  /// Nodes known in the last minute, also silent ones.
  std::size_t Known = 1;
  /// Those heard of within heardWindow().
  std::size_t Heard = 1;
};

/// The heard window among few nodes.
inline constexpr Milliseconds MinHeardWindow{3000};

/// Times that follow from the bounds of the operator.
struct QuotaTimes {
  /// Time from asking for a permit until it expires.
  Milliseconds Lifetime{500};
  /// Time within which a node counts as heard of.
  Milliseconds HeardWindow = MinHeardWindow;
};

} // namespace lycheethread::quota

#endif // LYCHEETHREAD_QUOTA_TYPES_FLEET_H
