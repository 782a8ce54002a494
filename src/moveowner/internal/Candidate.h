#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_CANDIDATE_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_CANDIDATE_H

#include "model/Model.h"

#include <optional>
#include <vector>

namespace lycheethread::moveowner {

/// Returns the ready member of \p Service that is first in rendezvous order, or
/// nothing when there is none.
std::optional<Member> firstCandidate(const std::vector<Member> &Members,
                                     const ServiceName &Service);

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_CANDIDATE_H
