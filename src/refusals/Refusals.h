#ifndef LYCHEETHREAD_REFUSALS_REFUSALS_H
#define LYCHEETHREAD_REFUSALS_REFUSALS_H

/// Public header of the refusals library: merging, batches and the report, as
/// pure functions.

#include "refusals/types/RefusalSink.h"

#endif // LYCHEETHREAD_REFUSALS_REFUSALS_H
