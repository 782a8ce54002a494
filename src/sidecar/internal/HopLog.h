#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HOPLOG_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HOPLOG_H

#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Logs why the last hop has refused or lost a request. \p Service is the mean
/// service time of the upstream.
void logHopOutcome(NodeContext &Context, const HopJob &Job,
                   const HopOutcome &Outcome, const mesh::HopQueue &Queue,
                   Milliseconds Service);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HOPLOG_H
