#ifndef LYCHEETHREAD_MEMBERSHIP_TYPES_MESSAGE_H
#define LYCHEETHREAD_MEMBERSHIP_TYPES_MESSAGE_H

#include "model/Model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::membership {

/// State of one member. MemberInfo.State is the announced state or Dead. A
/// suspicion is a separate flag, so that a suspected draining member is not
/// mistaken for a ready one.
struct Update {
  Member MemberInfo;
  bool Suspected = false;
};

enum class MessageKind { Ping, Ack, IndirectPing, Push };

/// The sender's view of another region.
struct RegionAge {
  Region RegionName;
  /// Time since the sender's region last had contact with it.
  Milliseconds Age{0};
  /// The sender's digest of the region's members.
  std::uint64_t Digest = 0;
};

/// One datagram of the membership protocol.
struct Message {
  MessageKind Kind = MessageKind::Ping;
  NodeId From;
  Incarnation IncarnationNumber;
  Region RegionName;
  Sequence Number;
  /// Committed position of the sender. It is not part of the updates, because
  /// then every configuration change would have to be gossiped for each member.
  Offset Position;
  /// The sender's digest of its own region.
  std::uint64_t Digest = 0;
  /// Endpoint to ping; set only in an indirect ping.
  Endpoint Target;
  std::vector<RegionAge> Regions;
  std::vector<Update> Updates;
};

struct OutgoingMessage {
  Endpoint To;
  /// Region of the receiver, empty when it is not known.
  Region ToRegion;
  Message Content;
};

enum class EventKind { Joined, Changed, Suspected, Refuted, Died, Left };

struct MemberEvent {
  EventKind Kind = EventKind::Changed;
  NodeId Id;
};

/// Messages, events and synchronization that result from a step.
struct Actions {
  std::vector<OutgoingMessage> Sends;
  std::vector<MemberEvent> Events;
  /// Member whose full member list should be fetched and merged.
  std::optional<Endpoint> SyncWith;
};

} // namespace lycheethread::membership

#endif // LYCHEETHREAD_MEMBERSHIP_TYPES_MESSAGE_H
