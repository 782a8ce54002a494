#ifndef LYCHEETHREAD_MODEL_TYPES_DOCUMENTSCHEMA_H
#define LYCHEETHREAD_MODEL_TYPES_DOCUMENTSCHEMA_H

#include "model/types/Schema.h"

#include <vector>

namespace lycheethread {

/// Returns the rules for all sections and keys of a service document.
const std::vector<SectionRule> &documentSchema();

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_DOCUMENTSCHEMA_H
