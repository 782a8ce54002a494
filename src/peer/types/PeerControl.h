#ifndef LYCHEETHREAD_PEER_TYPES_PEERCONTROL_H
#define LYCHEETHREAD_PEER_TYPES_PEERCONTROL_H

#include "model/Model.h"

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>

namespace lycheethread::peer {

/// The peer did not answer in time, refused or answered nonsense. The call may
/// have taken effect there.
class PeerUnavailable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Largest payload of a call, in bytes.
inline constexpr std::size_t MaxCallBytes = 1024 * 1024;
/// Largest payload of a rumour, in bytes; it must fit beside others into one
/// datagram.
inline constexpr std::size_t MaxRumourBytes = 256;

using CallHandler = std::function<std::string(const std::string &Payload)>;
using RumourHandler = std::function<void(const std::string &Payload)>;

/// What other modules ask of the node's control protocol. Payloads are Thrift
/// messages that the module of the topic defines. Thread-safe.
struct PeerControl {
  /// Calls the handler of \p Topic at \p Target; throws PeerUnavailable.
  std::function<std::string(const Member &Target, const std::string &Topic,
                            const std::string &Payload)>
      Call;
  /// Sets the handler of \p Topic. To be used during init.
  std::function<void(const std::string &Topic, CallHandler Handler)> OnCall;
  /// Spreads \p Payload to all nodes of both regions, each at most once, best
  /// effort.
  std::function<void(const std::string &Topic, const std::string &Payload)>
      Broadcast;
  /// Sets the receiver of rumours of \p Topic. To be used during init.
  std::function<void(const std::string &Topic, RumourHandler Handler)> OnRumour;
  /// This node as it announces itself.
  std::function<Member()> Self;
  /// Announces another state of this node.
  std::function<void(MemberState State)> Announce;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_TYPES_PEERCONTROL_H
