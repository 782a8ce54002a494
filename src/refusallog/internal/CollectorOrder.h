#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTORORDER_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTORORDER_H

#include "model/Model.h"

#include <vector>

namespace lycheethread::refusallog {

/// Ready members of \p At in the order in which they are asked to collect; the
/// same on every node that sees the same members.
std::vector<Member> collectorOrder(const std::vector<Member> &Members,
                                   const Location &At);

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTORORDER_H
