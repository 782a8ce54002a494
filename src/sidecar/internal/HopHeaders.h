#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HOPHEADERS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HOPHEADERS_H

#include "sidecar/internal/HopJob.h"

namespace lycheethread::sidecar {

/// Headers that are exchanged only between nodes.
inline const std::string HopInfoName = "lt-hop";
inline const std::string HopLoadName = "lt-load";
inline const std::string HopRefusalName = "lt-refusal";

/// Points in time are sent as the time left at \p Now.
std::string encodeInfo(const HopInfo &Info, SteadyTime Now);
std::optional<HopInfo> decodeInfo(const std::string &Text, SteadyTime Now);

std::string encodeLoad(const mesh::LoadReport &Load);
std::optional<mesh::LoadReport> decodeLoad(const std::string &Text);

/// Encodes the outcome of an attempt that was not answered.
std::string encodeRefusal(const HopOutcome &Outcome);
std::optional<HopOutcome> decodeRefusal(const std::string &Text);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HOPHEADERS_H
