#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_OUTCOMECODEC_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_OUTCOMECODEC_H

#include "moves/Moves.h"

#include <stdexcept>
#include <string>

namespace lycheethread::moveowner {

/// Thrown when a message from another node cannot be decoded or exceeds the
/// limits.
class BadMessage : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// An outcome report and the service that it concerns.
struct ServiceReport {
  ServiceName Service;
  moves::OutcomeReport Report;
};

std::string encodeReport(const ServiceReport &Sent);

/// Throws BadMessage.
ServiceReport decodeReport(const std::string &Payload);

std::string encodeStopNotice(const MoveId &Id);

/// Throws BadMessage.
MoveId decodeStopNotice(const std::string &Payload);

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_OUTCOMECODEC_H
