#ifndef LYCHEETHREAD_CONFIG_CONFIG_H
#define LYCHEETHREAD_CONFIG_CONFIG_H

/// Public header of the config library: folds the records of the control stream
/// into the configuration state.

#include "config/types/ConfigState.h"

#include <stdexcept>
#include <vector>

namespace lycheethread::config {

/// Applies the record at offset \p At to \p State. Has no effect unless \p At
/// is State.Position. The same records give the same state on every node. Never
/// fails: a malformed record only advances the position.
void foldRecord(ConfigState &State, Offset At, const Record &Item);

/// Advances the position past a record at \p At that could not be decoded.
void skipRecord(ConfigState &State, Offset At);

/// Checks \p Document against the other accepted documents: the services and
/// groups that it references must exist, and groups that others use must
/// remain. The findings have no file and line.
Findings checkAgainst(const ConfigState &State,
                      const ServiceDocument &Document);

/// Returns the result of the publish record with this header. Returns null
/// before the record is folded and after MaxPublishResults later publications.
const PublishResult *findPublishResult(const ConfigState &State,
                                       const RecordHeader &Header);

/// Thrown when a part of a checkpoint is missing, malformed or from another
/// checkpoint, or when the digest does not match.
class BadCheckpoint : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Maximum size of one part of a checkpoint.
inline constexpr std::size_t MaxPartBytes = 256 * 1024;
inline constexpr std::int32_t MaxParts = 256;

/// Header of a single part of a checkpoint.
struct CheckpointPart {
  /// Counted from 0.
  std::int32_t Index = 0;
  std::int32_t Parts = 0;
  /// Position of the checkpointed state.
  Offset Position;
  /// SHA-256 of the whole state in hexadecimal.
  std::string Digest;
};

/// Encodes the whole state in parts of at most MaxPartBytes, in the format of
/// checkpoint.thrift. Throws BadCheckpoint when it needs more than MaxParts.
std::vector<std::string> makeCheckpoint(const ConfigState &State);

/// Reads the header of a part. Throws BadCheckpoint when \p Data is not a valid
/// part.
CheckpointPart describePart(const std::string &Data);

/// Restores a state from its parts, in any order. Throws BadCheckpoint.
ConfigState restoreCheckpoint(const std::vector<std::string> &Parts);

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_CONFIG_H
