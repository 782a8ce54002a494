#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTORORDER_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTORORDER_H

#include "model/Model.h"

#include <vector>

namespace lycheethread::refusallog {

/// Returns the ready members in the zone of \p At in the order in which they
/// are tried as collectors. The order is the same on every node with the same
/// list of members.
std::vector<Member> collectorOrder(const std::vector<Member> &Members,
                                   const Location &At);

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTORORDER_H
