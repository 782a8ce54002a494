#ifndef LYCHEETHREAD_MODEL_TYPES_MEMBER_H
#define LYCHEETHREAD_MODEL_TYPES_MEMBER_H

#include "model/types/Ids.h"
#include "model/types/Units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheethread {

/// An IP address and a port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  friend bool operator==(const Endpoint &L, const Endpoint &R) {
    return L.Port == R.Port && L.Address == R.Address;
  }
  friend bool operator<(const Endpoint &L, const Endpoint &R) {
    return L.Address != R.Address ? L.Address < R.Address : L.Port < R.Port;
  }
};

/// Region and availability zone of an instance.
struct Location {
  Region RegionName;
  AvailabilityZone Zone;
};

enum class MemberState { Starting, Ready, Draining, Suspect, Left, Dead };

/// Returns the lower-case name of the state.
std::string_view toString(MemberState State);

/// State of a node and its upstream as it is published to the other nodes.
struct Member {
  NodeId Id;
  Incarnation IncarnationNumber;
  MemberState State = MemberState::Starting;
  /// HTTP port for requests from other nodes.
  Endpoint Hop;
  /// Port of the control protocol, UDP and TCP.
  Endpoint Control;
  Location At;
  ServiceName Service;
  GroupName Group;
  VersionName Version;
  /// First offset of the control stream that the node has not applied yet.
  Offset ConfigPosition;
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_MEMBER_H
