#ifndef LYCHEETHREAD_REQUESTS_TYPES_CRASHSUSPECTS_H
#define LYCHEETHREAD_REQUESTS_TYPES_CRASHSUSPECTS_H

#include "model/Model.h"

#include <cstddef>
#include <map>

namespace lycheethread::requests {

/// Digest of method, route and body digest or key.
using Fingerprint = StrongId<struct FingerprintTag>;
/// One crash of one upstream.
using CrashId = StrongId<struct CrashIdTag>;

struct Suspect {
  /// When each crash was reported here.
  std::map<CrashId, SteadyTime> Crashes;
};

struct SuspectTable {
  std::map<Fingerprint, Suspect> Suspects;
};

inline constexpr Milliseconds QuarantineLength{600000};
inline constexpr std::size_t CrashesForQuarantine = 2;
inline constexpr std::size_t MaxSuspects = 4096;

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_CRASHSUSPECTS_H
