#ifndef LYCHEETHREAD_CONFIG_INTERNAL_CHECKPOINTCODEC_H
#define LYCHEETHREAD_CONFIG_INTERNAL_CHECKPOINTCODEC_H

#include "config/Config.h"

#include <checkpoint_types.h>

namespace lycheethread::config {

gen::State toGen(const ConfigState &From);

/// Throws BadCheckpoint when a value is out of range or a document does not
/// parse.
ConfigState fromGen(const gen::State &From);

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_INTERNAL_CHECKPOINTCODEC_H
