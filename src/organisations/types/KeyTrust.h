#ifndef LYCHEETHREAD_ORGANISATIONS_TYPES_KEYTRUST_H
#define LYCHEETHREAD_ORGANISATIONS_TYPES_KEYTRUST_H

#include "model/Model.h"

namespace lycheethread::organisations {

/// How long a revoked key may still be accepted.
struct RevocationBounds {
  /// The limit holds on every node, also on one that hears of nothing.
  bool IsStrict = false;
  /// Time from the acknowledgement of a configuration without the key.
  Milliseconds Longest{5000};
};

} // namespace lycheethread::organisations

#endif // LYCHEETHREAD_ORGANISATIONS_TYPES_KEYTRUST_H
