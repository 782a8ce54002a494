#include "refusallog/internal/ShipMessages.h"

#include "refusallog/RefusalLog.h"

#include <refusals_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <limits>
#include <memory>

namespace lycheethread::refusallog {

namespace {

namespace thrift = apache::thrift;
using refusals::BatchId;
using refusals::RefusalBatch;
using refusals::RefusalCount;
using refusals::RefusalKey;

constexpr int LastReason = static_cast<int>(RefusalReason::NotReady);
constexpr int LastExecuted = static_cast<int>(Executed::Unknown);
constexpr int LastClass = static_cast<int>(RequestClass::Upload);
/// Maximum number of entries in a batch: own keys, other keys, and one entry
/// for each pair of reason and execution status.
constexpr std::size_t MaxEntries = refusals::MaxCallerKeys +
                                   refusals::MaxOverflowKeys +
                                   (LastReason + 1) * (LastExecuted + 1);

template <typename Message> std::string encode(const Message &Item) {
  const auto Buffer = std::make_shared<thrift::transport::TMemoryBuffer>();
  thrift::protocol::TCompactProtocol Protocol(Buffer);
  Item.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename Message> Message decode(const std::string &Data) {
  if (Data.size() > std::numeric_limits<std::uint32_t>::max())
    throw CodecError("message too large");
  // With the size of the data as the limit, the transport refuses a longer list
  // or string before it allocates memory.
  const auto Limits = std::make_shared<thrift::TConfiguration>(
      static_cast<int>(Data.size()) + 1);
  const auto Buffer = std::make_shared<thrift::transport::TMemoryBuffer>(
      // NOLINTNEXTLINE: the transport only reads in OBSERVE mode
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Data.data())),
      static_cast<std::uint32_t>(Data.size()),
      thrift::transport::TMemoryBuffer::OBSERVE, Limits);
  const auto Length = static_cast<std::int32_t>(Data.size());
  thrift::protocol::TCompactProtocolT<thrift::transport::TMemoryBuffer>
      Protocol(Buffer, Length, Length);
  Message Item;
  try {
    Item.read(&Protocol);
  } catch (const thrift::TException &Error) {
    throw CodecError(std::string("not a valid message: ") + Error.what());
  }
  return Item;
}

template <typename Enum>
Enum enumFrom(std::int32_t Value, int Last, const char *Name) {
  if (Value < 0 || Value > Last)
    throw CodecError(std::string(Name) + " " + std::to_string(Value) +
                     " is outside 0 to " + std::to_string(Last));
  return static_cast<Enum>(Value);
}

gen::BatchKey toWire(const BatchId &Id) {
  gen::BatchKey Wire;
  Wire.__set_node(Id.Node.str());
  Wire.__set_life(Id.IncarnationNumber.value());
  Wire.__set_number(Id.Number.value());
  return Wire;
}

BatchId fromWire(const gen::BatchKey &Wire) {
  return {NodeId(Wire.node), Incarnation(Wire.life), Sequence(Wire.number)};
}

gen::CountEntry toWire(const RefusalKey &Key, const RefusalCount &Count) {
  gen::CountEntry Wire;
  Wire.__set_caller(Key.Caller.str());
  Wire.__set_service_name(Key.Service.str());
  Wire.__set_route(Key.Route.str());
  Wire.__set_reason(static_cast<std::int32_t>(Key.Reason));
  Wire.__set_executed(static_cast<std::int32_t>(Key.ExecutionStatus));
  Wire.__set_request_class(static_cast<std::int32_t>(Count.Class));
  Wire.__set_count(Count.Count);
  Wire.__set_first(Count.First.value());
  Wire.__set_last(Count.Last.value());
  Wire.__set_config_position(Count.ConfigPosition.value());
  for (const RefusalId &Sample : Count.Samples)
    Wire.samples.push_back(Sample.str());
  return Wire;
}

RefusalKey keyFrom(const gen::CountEntry &Wire) {
  return {CallerId(Wire.caller), ServiceName(Wire.service_name),
          RouteName(Wire.route),
          enumFrom<RefusalReason>(Wire.reason, LastReason, "reason"),
          enumFrom<Executed>(Wire.executed, LastExecuted, "executed")};
}

RefusalCount countFrom(const gen::CountEntry &Wire) {
  if (Wire.count <= 0 || Wire.samples.size() > refusals::MaxSamples)
    throw CodecError("entry with an invalid count or too many samples");
  RefusalCount Count;
  Count.Count = Wire.count;
  Count.First = WallTime(Wire.first);
  Count.Last = WallTime(Wire.last);
  Count.Class =
      enumFrom<RequestClass>(Wire.request_class, LastClass, "request class");
  Count.ConfigPosition = Offset(Wire.config_position);
  for (const std::string &Sample : Wire.samples)
    Count.Samples.emplace_back(Sample);
  return Count;
}

gen::Batch toWire(const RefusalBatch &Batch) {
  gen::Batch Wire;
  Wire.__set_id(toWire(Batch.Id));
  Wire.__set_interval_from(Batch.From.value());
  Wire.__set_interval_to(Batch.To.value());
  Wire.__set_total_before(Batch.TotalBefore);
  Wire.__set_total(Batch.Total);
  Wire.__set_is_final(Batch.Final);
  for (const auto &[Key, Count] : Batch.Counts)
    Wire.entries.push_back(toWire(Key, Count));
  return Wire;
}

RefusalBatch fromWire(const gen::Batch &Wire) {
  if (Wire.entries.size() > MaxEntries)
    throw CodecError("batch with more than " + std::to_string(MaxEntries) +
                     " entries");
  RefusalBatch Batch;
  Batch.Id = fromWire(Wire.id);
  Batch.From = WallTime(Wire.interval_from);
  Batch.To = WallTime(Wire.interval_to);
  Batch.TotalBefore = Wire.total_before;
  Batch.Total = Wire.total;
  Batch.Final = Wire.is_final;
  std::int64_t Sum = 0;
  for (const gen::CountEntry &Entry : Wire.entries) {
    Sum += Entry.count;
    if (!Batch.Counts.emplace(keyFrom(Entry), countFrom(Entry)).second)
      throw CodecError("batch with a duplicate key");
  }
  if (Sum != Batch.Total)
    throw CodecError("batch whose total differs from the sum of its entries");
  return Batch;
}

} // namespace

