#ifndef LYCHEETHREAD_CONFIG_INTERNAL_PUBLISH_H
#define LYCHEETHREAD_CONFIG_INTERNAL_PUBLISH_H

#include "config/types/ConfigState.h"

namespace lycheethread::config {

/// Accepts or refuses the document as a whole and records the result.
void foldPublish(ConfigState &State, Offset At, const RecordHeader &Header,
                 const PublishRecord &Body);

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_INTERNAL_PUBLISH_H
