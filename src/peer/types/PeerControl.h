#ifndef LYCHEETHREAD_PEER_TYPES_PEERCONTROL_H
#define LYCHEETHREAD_PEER_TYPES_PEERCONTROL_H

#include "model/Model.h"

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>

namespace lycheethread::peer {

/// Thrown if a peer did not answer in time, refused the call or sent an invalid
/// reply. The call may have been executed.
class PeerUnavailable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Largest payload of a call, in bytes.
inline constexpr std::size_t MaxCallBytes = 1024 * 1024;
/// Largest payload of a rumour, in bytes. It must fit into one datagram
/// together with the other fields.
inline constexpr std::size_t MaxRumourBytes = 256;

using CallHandler = std::function<std::string(const std::string &Payload)>;
using RumourHandler = std::function<void(const std::string &Payload)>;

/// Interface of the control protocol for other modules. Payloads are Thrift
/// messages that the module of the topic defines. Thread-safe.
struct PeerControl {
  /// Calls the handler of \p Topic on \p Target. Throws PeerUnavailable.
  std::function<std::string(const Member &Target, const std::string &Topic,
                            const std::string &Payload)>
      Call;
  /// Sets the handler of calls of \p Topic. May be used only during init.
  std::function<void(const std::string &Topic, CallHandler Handler)> OnCall;
  /// Broadcasts \p Payload to all nodes of both regions by gossip. Each node
  /// receives it at most once; delivery is best effort.
  std::function<void(const std::string &Topic, const std::string &Payload)>
      Broadcast;
  /// Sets the handler of rumours of \p Topic. May be used only during init.
  std::function<void(const std::string &Topic, RumourHandler Handler)> OnRumour;
  /// Returns this node as it announces itself.
  std::function<Member()> Self;
  /// Announces another state of this node.
  std::function<void(MemberState State)> Announce;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_TYPES_PEERCONTROL_H
