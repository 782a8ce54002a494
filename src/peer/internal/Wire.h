#ifndef LYCHEETHREAD_PEER_INTERNAL_WIRE_H
#define LYCHEETHREAD_PEER_INTERNAL_WIRE_H

#include "distribution/Distribution.h"
#include "membership/Membership.h"
#include "peer/gen/peer_types.h"

#include <cstddef>
#include <stdexcept>
#include <string>

namespace lycheethread::peer {

inline constexpr std::size_t MaxDatagramBytes = 1200;
/// Largest text field of a member.
inline constexpr std::size_t MaxFieldBytes = 128;

/// Thrown for a datagram, frame or record that violates the protocol.
class BadMessage : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

wire::WireMember toWire(const membership::Update &Item);
/// Throws BadMessage for fields out of range.
membership::Update fromWire(const wire::WireMember &Item);

wire::WireMessage toWire(const membership::Message &Item);
membership::Message fromWire(const wire::WireMessage &Item);

wire::FeedHeartbeat toWire(const distribution::FeedHeartbeat &Heartbeat,
                           const NodeId &Sender);
distribution::FeedHeartbeat fromWire(const wire::FeedHeartbeat &Heartbeat);

/// Drops updates from the end until the datagram fits MaxDatagramBytes.
std::string encodeDatagram(wire::Datagram Item);
/// Throws BadMessage.
wire::Datagram decodeDatagram(const char *Data, std::size_t Size);

/// Encodes the join record of \p Item.
std::string encodeJoin(const Member &Item, WallTime Now);
/// Throws BadMessage.
Member decodeJoin(const std::string &Data);

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_WIRE_H
