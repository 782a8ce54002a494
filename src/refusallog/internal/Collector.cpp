#include "refusallog/internal/Collector.h"

#include "refusallog/RefusalLog.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>

namespace lycheethread::refusallog {

namespace {

using refusals::BatchId;
using refusals::RefusalBatch;
using streamlog::LogBatch;
using streamlog::LogClient;

/// Limit of the batches held while the log is unavailable: 64 KiB for each node
/// in a zone of 125 nodes.
constexpr std::size_t MaxHeldBytes = 8 * 1024 * 1024;
/// Maximum number of nodes whose last stored batch is recorded. A lost entry
/// costs one duplicate append, which the report counts once.
constexpr std::size_t MaxStoredBatches = 4096;
constexpr std::size_t ReadBackRecords = 16;
constexpr int MaxRecordsPerStep = 8;

/// Last batch of a node that was read back from the log.
struct StoredBatch {
  Incarnation IncarnationNumber;
  Sequence Number;
};

/// The record that is being appended and read back.
struct OpenRecord {
  std::string Data;
  std::vector<RefusalBatch> Batches;
  /// The record is at this offset or a later one.
  Offset From;
  bool AppendTried = false;
};

bool holds(const std::vector<RefusalBatch> &Batches, const BatchId &Id) {
  return std::any_of(Batches.begin(), Batches.end(),
                     [&Id](const RefusalBatch &Each) { return Each.Id == Id; });
}

} // namespace

struct Collector::Impl {
  LogClient Log;
  AvailabilityZone Zone;
  NodeId Self;
  Incarnation IncarnationNumber;
  const StreamName Stream{RefusalStream};

  mutable std::mutex Lock;
  std::vector<RefusalBatch> Waiting;
  std::size_t HeldBytes = 0;
  std::map<NodeId, StoredBatch> Stored;
  std::optional<OpenRecord> Open;
  Sequence NextRecord{1};

  /// Lowest offset that a new record can get; unknown until the first read.
  /// Used only by step().
  std::optional<Offset> Head;

  ShipState stateWithLock(const BatchId &Id) const;
  bool openNextRecord();
  void closeOpenRecord();
  bool findOpenRecord();
  void appendOpenRecord();
};

ShipState Collector::Impl::stateWithLock(const BatchId &Id) const {
  // A node sends a batch only after the previous one is stored, so a stored
  // number implies that all lower numbers are stored.
  const auto It = Stored.find(Id.Node);
  if (It != Stored.end() &&
      It->second.IncarnationNumber == Id.IncarnationNumber &&
      Id.Number <= It->second.Number)
    return ShipState::Stored;
  if (holds(Waiting, Id) || (Open && holds(Open->Batches, Id)))
    return ShipState::Pending;
  return ShipState::Unknown;
}

/// Opens the next record with as many waiting batches as fit, unless a record
/// is still open. Returns whether a record is open.
bool Collector::Impl::openNextRecord() {
  const std::lock_guard<std::mutex> Guard(Lock);
  if (Open)
    return true;
  if (Waiting.empty())
    return false;
  std::size_t Bytes = 0;
  auto End = Waiting.begin();
  do
    Bytes += approximateBytes(*End++);
  while (End != Waiting.end() &&
         Bytes + approximateBytes(*End) <= MaxRecordBytes);
  ZoneRecord Record{
      Zone, Self, IncarnationNumber, NextRecord, {Waiting.begin(), End}};
  NextRecord = NextRecord.next();
  Waiting.erase(Waiting.begin(), End);
  Open.emplace();
  Open->Data = encodeZoneRecord(Record);
  Open->Batches = std::move(Record.Batches);
  return true;
}

void Collector::Impl::closeOpenRecord() {
  const std::lock_guard<std::mutex> Guard(Lock);
  if (Stored.size() >= MaxStoredBatches)
    Stored.clear();
  for (const RefusalBatch &Batch : Open->Batches) {
    HeldBytes -= approximateBytes(Batch);
    StoredBatch &Known = Stored[Batch.Id.Node];
    if (Known.IncarnationNumber < Batch.Id.IncarnationNumber)
      Known = {Batch.Id.IncarnationNumber, Batch.Id.Number};
    else if (Known.IncarnationNumber == Batch.Id.IncarnationNumber)
      Known.Number = std::max(Known.Number, Batch.Id.Number);
  }
  Open.reset();
}

/// Reads from Open->From to the head of the stream. Returns whether the open
/// record was found.
bool Collector::Impl::findOpenRecord() {
  try {
    while (true) {
      const LogBatch Read =
          Log.Read(Stream, Open->From, ReadBackRecords, Milliseconds(0));
      for (const streamlog::LogRecord &Record : Read.Records) {
        Open->From = Record.At.next();
        Head = Open->From;
        if (Record.Data == Open->Data)
          return true;
      }
      if (Read.Records.empty() || Read.Bounds.Next <= Open->From)
        return false;
    }
  } catch (const streamlog::LogTrimmed &Error) {
    // The record may have been trimmed, so it is appended again. The report
    // counts its batches once.
    Open->From = Error.kept().First;
    return false;
  }
}

void Collector::Impl::appendOpenRecord() {
  if (!Head)
    Head = Log.Bounds(Stream).Next;
  if (!Open->AppendTried)
    Open->From = *Head;
  Open->AppendTried = true;
  const Offset At = Log.Append(Stream, Open->Data);
  Open->From = std::max(Open->From, At);
}

Collector::Collector(LogClient Log, AvailabilityZone Zone, NodeId Self,
                     Incarnation IncarnationNumber)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Log = std::move(Log);
  Impl_->Zone = std::move(Zone);
  Impl_->Self = std::move(Self);
  Impl_->IncarnationNumber = IncarnationNumber;
}

Collector::~Collector() = default;

ShipState Collector::accept(const RefusalBatch &Batch) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  const ShipState Known = Impl_->stateWithLock(Batch.Id);
  if (Known != ShipState::Unknown)
    return Known;
  const std::size_t Bytes = approximateBytes(Batch);
  if (Impl_->HeldBytes + Bytes > MaxHeldBytes)
    return ShipState::Busy;
  Impl_->HeldBytes += Bytes;
  Impl_->Waiting.push_back(Batch);
  return ShipState::Pending;
}

ShipState Collector::stateOf(const BatchId &Id) const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return Impl_->stateWithLock(Id);
}

bool Collector::step() {
  for (int Record = 0; Record < MaxRecordsPerStep; ++Record) {
    if (!Impl_->openNextRecord())
      return true;
    const bool SeenBefore = Impl_->Open->AppendTried && Impl_->findOpenRecord();
    if (!SeenBefore) {
      Impl_->appendOpenRecord();
      if (!Impl_->findOpenRecord())
        return false;
    }
    Impl_->closeOpenRecord();
  }
  return false;
}

} // namespace lycheethread::refusallog
