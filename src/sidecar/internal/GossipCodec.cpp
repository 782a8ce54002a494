#include "sidecar/internal/GossipCodec.h"
#include "thriftcodec/ThriftCodec.h"

#include <gossip_types.h>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>

namespace lycheethread::sidecar {

namespace {

/// The operator's configuration may hold many routes.
constexpr std::size_t MaxRecordsBytes = 16 * 1024 * 1024;
constexpr std::int32_t MaxPort = 65'535;
/// Fast; higher levels reduce the size only slightly further.
constexpr int DeflateLevel = 3;
constexpr double MilliPerUnit = 1000;

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

wire::JudgementMessage toWire(const mesh::Judgement &From) {
  wire::JudgementMessage To;
  To.__set_ageMs(From.Age.count());
  To.__set_step(From.StepLimit);
  To.__set_comparing(From.IsComparing);
  To.__set_passed(From.HasPassed);
  return To;
}

mesh::Judgement fromWire(const wire::JudgementMessage &From) {
  return {std::max(Milliseconds(0), Milliseconds(From.ageMs)), From.step,
          From.comparing, From.passed};
}

wire::RolloutMessage toWire(const mesh::RolloutReport &From) {
  wire::RolloutMessage To;
  To.__set_order(From.Order.value());
  To.__set_ageMs(From.Age.count());
  To.__set_condemned(From.IsNewVersionBad);
  To.__set_state(static_cast<std::int32_t>(From.State));
  if (From.Judged)
    To.__set_judged(toWire(*From.Judged));
  return To;
}

wire::RouteEvidenceMessage toWire(const mesh::RouteEvidence &From) {
  wire::RouteEvidenceMessage To;
  To.__set_route(From.Route.str());
  To.__set_good(From.Good);
  To.__set_bad(From.Bad);
  To.__set_timed(From.Timed);
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

std::int64_t toMilli(double PerSecond) {
  // Beyond this, no upstream notices the limit.
  constexpr double Most = 1e12;
  return std::llround(std::min(PerSecond * MilliPerUnit, Most));
}

/// Reads the limit of an upstream, whose absence means that there is none.
template <typename Wire>
void readLimit(const Wire &From, mesh::LoadReport &Into) {
  if (!From.__isset.limitMilli || From.limitMilli < 0)
    return;
  Into.LimitPerSecond = static_cast<double>(From.limitMilli) / MilliPerUnit;
  Into.PermitWait = Milliseconds(std::max<std::int64_t>(0, From.permitWaitMs));
}

wire::NewsMessage toWire(const mesh::NodeReport &From);
wire::BeatMessage toWire(const mesh::LoadBeat &From);
wire::AskMessage toWire(const QuotaAsk &From);
wire::GrantMessage toWire(const QuotaGrant &From);

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
  To.__set_state(From.State.value());
  if (From.Place > Offset())
    To.__set_place(From.Place.value());
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
  if (From.Load.LimitPerSecond) {
    To.__set_limitMilli(toMilli(*From.Load.LimitPerSecond));
    To.__set_permitWaitMs(From.Load.PermitWait.count());
  }
  To.__set_operatorPosition(From.OperatorPosition.value());
  if (From.ConfirmedAge)
    To.__set_confirmedAgeMs(From.ConfirmedAge->count());
  if (From.KeptRecords > 0)
    To.__set_keptRecords(From.KeptRecords);
  if (!From.Rollouts.empty())
    To.__set_rollouts(listToWire<wire::RolloutMessage>(From.Rollouts));
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

mesh::RolloutReport fromWire(const wire::RolloutMessage &From) {
  mesh::RolloutReport To{Offset(From.order), Milliseconds(From.ageMs),
                         From.condemned, rolloutStateFrom(From.state)};
  if (From.__isset.judged)
    To.Judged = fromWire(From.judged);
  return To;
}

mesh::NodeReport fromWire(const wire::NewsMessage &From) {
  mesh::NodeReport To;
  To.Id = NodeId(From.id);
  To.IncarnationNumber = Incarnation(From.life);
  To.Number = Sequence(From.number);
  To.State = Sequence(From.state);
  To.Place = Offset(From.place);
  To.At = {Region(From.region), AvailabilityZone(From.zone)};
  To.Hop = fromWire(From.hop);
  To.Gossip = fromWire(From.gossip);
  To.Ready = From.ready;
  To.Stopping = From.stopping;
  if (From.__isset.own)
    To.LocalUpstream = fromWire(From.own);
  To.Load.Running = From.running;
  To.Load.Waiting = From.waiting;
  To.Load.ServiceTime = Milliseconds(From.serviceTimeMs);
  To.Load.BodyWait = Milliseconds(From.bodyWaitMs);
  readLimit(From, To.Load);
  To.OperatorPosition = Offset(From.operatorPosition);
  if (From.__isset.confirmedAgeMs)
    To.ConfirmedAge = Milliseconds(From.confirmedAgeMs);
  To.KeptRecords = From.keptRecords;
  for (const wire::RolloutMessage &Item : From.rollouts)
    To.Rollouts.push_back(fromWire(Item));
  for (const wire::CrashMessage &Item : From.crashes)
    To.Crashes.push_back(
        {requests::Fingerprint(Item.fingerprint), requests::CrashId(Item.crash),
         Item.weight == 1 ? requests::SuspectWeight::Answered
                          : requests::SuspectWeight::NeverAnswered});
  return To;
}

std::int32_t saturated(Milliseconds Value) {
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(
      Value.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

wire::BeatMessage toWire(const mesh::LoadBeat &From) {
  wire::BeatMessage To;
  To.__set_node(From.Node.value());
  To.__set_state(From.State.value());
  To.__set_number(From.Number.value());
  // Numbers that are 0 are left out: most upstreams have no queue.
  if (From.Load.Running != 0)
    To.__set_running(From.Load.Running);
  if (From.Load.Waiting != 0)
    To.__set_waiting(From.Load.Waiting);
  if (From.Load.ServiceTime != Milliseconds(0))
    To.__set_serviceTimeMs(saturated(From.Load.ServiceTime));
  if (From.Load.BodyWait != Milliseconds(0))
    To.__set_bodyWaitMs(saturated(From.Load.BodyWait));
  if (From.Load.LimitPerSecond) {
    To.__set_limitMilli(toMilli(*From.Load.LimitPerSecond));
    To.__set_permitWaitMs(saturated(From.Load.PermitWait));
  }
  return To;
}

mesh::LoadBeat fromWire(const wire::BeatMessage &From) {
  mesh::LoadBeat To;
  To.Node = mesh::NodeKey(From.node);
  To.State = Sequence(From.state);
  To.Number = Sequence(From.number);
  To.Load.Running = From.running;
  To.Load.Waiting = From.waiting;
  To.Load.ServiceTime = Milliseconds(From.serviceTimeMs);
  To.Load.BodyWait = Milliseconds(From.bodyWaitMs);
  readLimit(From, To.Load);
  return To;
}

wire::AskMessage toWire(const QuotaAsk &From) {
  wire::AskMessage To;
  To.__set_node(From.Ask.Entry.str());
  To.__set_organisation(From.Organisation.str());
  To.__set_number(From.Ask.Number.value());
  To.__set_wanted(From.Ask.Wanted);
  if (From.Ask.Returning > 0)
    To.__set_returning(From.Ask.Returning);
  return To;
}

QuotaAsk fromWire(const wire::AskMessage &From) {
  return {
      organisations::OrganisationId(From.organisation),
      {NodeId(From.node), Sequence(From.number), From.wanted, From.returning}};
}

wire::GrantMessage toWire(const QuotaGrant &From) {
  wire::GrantMessage To;
  To.__set_organisation(From.Organisation.str());
  To.__set_number(From.Grant.Number.value());
  To.__set_permits(From.Grant.Permits);
  To.__set_retryMs(saturated(From.Grant.RetryDelay));
  if (From.Grant.ReturnDelay > Milliseconds(0))
    To.__set_returnMs(saturated(From.Grant.ReturnDelay));
  if (From.Grant.Places > 0) {
    To.__set_places(From.Grant.Places);
    To.__set_intervalMs(saturated(From.Grant.PlaceInterval));
  }
  return To;
}

QuotaGrant fromWire(const wire::GrantMessage &From) {
  return {organisations::OrganisationId(From.organisation),
          {Sequence(From.number), From.permits,
           Milliseconds(std::max(0, From.retryMs)), From.places,
           Milliseconds(std::max(0, From.returnMs)),
           Milliseconds(std::max(0, From.intervalMs))}};
}

wire::EvidenceMessage toWire(const mesh::EvidenceReport &From) {
  wire::EvidenceMessage To;
  To.__set_node(From.Node.str());
  To.__set_life(From.IncarnationNumber.value());
  To.__set_order(From.Order.value());
  To.__set_routes(listToWire<wire::RouteEvidenceMessage>(From.Routes));
  return To;
}

mesh::EvidenceReport fromWire(const wire::EvidenceMessage &From) {
  mesh::EvidenceReport To{
      NodeId(From.node), Incarnation(From.life), Offset(From.order), {}};
  for (const wire::RouteEvidenceMessage &Item : From.routes)
    To.Routes.push_back(
        {RouteName(Item.route), std::max(0, Item.good), std::max(0, Item.bad),
         std::max(0, Item.timed),
         std::max(Milliseconds(0), Milliseconds(Item.totalTimeMs))});
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

std::string encodeGossip(const GossipMessage &Message) {
  wire::GossipMessage To;
  To.__set_news(listToWire<wire::NewsMessage>(Message.Reports));
  if (!Message.Beats.empty())
    To.__set_beats(listToWire<wire::BeatMessage>(Message.Beats));
  for (const mesh::NodeKey Key : Message.Wanted)
    To.wanted.push_back(Key.value());
  To.__isset.wanted = !To.wanted.empty();
  if (!Message.Asks.empty())
    To.__set_asks(listToWire<wire::AskMessage>(Message.Asks));
  if (!Message.Grants.empty())
    To.__set_grants(listToWire<wire::GrantMessage>(Message.Grants));
  if (Message.Evidence)
    To.__set_evidence(toWire(*Message.Evidence));
  return thriftcodec::encode(To);
}

std::size_t encodedSize(const mesh::NodeReport &Report) {
  return thriftcodec::encode(toWire(Report)).size();
}

std::size_t encodedRouteSize(const mesh::RouteEvidence &Route) {
  return thriftcodec::encode(toWire(Route)).size();
}

std::optional<GossipMessage> decodeGossip(std::string_view Data) {
  const auto Read =
      thriftcodec::decode<wire::GossipMessage>(Data, MaxReadableBytes);
  if (!Read)
    return std::nullopt;
  GossipMessage Message;
  for (const wire::NewsMessage &Item : Read->news)
    Message.Reports.push_back(fromWire(Item));
  for (const wire::BeatMessage &Item : Read->beats)
    Message.Beats.push_back(fromWire(Item));
  for (const std::int64_t Key : Read->wanted)
    Message.Wanted.emplace_back(Key);
  for (const wire::AskMessage &Item : Read->asks)
    Message.Asks.push_back(fromWire(Item));
  for (const wire::GrantMessage &Item : Read->grants)
    Message.Grants.push_back(fromWire(Item));
  if (Read->__isset.evidence)
    Message.Evidence = fromWire(Read->evidence);
  return Message;
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
