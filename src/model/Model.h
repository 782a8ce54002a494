#ifndef LYCHEETHREAD_MODEL_MODEL_H
#define LYCHEETHREAD_MODEL_MODEL_H

/// Public header of the model library: ids, units and data types that all
/// modules share, and the parser for service documents.

#include "model/types/Checks.h"
#include "model/types/DocumentSchema.h"
#include "model/types/Finding.h"
#include "model/types/Ids.h"
#include "model/types/Ini.h"
#include "model/types/Member.h"
#include "model/types/ParsedDocument.h"
#include "model/types/Record.h"
#include "model/types/Refusal.h"
#include "model/types/RefusalReason.h"
#include "model/types/RequestClass.h"
#include "model/types/RouteOutcomes.h"
#include "model/types/ServiceDocument.h"
#include "model/types/StableHash.h"
#include "model/types/Units.h"

#endif // LYCHEETHREAD_MODEL_MODEL_H
