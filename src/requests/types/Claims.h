#ifndef LYCHEETHREAD_REQUESTS_TYPES_CLAIMS_H
#define LYCHEETHREAD_REQUESTS_TYPES_CLAIMS_H

#include "model/Model.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lycheethread::requests {

enum class ClaimKind {
  /// Asks to execute.
  Claim,
  /// The claim's holder executed and got this answer.
  Outcome,
  /// The claim's holder did not execute and will not.
  Release,
};

/// The answer of an upstream as it is kept for repeats.
struct RecordedAnswer {
  std::int32_t Status = 0;
  std::string ContentType;
  /// At most MaxRecordedBody bytes; absent when the body was larger.
  std::optional<std::string> Body;
};

inline constexpr std::size_t MaxRecordedBody = 4096;

/// One record of a claims stream.
struct ClaimEntry {
  ClaimKind Kind = ClaimKind::Claim;
  IdempotencyKey Key;
  /// Unique for each claim; outcome and release carry that of their claim.
  std::string Token;
  /// Digest of method, path and body: a key stands for one request.
  std::string RequestFingerprint;
  RecordedAnswer Answer;
};

/// The claim that holds a key.
struct HeldClaim {
  std::string Token;
  std::string RequestFingerprint;
  std::optional<RecordedAnswer> Answer;
  Offset At;
};

/// Fold of a claims stream.
struct ClaimTable {
  std::map<IdempotencyKey, HeldClaim> Held;
  /// Keys by the offset of the holding claim, oldest first.
  std::map<Offset, IdempotencyKey> ByOffset;
  /// Offsets of claims with a kept body, oldest first.
  std::deque<Offset> OffsetsWithBody;
};

/// Keys that a node remembers; the platform's retention is the other limit.
inline constexpr std::size_t MaxHeldClaims = 100000;
/// Answers with a body that a node remembers.
inline constexpr std::size_t MaxRecordedBodies = 2000;

enum class ClaimAction { Execute, Replay, Unknown, KeyReused };

struct ClaimDecision {
  ClaimAction Action = ClaimAction::Unknown;
  /// Whether the claim that holds the key is known to have run.
  Executed ExecutionStatus = Executed::Unknown;
  /// Set for Replay.
  RecordedAnswer Answer;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_CLAIMS_H
