#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMREQUEST_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMREQUEST_H

#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Returns the request as it is sent to the upstream beside this node.
ClientRequest makeUpstreamRequest(const NodeContext &Context,
                                  const HopJob &From);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMREQUEST_H
