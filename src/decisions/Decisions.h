#ifndef LYCHEETHREAD_DECISIONS_DECISIONS_H
#define LYCHEETHREAD_DECISIONS_DECISIONS_H

/// Public header of the decisions library: the decisions of lycheethread as
/// pure functions on plain structs. They do not open sockets, start threads or
/// read clocks; time and seed are parameters.

#include "config/Config.h"
#include "distribution/Distribution.h"
#include "membership/Membership.h"
#include "model/Model.h"
#include "moves/Moves.h"
#include "refusals/Refusals.h"
#include "requests/Requests.h"

#endif // LYCHEETHREAD_DECISIONS_DECISIONS_H
