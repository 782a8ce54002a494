#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALSINK_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALSINK_H

#include "model/Model.h"

#include <functional>

namespace lycheethread::refusals {

/// Receives each refusal of this node. Add is thread-safe and does not block.
struct RefusalSink {
  std::function<void(const Refusal &Item)> Add;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALSINK_H
