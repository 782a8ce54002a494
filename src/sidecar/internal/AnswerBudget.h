#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_ANSWERBUDGET_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_ANSWERBUDGET_H

#include <cstddef>

namespace lycheethread::sidecar {

/// Memory that the connections of a node may use together for answers that are
/// held until they are complete.
struct AnswerBudget {
  std::size_t MaxBytes = 2 * 1024 * 1024;
  std::size_t HeldBytes = 0;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_ANSWERBUDGET_H
