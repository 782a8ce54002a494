#include "sidecar/internal/GossipCodec.h"
#include "thriftcodec/ThriftCodec.h"

#include <gossip_types.h>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace lycheethread::sidecar {

namespace {

/// The operator's configuration may hold many routes.
constexpr std::size_t MaxRecordsBytes = 16 * 1024 * 1024;
constexpr std::int32_t MaxPort = 65'535;
/// Fast; higher levels reduce the size only slightly further.
constexpr int DeflateLevel = 3;

wire::EndpointMessage toWire(const Endpoint &From) {
  wire::EndpointMessage To;
  To.__set_address(From.Address);
  To.__set_port(From.Port);
  return To;
}

Endpoint fromWire(const wire::EndpointMessage &From) {
  if (From.port < 0 || From.port > MaxPort)
    return {};
  return {From.address, static_cast<std::uint16_t>(From.port)};
}

wire::UpstreamMessage toWire(const mesh::Upstream &From) {
  wire::UpstreamMessage To;
  To.__set_id(From.Id.str());
  To.__set_born(From.StartedAtUnixMs);
  To.__set_serviceName(From.Service.str());
  To.__set_version(From.Version.str());
  To.__set_state(static_cast<std::int32_t>(From.State));
  To.__set_capacity(From.Capacity);
  To.__set_coldLeftMs(From.ColdRemaining.count());
  return To;
}

mesh::Upstream fromWire(const wire::UpstreamMessage &From) {
  mesh::Upstream To;
  To.Id = mesh::UpstreamId(From.id);
  To.StartedAtUnixMs = From.born;
  To.Service = ServiceName(From.serviceName);
  To.Version = VersionName(From.version);
  if (From.state >= static_cast<int>(mesh::UpstreamState::Unknown) &&
      From.state <= static_cast<int>(mesh::UpstreamState::Gone))
    To.State = static_cast<mesh::UpstreamState>(From.state);
  To.Capacity = From.capacity;
  To.ColdRemaining = Milliseconds(From.coldLeftMs);
  return To;
}

wire::RolloutMessage toWire(const mesh::RolloutReport &From) {
  wire::RolloutMessage To;
  To.__set_order(From.Order.value());
  To.__set_ageMs(From.Age.count());
  To.__set_condemned(From.IsNewVersionBad);
  To.__set_state(static_cast<std::int32_t>(From.State));
  return To;
}

wire::EvidenceMessage toWire(const mesh::RouteEvidence &From) {
  wire::EvidenceMessage To;
  To.__set_order(From.Order.value());
  To.__set_route(From.Route.str());
  To.__set_good(From.Good);
  To.__set_bad(From.Bad);
  To.__set_totalTimeMs(From.TotalTime.count());
  return To;
}

wire::CrashMessage toWire(const mesh::CrashSuspectReport &From) {
  wire::CrashMessage To;
  To.__set_fingerprint(From.RequestFingerprint.str());
  To.__set_crash(From.Crash.str());
  To.__set_weight(static_cast<std::int32_t>(From.Weight));
  return To;
}

wire::NewsMessage toWire(const mesh::NodeReport &From);

template <typename Wire, typename Item>
std::vector<Wire> listToWire(const std::vector<Item> &From) {
  std::vector<Wire> To;
  To.reserve(From.size());
  for (const Item &Each : From)
    To.push_back(toWire(Each));
  return To;
}

wire::NewsMessage toWire(const mesh::NodeReport &From) {
  wire::NewsMessage To;
  To.__set_id(From.Id.str());
  To.__set_life(From.IncarnationNumber.value());
  To.__set_number(From.Number.value());
  To.__set_region(From.At.RegionName.str());
  To.__set_zone(From.At.Zone.str());
  To.__set_hop(toWire(From.Hop));
  To.__set_gossip(toWire(From.Gossip));
  To.__set_ready(From.Ready);
  To.__set_stopping(From.Stopping);
  if (!From.LocalUpstream.Id.empty())
    To.__set_own(toWire(From.LocalUpstream));
  To.__set_running(From.Load.Running);
  To.__set_waiting(From.Load.Waiting);
  To.__set_serviceTimeMs(From.Load.ServiceTime.count());
  To.__set_bodyWaitMs(From.Load.BodyWait.count());
  To.__set_operatorPosition(From.OperatorPosition.value());
  if (From.ConfirmedAge)
    To.__set_confirmedAgeMs(From.ConfirmedAge->count());
  if (!From.Rollouts.empty())
    To.__set_rollouts(listToWire<wire::RolloutMessage>(From.Rollouts));
  if (!From.Evidence.empty())
    To.__set_evidence(listToWire<wire::EvidenceMessage>(From.Evidence));
  if (!From.Crashes.empty())
    To.__set_crashes(listToWire<wire::CrashMessage>(From.Crashes));
  return To;
}

mesh::RolloutState rolloutStateFrom(std::int32_t Code) {
  switch (Code) {
  case static_cast<std::int32_t>(mesh::RolloutState::Completed):
    return mesh::RolloutState::Completed;
  case static_cast<std::int32_t>(mesh::RolloutState::RolledBack):
    return mesh::RolloutState::RolledBack;
  default:
    return mesh::RolloutState::Running;
  }
}

mesh::NodeReport fromWire(const wire::NewsMessage &From) {
  mesh::NodeReport To;
  To.Id = NodeId(From.id);
  To.IncarnationNumber = Incarnation(From.life);
  To.Number = Sequence(From.number);
  To.At = {Region(From.region), AvailabilityZone(From.zone)};
  To.Hop = fromWire(From.hop);
  To.Gossip = fromWire(From.gossip);
  To.Ready = From.ready;
  To.Stopping = From.stopping;
  if (From.__isset.own)
    To.LocalUpstream = fromWire(From.own);
  To.Load = {From.running, From.waiting, Milliseconds(From.serviceTimeMs),
             Milliseconds(From.bodyWaitMs)};
  To.OperatorPosition = Offset(From.operatorPosition);
  if (From.__isset.confirmedAgeMs)
    To.ConfirmedAge = Milliseconds(From.confirmedAgeMs);
  for (const wire::RolloutMessage &Item : From.rollouts)
    To.Rollouts.push_back({Offset(Item.order), Milliseconds(Item.ageMs),
                           Item.condemned, rolloutStateFrom(Item.state)});
  for (const wire::EvidenceMessage &Item : From.evidence)
    To.Evidence.push_back({Offset(Item.order), RouteName(Item.route), Item.good,
                           Item.bad, Milliseconds(Item.totalTimeMs)});
  for (const wire::CrashMessage &Item : From.crashes)
    To.Crashes.push_back(
        {requests::Fingerprint(Item.fingerprint), requests::CrashId(Item.crash),
         Item.weight == 1 ? requests::SuspectWeight::Answered
                          : requests::SuspectWeight::NeverAnswered});
  return To;
}

/// Configurations are long, repetitive texts and cross links that are billed by
/// volume.
std::string deflate(const std::string &Text) {
  std::ostringstream Out;
  Poco::DeflatingOutputStream Deflater(
      Out, Poco::DeflatingStreamBuf::STREAM_ZLIB, DeflateLevel);
  Deflater << Text;
  Deflater.close();
  return Out.str();
}

/// Returns nothing for corrupt data or data longer than MaxRecordsBytes.
std::optional<std::string> inflate(std::string_view Data) {
  Poco::MemoryInputStream In(Data.data(),
                             static_cast<std::streamsize>(Data.size()));
  Poco::InflatingInputStream Inflater(In);
  std::string Text;
  std::array<char, 16 * 1024> Part{};
  try {
    while (Inflater.good() && Text.size() <= MaxRecordsBytes) {
      Inflater.read(Part.data(), Part.size());
      Text.append(Part.data(), static_cast<std::size_t>(Inflater.gcount()));
    }
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
  if (Inflater.bad() || Text.size() > MaxRecordsBytes)
    return std::nullopt;
  return Text;
}

} // namespace

std::string encodeReports(const std::vector<mesh::NodeReport> &Reports) {
  wire::GossipMessage Message;
  Message.__set_news(listToWire<wire::NewsMessage>(Reports));
  return thriftcodec::encode(Message);
}

std::size_t encodedSize(const mesh::NodeReport &Report) {
  return thriftcodec::encode(toWire(Report)).size();
}

std::optional<std::vector<mesh::NodeReport>>
decodeReports(std::string_view Data) {
  const auto Message =
      thriftcodec::decode<wire::GossipMessage>(Data, 2 * MaxDatagramBytes);
  if (!Message)
    return std::nullopt;
  std::vector<mesh::NodeReport> Reports;
  Reports.reserve(Message->news.size());
  for (const wire::NewsMessage &Item : Message->news)
    Reports.push_back(fromWire(Item));
  return Reports;
}

std::string encodeRecords(const OperatorRecords &Records) {
  wire::OperatorItemsMessage Message;
  Message.__set_position(Records.Position.value());
  for (const auto &[Key, Record] : Records.Items) {
    wire::OperatorItemMessage Item;
    Item.__set_key(Key);
    Item.__set_value(Record.Value);
    Item.__set_offset(Record.At.value());
    Message.items.push_back(std::move(Item));
  }
  return deflate(thriftcodec::encode(Message));
}

std::optional<OperatorRecords> decodeRecords(std::string_view Data) {
  const auto Inflated = inflate(Data);
  if (!Inflated)
    return std::nullopt;
  const auto Message = thriftcodec::decode<wire::OperatorItemsMessage>(
      *Inflated, MaxRecordsBytes);
  if (!Message)
    return std::nullopt;
  OperatorRecords Records;
  Records.Position = Offset(Message->position);
  for (const wire::OperatorItemMessage &Item : Message->items)
    Records.Items[Item.key] = {Item.value, Offset(Item.offset)};
  return Records;
}

} // namespace lycheethread::sidecar
