#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALSINK_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALSINK_H

#include "model/Model.h"

#include <functional>

namespace lycheethread::refusals {

/// Takes each refusal of this node. Thread-safe, does not block.
struct RefusalSink {
  std::function<void(const Refusal &Item)> Add;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALSINK_H
