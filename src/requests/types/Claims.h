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
  /// Claims the key in order to execute the request.
  Claim,
  /// The holder of the claim has executed the request; carries the answer.
  Outcome,
  /// The holder of the claim did not execute the request and will not.
  Release,
};

/// The answer of an upstream, recorded to be replayed to repeated requests.
struct RecordedAnswer {
  std::int32_t Status = 0;
  std::string ContentType;
  /// At most MaxRecordedBody bytes; empty when the body was larger.
  std::optional<std::string> Body;
};

/// In bytes.
inline constexpr std::size_t MaxRecordedBody = 4096;

/// A record of a claims stream.
struct ClaimEntry {
  ClaimKind Kind = ClaimKind::Claim;
  IdempotencyKey Key;
  /// Unique for each claim. Outcome and release carry the token of their claim.
  std::string Token;
  /// Digest of method, path and body; detects a key that is reused for another
  /// request.
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

/// State that results from the records of a claims stream.
struct ClaimTable {
  std::map<IdempotencyKey, HeldClaim> ClaimByKey;
  /// Keys by the offset of the claim that holds them, oldest first.
  std::map<Offset, IdempotencyKey> ByOffset;
  /// Offsets of the claims whose answer still has its body, oldest first.
  std::deque<Offset> OffsetsWithBody;
};

/// Keys that a node keeps. The retention of the platform's log is the other
/// limit.
inline constexpr std::size_t MaxHeldClaims = 100000;
/// Answers that a node keeps with their body.
inline constexpr std::size_t MaxRecordedBodies = 2000;

enum class ClaimAction { Execute, Replay, Unknown, KeyReused };

struct ClaimDecision {
  ClaimAction Action = ClaimAction::Unknown;
  /// Whether the request of the claim that holds the key was executed.
  Executed ExecutionStatus = Executed::Unknown;
  /// Only set for Replay.
  RecordedAnswer Answer;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_CLAIMS_H
