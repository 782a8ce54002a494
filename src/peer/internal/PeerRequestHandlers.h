#ifndef LYCHEETHREAD_PEER_INTERNAL_PEERREQUESTHANDLERS_H
#define LYCHEETHREAD_PEER_INTERNAL_PEERREQUESTHANDLERS_H

#include "peer/internal/PeerContext.h"
#include "peer/internal/PeerServer.h"

namespace lycheethread::peer {

/// Returns the functions that answer calls of other nodes. Call is left unset.
ServerFunctions makeServerFunctions(PeerContext &Context);

std::vector<wire::RawRecord>
toWire(const std::vector<streamlog::LogRecord> &Records);
/// Throws BadMessage for records with gaps.
std::vector<streamlog::LogRecord>
fromWire(const std::vector<wire::RawRecord> &Records);

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_PEERREQUESTHANDLERS_H
