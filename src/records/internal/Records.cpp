#include "records/Records.h"

#include <records_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace lycheethread::records {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

/// Records have no lists. The limit only bounds containers in fields of later
/// versions, which are skipped.
constexpr std::int32_t MaxElements = 1024;

/// Values of MoveEnd.outcome in records.thrift.
constexpr std::int32_t OutcomeFinished = 1;
constexpr std::int32_t OutcomeUndone = 2;

void checkLimit(const std::string &Text, std::size_t Limit, const char *Name) {
  if (Text.size() > Limit)
    throw BadRecord(std::string(Name) + " has " + std::to_string(Text.size()) +
                    " bytes, at most " + std::to_string(Limit) +
                    " are allowed");
}

void checkName(const std::string &Text, const char *Name) {
  if (Text.empty())
    throw BadRecord(std::string(Name) + " is empty");
  checkLimit(Text, MaxRecordNameBytes, Name);
}

void checkNote(const std::string &Text, const char *Name) {
  checkLimit(Text, MaxRecordNoteBytes, Name);
}

void checkBody(const PublishRecord &Body) {
  checkName(Body.Service.str(), "service");
  checkLimit(Body.Text, MaxIniBytes, "document");
}

void checkBody(const LeaseRecord &Body) {
  checkName(Body.Subject.str(), "lease subject");
  checkName(Body.Holder.str(), "lease holder");
}

void checkBody(const MoveStepRecord &Body) {
  checkName(Body.Move.str(), "move");
  checkNote(Body.Evidence, "evidence");
}

void checkBody(const MoveEndRecord &Body) {
  checkName(Body.Move.str(), "move");
  checkNote(Body.Reason, "reason");
  checkNote(Body.Evidence, "evidence");
}

void checkBody(const CheckpointNotice &Body) {
  checkName(Body.Digest, "digest");
}

void checkRecord(const Record &Item) {
  checkName(Item.Header.Writer.str(), "writer");
  std::visit([](const auto &Body) { checkBody(Body); }, Item.Body);
}

gen::Header toGen(const RecordHeader &From) {
  gen::Header To;
  To.writer = From.Writer.str();
  To.incarnation = From.IncarnationNumber.value();
  To.sequence = From.Number.value();
  To.writtenAtMs = From.WrittenAt.value();
  return To;
}

void setBody(gen::Record &To, const PublishRecord &From) {
  gen::Publish Body;
  Body.serviceName = From.Service.str();
  Body.buildsOn = From.BaseRevision.value();
  Body.text = From.Text;
  To.__set_publish(Body);
}

void setBody(gen::Record &To, const LeaseRecord &From) {
  gen::Lease Body;
  Body.subject = From.Subject.str();
  Body.holder = From.Holder.str();
  Body.epoch = From.Generation.value();
  Body.lengthMs = From.Length.count();
  To.__set_lease(Body);
}

void setBody(gen::Record &To, const MoveStepRecord &From) {
  gen::MoveStep Body;
  Body.move = From.Move.str();
  Body.epoch = From.Generation.value();
  Body.sharePermille = From.Share.value();
  Body.evidence = From.Evidence;
  To.__set_moveStep(Body);
}

void setBody(gen::Record &To, const MoveEndRecord &From) {
  gen::MoveEnd Body;
  Body.move = From.Move.str();
  Body.epoch = From.Generation.value();
  Body.outcome =
      From.Outcome == MoveOutcome::Finished ? OutcomeFinished : OutcomeUndone;
  Body.reason = From.Reason;
  Body.evidence = From.Evidence;
  To.__set_moveEnd(Body);
}

void setBody(gen::Record &To, const CheckpointNotice &From) {
  gen::CheckpointNotice Body;
  Body.position = From.Position.value();
  Body.firstPart = From.FirstPart.value();
  Body.parts = From.Parts;
  Body.digest = From.Digest;
  To.__set_checkpointNotice(Body);
}

