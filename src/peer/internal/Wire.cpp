#include "peer/internal/Wire.h"

#include <Poco/Net/IPAddress.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <limits>
#include <memory>

namespace lycheethread::peer {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

// Bounds the lists of a datagram, because Thrift allocates a list before it
// reads the items.
constexpr int MaxListItems = 64;

template <typename T> std::string encode(const T &Item) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  Item.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename T> T decode(const char *Data, std::size_t Size) {
  // Bounds the memory that Thrift allocates for the lengths in the message.
  const auto Limits =
      std::make_shared<TConfiguration>(static_cast<int>(Size) + 1);
  std::string Copy(Data, Size);
  const auto Buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t *>(Copy.data()),
      static_cast<std::uint32_t>(Size), TMemoryBuffer::OBSERVE, Limits);
  TCompactProtocol Protocol(Buffer, static_cast<int>(Size), MaxListItems);
  T Item;
  try {
    Item.read(&Protocol);
  } catch (const std::exception &Problem) {
    throw BadMessage(std::string("not a valid message: ") + Problem.what());
  }
  return Item;
}

std::string checkedText(const std::string &Text, const char *Name) {
  if (Text.size() > MaxFieldBytes)
    throw BadMessage(std::string(Name) + " is longer than " +
                     std::to_string(MaxFieldBytes) + " bytes");
  // Names are printed in log lines and reports, so control characters are
  // rejected.
  for (const char Byte : Text)
    if (static_cast<unsigned char>(Byte) < 0x20 || Byte == 0x7f)
      throw BadMessage(std::string(Name) + " has a control character");
  return Text;
}

Endpoint checkedEndpoint(const std::string &Address, std::int32_t Port) {
  if (Port < 0 || Port > std::numeric_limits<std::uint16_t>::max())
    throw BadMessage("port " + std::to_string(Port) + " is out of range");
  Poco::Net::IPAddress Parsed;
  if (!Address.empty() && !Poco::Net::IPAddress::tryParse(Address, Parsed))
    throw BadMessage("an address is not an IP number");
  return {Address, static_cast<std::uint16_t>(Port)};
}

std::int64_t checkedNumber(std::int64_t Value, const char *Name) {
  if (Value < 0 || Value >= membership::MaxIncarnation)
    throw BadMessage(std::string(Name) + " is out of range");
  return Value;
}

} // namespace

wire::WireMember toWire(const membership::Update &Item) {
  const Member &MemberInfo = Item.MemberInfo;
  wire::WireMember Out;
  Out.id = MemberInfo.Id.str();
  Out.life = MemberInfo.IncarnationNumber.value();
  Out.state = static_cast<std::int8_t>(MemberInfo.State);
  Out.suspected = Item.Suspected;
  Out.hopAddress = MemberInfo.Hop.Address;
  Out.hopPort = MemberInfo.Hop.Port;
  Out.controlAddress = MemberInfo.Control.Address;
  Out.controlPort = MemberInfo.Control.Port;
  Out.region = MemberInfo.At.RegionName.str();
  Out.zone = MemberInfo.At.Zone.str();
  Out.serviceName = MemberInfo.Service.str();
  Out.group = MemberInfo.Group.str();
  Out.version = MemberInfo.Version.str();
  Out.position = MemberInfo.ConfigPosition.value();
  return Out;
}

membership::Update fromWire(const wire::WireMember &Item) {
  if (Item.state < 0 ||
      Item.state > static_cast<std::int8_t>(MemberState::Dead))
    throw BadMessage("state " + std::to_string(Item.state) + " is unknown");
  membership::Update Out;
  Out.Suspected = Item.suspected;
  Member &MemberInfo = Out.MemberInfo;
  MemberInfo.Id = NodeId(checkedText(Item.id, "id"));
  MemberInfo.IncarnationNumber =
      Incarnation(checkedNumber(Item.life, "incarnation"));
  MemberInfo.State = static_cast<MemberState>(Item.state);
  MemberInfo.Hop = checkedEndpoint(Item.hopAddress, Item.hopPort);
  MemberInfo.Control = checkedEndpoint(Item.controlAddress, Item.controlPort);
  MemberInfo.At.RegionName = Region(checkedText(Item.region, "region"));
  MemberInfo.At.Zone = AvailabilityZone(checkedText(Item.zone, "zone"));
  MemberInfo.Service = ServiceName(checkedText(Item.serviceName, "service"));
  MemberInfo.Group = GroupName(checkedText(Item.group, "group"));
  MemberInfo.Version = VersionName(checkedText(Item.version, "version"));
  MemberInfo.ConfigPosition = Offset(checkedNumber(Item.position, "position"));
  return Out;
}

