#ifndef LYCHEETHREAD_DECISIONS_DECISIONS_H
#define LYCHEETHREAD_DECISIONS_DECISIONS_H

/// The decisions of lycheethread as pure functions over plain structs. None of
/// them opens a socket, starts a thread or reads a clock; time and seed are
/// parameters.

#include "config/Config.h"
#include "distribution/Distribution.h"
#include "membership/Membership.h"
#include "model/Model.h"
#include "moves/Moves.h"
#include "refusals/Refusals.h"
#include "requests/Requests.h"

#endif // LYCHEETHREAD_DECISIONS_DECISIONS_H
