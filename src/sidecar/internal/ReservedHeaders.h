#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_RESERVEDHEADERS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_RESERVEDHEADERS_H

#include "sidecar/internal/HopJob.h"
#include "sidecar/types/PlatformProtocol.h"

namespace lycheethread::sidecar {

/// Removes the headers that callers may not set: those that the node sets
/// itself, those that only nodes exchange and those that must not go on.
void removeReservedHeaders(const HeaderNames &Names, const HopInfo &Info,
                           Poco::Net::HTTPRequest &Head);

/// Sets each header that an upstream expects from its node, and removes the
/// other reserved ones.
void setUpstreamHeaders(const HeaderNames &Names, const HopInfo &Info,
                        const mesh::UpstreamId &To, SteadyTime Now,
                        Poco::Net::HTTPRequest &Head);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_RESERVEDHEADERS_H