std::string encodeShipRequest(const ShipRequest &Request) {
  gen::ShipRequest Wire;
  Wire.__set_id(toWire(Request.Id));
  if (Request.Batch)
    Wire.__set_batch(toWire(*Request.Batch));
  return encode(Wire);
}

ShipRequest decodeShipRequest(const std::string &Data) {
  const auto Wire = decode<gen::ShipRequest>(Data);
  ShipRequest Request;
  Request.Id = fromWire(Wire.id);
  if (Wire.__isset.batch)
    Request.Batch = fromWire(Wire.batch);
  if (Request.Batch && !(Request.Batch->Id == Request.Id))
    throw CodecError("request whose id differs from the id of its batch");
  return Request;
}

std::string encodeShipReply(ShipState State) {
  gen::ShipAnswer Wire;
  Wire.__set_state(static_cast<gen::ShipState::type>(State));
  return encode(Wire);
}

ShipState decodeShipReply(const std::string &Data) {
  const auto Wire = decode<gen::ShipAnswer>(Data);
  return enumFrom<ShipState>(Wire.state, static_cast<int>(ShipState::Busy),
                             "state");
}

std::string encodeZoneRecord(const ZoneRecord &Record) {
  gen::ZoneRecord Wire;
  Wire.__set_zone(Record.Zone.str());
  Wire.__set_collector(Record.Collector.str());
  Wire.__set_life(Record.IncarnationNumber.value());
  Wire.__set_number(Record.Number.value());
  for (const RefusalBatch &Batch : Record.Batches)
    Wire.batches.push_back(toWire(Batch));
  return encode(Wire);
}

ZoneRecord decodeZoneRecord(const std::string &Data) {
  const auto Wire = decode<gen::ZoneRecord>(Data);
  ZoneRecord Record;
  Record.Zone = AvailabilityZone(Wire.zone);
  Record.Collector = NodeId(Wire.collector);
  Record.IncarnationNumber = Incarnation(Wire.life);
  Record.Number = Sequence(Wire.number);
  for (const gen::Batch &Batch : Wire.batches)
    Record.Batches.push_back(fromWire(Batch));
  return Record;
}

std::size_t approximateBytes(const RefusalBatch &Batch) {
  constexpr std::size_t HeaderBytes = 64;
  constexpr std::size_t EntryBytes = 40;
  std::size_t Sum = HeaderBytes + Batch.Id.Node.str().size();
  for (const auto &[Key, Count] : Batch.Counts) {
    Sum += EntryBytes + Key.Caller.str().size() + Key.Service.str().size() +
           Key.Route.str().size();
    for (const RefusalId &Sample : Count.Samples)
      Sum += Sample.str().size() + 1;
  }
  return Sum;
}

} // namespace lycheethread::refusallog
