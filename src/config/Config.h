#ifndef LYCHEETHREAD_CONFIG_CONFIG_H
#define LYCHEETHREAD_CONFIG_CONFIG_H

/// Public header of the config library: the fold of the control stream.

#include "config/types/ConfigState.h"

#include <stdexcept>
#include <vector>

namespace lycheethread::config {

/// Folds the record at offset \p At, which must be State.Position; any other
/// offset has no effect. The same records give the same state on every node.
/// Total: a malformed record only moves the position.
void foldRecord(ConfigState &State, Offset At, const Record &Item);

/// Counts an undecodable record at \p At as folded, without effect.
void skipRecord(ConfigState &State, Offset At);

/// Checks \p Document against the other accepted documents: references must
/// exist and nothing that others use may disappear. Places are not filled in.
Findings checkAgainst(const ConfigState &State,
                      const ServiceDocument &Document);

/// The verdict on the record with this header; null while it is not folded and
/// after MaxPublishResults later publications.
const PublishResult *findPublishResult(const ConfigState &State,
                                       const RecordHeader &Header);

/// A part is missing or foreign, or the digest does not match.
class BadCheckpoint : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Bytes of one part of a checkpoint.
inline constexpr std::size_t MaxPartBytes = 256 * 1024;
inline constexpr std::int32_t MaxParts = 256;

/// What a single part tells about its checkpoint.
struct CheckpointPart {
  /// Counted from 0.
  std::int32_t Index = 0;
  std::int32_t Parts = 0;
  /// Position of the state.
  Offset Position;
  /// SHA-256 of the whole state in hexadecimal.
  std::string Digest;
};

/// The whole state in parts of at most MaxPartBytes, see checkpoint.thrift.
/// Throws BadCheckpoint when it needs more than MaxParts.
std::vector<std::string> makeCheckpoint(const ConfigState &State);

/// Throws BadCheckpoint when \p Data is no part.
CheckpointPart describePart(const std::string &Data);

/// Restores a state from its parts in any order. Throws BadCheckpoint.
ConfigState restoreCheckpoint(const std::vector<std::string> &Parts);

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_CONFIG_H