wire::WireMessage toWire(const membership::Message &Item) {
  wire::WireMessage Out;
  Out.kind = static_cast<std::int8_t>(Item.Kind);
  Out.sender = Item.From.str();
  Out.life = Item.IncarnationNumber.value();
  Out.region = Item.RegionName.str();
  Out.number = Item.Number.value();
  Out.position = Item.Position.value();
  Out.digest = static_cast<std::int64_t>(Item.Digest);
  if (Item.Target.Port != 0) {
    Out.__set_targetAddress(Item.Target.Address);
    Out.__set_targetPort(Item.Target.Port);
  }
  if (!Item.Regions.empty()) {
    Out.__isset.regions = true;
    for (const membership::RegionAge &Each : Item.Regions) {
      wire::WireRegionAge Age;
      Age.region = Each.RegionName.str();
      Age.ageMs = Each.Age.count();
      Age.digest = static_cast<std::int64_t>(Each.Digest);
      Out.regions.push_back(std::move(Age));
    }
  }
  Out.__isset.updates = !Item.Updates.empty();
  for (const membership::Update &Each : Item.Updates)
    Out.updates.push_back(toWire(Each));
  return Out;
}

membership::Message fromWire(const wire::WireMessage &Item) {
  if (Item.kind < 0 ||
      Item.kind > static_cast<std::int8_t>(membership::MessageKind::Push))
    throw BadMessage("message kind " + std::to_string(Item.kind) +
                     " is unknown");
  membership::Message Out;
  Out.Kind = static_cast<membership::MessageKind>(Item.kind);
  Out.From = NodeId(checkedText(Item.sender, "sender"));
  Out.IncarnationNumber = Incarnation(checkedNumber(Item.life, "incarnation"));
  Out.RegionName = Region(checkedText(Item.region, "region"));
  Out.Number = Sequence(checkedNumber(Item.number, "number"));
  Out.Position = Offset(checkedNumber(Item.position, "position"));
  Out.Digest = static_cast<std::uint64_t>(Item.digest);
  if (Out.From.empty() || Out.RegionName.empty())
    throw BadMessage("sender or region is missing");
  if (Item.__isset.targetPort)
    Out.Target = checkedEndpoint(Item.targetAddress, Item.targetPort);
  for (const wire::WireRegionAge &Each : Item.regions)
    Out.Regions.push_back(
        {Region(checkedText(Each.region, "region")),
         Milliseconds(checkedNumber(Each.ageMs, "region age")),
         static_cast<std::uint64_t>(Each.digest)});
  for (const wire::WireMember &Each : Item.updates)
    Out.Updates.push_back(fromWire(Each));
  return Out;
}

wire::FeedHeartbeat toWire(const distribution::FeedHeartbeat &Heartbeat,
                           const NodeId &Sender) {
  wire::FeedHeartbeat Out;
  Out.region = Heartbeat.RegionName.str();
  Out.reader = Heartbeat.Reader.str();
  Out.life = Heartbeat.IncarnationNumber.value();
  Out.number = Heartbeat.Number.value();
  Out.head = Heartbeat.Head.value();
  Out.logFresh = Heartbeat.LogFresh;
  Out.sender = Sender.str();
  return Out;
}

distribution::FeedHeartbeat fromWire(const wire::FeedHeartbeat &Heartbeat) {
  checkedText(Heartbeat.sender, "sender");
  distribution::FeedHeartbeat Out;
  Out.RegionName = Region(checkedText(Heartbeat.region, "region"));
  Out.Reader = NodeId(checkedText(Heartbeat.reader, "reader"));
  Out.IncarnationNumber =
      Incarnation(checkedNumber(Heartbeat.life, "incarnation"));
  Out.Number = Sequence(checkedNumber(Heartbeat.number, "number"));
  Out.Head = Offset(checkedNumber(Heartbeat.head, "head"));
  Out.LogFresh = Heartbeat.logFresh;
  return Out;
}

std::string encodeDatagram(wire::Datagram Item) {
  std::string Data = encode(Item);
  while (Data.size() > MaxDatagramBytes && !Item.message.updates.empty()) {
    Item.message.updates.pop_back();
    Data = encode(Item);
  }
  if (Data.size() > MaxDatagramBytes)
    throw BadMessage("a datagram of " + std::to_string(Data.size()) +
                     " bytes is too long");
  return Data;
}

wire::Datagram decodeDatagram(const char *Data, std::size_t Size) {
  if (Size > MaxDatagramBytes)
    throw BadMessage("a datagram is longer than " +
                     std::to_string(MaxDatagramBytes) + " bytes");
  return decode<wire::Datagram>(Data, Size);
}

std::string encodeJoin(const Member &Item, WallTime Now) {
  wire::JoinRecord Join;
  Join.member = toWire(membership::Update{Item, false});
  Join.writtenAtMs = Now.value();
  return encode(Join);
}

Member decodeJoin(const std::string &Data) {
  if (Data.size() > MaxDatagramBytes)
    throw BadMessage("a join record is too long");
  return fromWire(decode<wire::JoinRecord>(Data.data(), Data.size()).member)
      .MemberInfo;
}

} // namespace lycheethread::peer
