#ifndef LYCHEETHREAD_MEMBERSHIP_TYPES_MESSAGE_H
#define LYCHEETHREAD_MEMBERSHIP_TYPES_MESSAGE_H

#include "model/Model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::membership {

/// News of one member. Who.State is what the member announced or Dead; a
/// suspicion is kept beside it, so that a suspect that drains is not taken for
/// a ready one.
struct Update {
  Member MemberInfo;
  bool Suspected = false;
};

enum class MessageKind { Ping, Ack, IndirectPing, Push };

/// What the sender knows of another region.
struct RegionAge {
  Region RegionName;
  /// Time since the region was last in contact with the sender's region.
  Milliseconds Age{0};
  /// The sender's view of the region's members.
  std::uint64_t Digest = 0;
};

/// One datagram of the membership protocol.
struct Message {
  MessageKind Kind = MessageKind::Ping;
  NodeId From;
  Incarnation IncarnationNumber;
  Region RegionName;
  Sequence Number;
  /// Position in force at the sender. It travels only here: as an update it
  /// would have to reach every member after every change.
  Offset Position;
  /// The sender's view of its own region.
  std::uint64_t Digest = 0;
  /// Whom to ping; only in an indirect ping.
  Endpoint Target;
  std::vector<RegionAge> Regions;
  std::vector<Update> Updates;
};

struct Outgoing {
  Endpoint To;
  /// Region of the receiver, empty when it is not known.
  Region ToRegion;
  Message Content;
};

enum class EventKind { Joined, Changed, Suspected, Refuted, Died, Left };

struct MemberEvent {
  EventKind Kind = EventKind::Changed;
  NodeId MemberId;
};

/// What a step asks for.
struct Actions {
  std::vector<Outgoing> Sends;
  std::vector<MemberEvent> Events;
  /// Member whose whole view should be fetched and merged.
  std::optional<Endpoint> SyncWith;
};

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_TYPES_MESSAGE_H
