#ifndef LYCHEETHREAD_REQUESTS_TYPES_CRASHSUSPECTS_H
#define LYCHEETHREAD_REQUESTS_TYPES_CRASHSUSPECTS_H

#include "model/Model.h"

#include <cstddef>
#include <map>

namespace lycheethread::requests {

/// Digest of the method, the route, and the body digest or idempotency key.
using Fingerprint = StrongId<struct FingerprintTag>;
/// Identifies one crash of one upstream.
using CrashId = StrongId<struct CrashIdTag>;

/// Weight of one crash in the decision to quarantine a fingerprint.
enum class SuspectWeight {
  /// The crashed upstream has answered the same request within
  /// QuarantineDuration.
  Answered = 1,
  NeverAnswered = 2,
};

/// A crash during which a request with the fingerprint was in progress.
struct SuspectCrash {
  /// Time at which the report reached this node.
  SteadyTime At;
  SuspectWeight Weight = SuspectWeight::NeverAnswered;
};

struct Suspect {
  std::map<CrashId, SuspectCrash> Crashes;
};

struct SuspectTable {
  std::map<Fingerprint, Suspect> Suspects;
};

/// Fingerprints that one upstream has answered, with the time of the last
/// answer.
struct AnsweredTable {
  std::map<Fingerprint, SteadyTime> Last;
};

inline constexpr Milliseconds QuarantineDuration{600000};
/// Reached by two crashes of a request that was never answered, or by four of a
/// request that was. A page that all callers read is in progress at most
/// crashes and must not be quarantined together with the request that caused
/// two of them. A request that crashes only sometimes is still quarantined
/// after four.
inline constexpr int QuarantineWeight = 4;
inline constexpr std::size_t MaxCrashesPerSuspect = 4;
inline constexpr std::size_t MaxSuspects = 4096;
inline constexpr std::size_t MaxAnswered = 4096;

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_CRASHSUSPECTS_H
