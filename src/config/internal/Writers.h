#ifndef LYCHEETHREAD_CONFIG_INTERNAL_WRITERS_H
#define LYCHEETHREAD_CONFIG_INTERNAL_WRITERS_H

#include "config/types/ConfigState.h"

namespace lycheethread::config {

/// Records the sequence number of a record for its writer. Returns false when
/// this record or a newer one of the same writer was already folded.
bool recordWriterSequence(ConfigState &State, Offset At,
                          const RecordHeader &Header);

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_INTERNAL_WRITERS_H
