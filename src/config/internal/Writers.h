#ifndef LYCHEETHREAD_CONFIG_INTERNAL_WRITERS_H
#define LYCHEETHREAD_CONFIG_INTERNAL_WRITERS_H

#include "config/types/ConfigState.h"

namespace lycheethread::config {

/// Marks the record as folded; false when it, or a newer one of the same
/// writer, was folded before.
bool recordWriterSequence(ConfigState &State, Offset At,
                          const RecordHeader &Header);

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_INTERNAL_WRITERS_H
