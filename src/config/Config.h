#ifndef LYCHEETHREAD_CONFIG_CONFIG_H
#define LYCHEETHREAD_CONFIG_CONFIG_H

/// Public header of the config library: the fold of the control stream.

#include "config/types/ConfigState.h"

namespace lycheethread::config {

/// Folds the record at offset \p At, which must be State.Position. The same
/// records give the same state on every node.
void foldRecord(ConfigState &State, Offset At, const Record &Item);

/// Counts an undecodable record at \p At as folded, without effect.
void skipRecord(ConfigState &State, Offset At);

/// Checks \p Document against the other accepted documents: references must
/// exist and nothing that others use may disappear.
Findings checkAgainst(const ConfigState &State,
                      const ServiceDocument &Document);

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_CONFIG_H
