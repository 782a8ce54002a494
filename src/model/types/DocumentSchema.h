#ifndef LYCHEETHREAD_MODEL_TYPES_DOCUMENTSCHEMA_H
#define LYCHEETHREAD_MODEL_TYPES_DOCUMENTSCHEMA_H

#include "model/types/Schema.h"

#include <vector>

namespace lycheethread {

/// Every section and key that a service document may have.
const std::vector<SectionRule> &documentSchema();

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_DOCUMENTSCHEMA_H
