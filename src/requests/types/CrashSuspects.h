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

/// How much one crash counts against a fingerprint.
enum class SuspectWeight {
  /// The crashed upstream has answered the same request lately.
  Answered = 1,
  NeverAnswered = 2,
};

/// One crash at which a fingerprint was in progress.
struct SuspectCrash {
  /// When it was reported here.
  SteadyTime At;
  SuspectWeight Weight = SuspectWeight::NeverAnswered;
};

struct Suspect {
  std::map<CrashId, SuspectCrash> Crashes;
};

struct SuspectTable {
  std::map<Fingerprint, Suspect> Suspects;
};

/// Requests that one upstream answered, with the time of the last answer.
struct AnsweredTable {
  std::map<Fingerprint, SteadyTime> Last;
};

inline constexpr Milliseconds QuarantineDuration{600000};
/// Two crashes of a request that was never answered, four of one that was: a
/// page that all callers read is in progress at most crashes, and must not be
/// quarantined with the request that caused two of them. A request that is
/// answered at times still stops after four.
inline constexpr int QuarantineWeight = 4;
inline constexpr std::size_t MaxCrashesPerSuspect = 4;
inline constexpr std::size_t MaxSuspects = 4096;
inline constexpr std::size_t MaxAnswered = 4096;

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_CRASHSUSPECTS_H
