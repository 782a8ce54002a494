#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HOPHEADERS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HOPHEADERS_H

#include "sidecar/internal/HopJob.h"

namespace lycheethread::sidecar {

/// Headers that are exchanged only between nodes.
inline const std::string HopInfoName = "lt-hop";
inline const std::string HopLoadName = "lt-load";
inline const std::string HopRefusalName = "lt-refusal";
/// In answers: the limit of the upstream, beside lt-load.
inline const std::string HopLimitName = "lt-limit";
/// In requests: the limit that the upstream stated in an answer which the
/// entry has passed on. A last hop that was restarted learns of it so.
inline const std::string HopStatedName = "lt-stated-limit";

/// Points in time are sent as the time left at \p Now.
std::string encodeInfo(const HopInfo &Info, SteadyTime Now);
std::optional<HopInfo> decodeInfo(const std::string &Text, SteadyTime Now);

std::string encodeLoad(const mesh::LoadReport &Load);
std::optional<mesh::LoadReport> decodeLoad(const std::string &Text);

/// Encodes the limit in \p Load, which must have one.
std::string encodeLimit(const mesh::LoadReport &Load);
/// Reads the limit into \p Load; does nothing if \p Text is malformed.
void decodeLimit(const std::string &Text, mesh::LoadReport &Load);

std::string encodeStated(const StatedLimit &Limit);
std::optional<StatedLimit> decodeStated(const std::string &Text);

/// Encodes the outcome of an attempt that was not answered.
std::string encodeRefusal(const HopOutcome &Outcome);
std::optional<HopOutcome> decodeRefusal(const std::string &Text);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HOPHEADERS_H
