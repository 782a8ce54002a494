#ifndef LYCHEETHREAD_REQUESTS_REQUESTS_H
#define LYCHEETHREAD_REQUESTS_REQUESTS_H

/// Public header of the requests library: routing, limits, retries and claims,
/// as pure functions.

#include "requests/types/RoutingView.h"

namespace lycheethread::requests {

/// Joins configuration and members. Members that are draining, left or dead
/// are left out; suspects stay in when more than half of a group is suspect.
RoutingView buildRoutingView(const config::ConfigState &State,
                             const std::vector<Member> &Members,
                             const Place &Self);

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_REQUESTS_H
