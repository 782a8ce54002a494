#ifndef LYCHEETHREAD_PEER_INTERNAL_REALFOLD_H
#define LYCHEETHREAD_PEER_INTERNAL_REALFOLD_H

#include "peer/internal/ControlFold.h"

namespace lycheethread::peer {

/// The fold of the config, records and requests libraries.
ControlFold realFold();

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_REALFOLD_H