RecordHeader fromGen(const gen::Header &From) {
  return {NodeId(From.writer), Incarnation(From.incarnation),
          Sequence(From.sequence), WallTime(From.writtenAtMs)};
}

PublishRecord fromGen(const gen::Publish &From) {
  return {ServiceName(From.serviceName), Revision(From.buildsOn), From.text};
}

LeaseRecord fromGen(const gen::Lease &From) {
  return {LeaseSubject(From.subject), NodeId(From.holder), Epoch(From.epoch),
          Milliseconds(From.lengthMs)};
}

MoveStepRecord fromGen(const gen::MoveStep &From) {
  return {MoveId(From.move), Epoch(From.epoch), Permille(From.sharePermille),
          From.evidence};
}

MoveOutcome outcomeFrom(std::int32_t Value) {
  if (Value == OutcomeFinished)
    return MoveOutcome::Finished;
  if (Value == OutcomeUndone)
    return MoveOutcome::Undone;
  throw BadRecord("unknown outcome " + std::to_string(Value));
}

MoveEndRecord fromGen(const gen::MoveEnd &From) {
  return {MoveId(From.move), Epoch(From.epoch), outcomeFrom(From.outcome),
          From.reason, From.evidence};
}

CheckpointNotice fromGen(const gen::CheckpointNotice &From) {
  return {Offset(From.position), Offset(From.firstPart), From.parts,
          From.digest};
}

int countBodies(const gen::Record &From) {
  const auto &Set = From.__isset;
  return int(Set.publish) + int(Set.lease) + int(Set.moveStep) +
         int(Set.moveEnd) + int(Set.checkpointNotice);
}

RecordBody bodyOf(const gen::Record &From) {
  if (countBodies(From) != 1)
    throw BadRecord("the record has " + std::to_string(countBodies(From)) +
                    " known bodies instead of one");
  if (From.__isset.publish)
    return fromGen(From.publish);
  if (From.__isset.lease)
    return fromGen(From.lease);
  if (From.__isset.moveStep)
    return fromGen(From.moveStep);
  if (From.__isset.moveEnd)
    return fromGen(From.moveEnd);
  return fromGen(From.checkpointNotice);
}

std::shared_ptr<TMemoryBuffer> bufferOver(const std::string &Data) {
  // The buffer only reads the bytes, but its constructor takes a non-const
  // pointer.
  auto *Bytes = const_cast<std::uint8_t *>(
      reinterpret_cast<const std::uint8_t *>(Data.data()));
  return std::make_shared<TMemoryBuffer>(
      Bytes, static_cast<std::uint32_t>(Data.size()));
}

gen::Record readGen(const std::string &Data) {
  const auto Buffer = bufferOver(Data);
  Protocol Reader(Buffer, static_cast<std::int32_t>(MaxIniBytes), MaxElements);
  gen::Record Read;
  try {
    Read.read(&Reader);
  } catch (const apache::thrift::TException &Error) {
    throw BadRecord(std::string("malformed record: ") + Error.what());
  }
  if (Buffer->available_read() != 0)
    throw BadRecord(std::to_string(Buffer->available_read()) +
                    " bytes follow the record");
  return Read;
}

} // namespace

std::string encodeRecord(const Record &Item) {
  checkRecord(Item);
  gen::Record Written;
  Written.header = toGen(Item.Header);
  std::visit([&](const auto &Body) { setBody(Written, Body); }, Item.Body);
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  Protocol Writer(Buffer);
  Written.write(&Writer);
  return Buffer->getBufferAsString();
}

Record decodeRecord(const std::string &Data) {
  if (Data.size() > MaxRecordBytes)
    throw BadRecord("the record has " + std::to_string(Data.size()) +
                    " bytes, at most " + std::to_string(MaxRecordBytes) +
                    " are allowed");
  const gen::Record Read = readGen(Data);
  Record Item{fromGen(Read.header), bodyOf(Read)};
  checkRecord(Item);
  return Item;
}

} // namespace lycheethread::records
