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

/// Batches held while the log is away; a zone of 125 nodes with 64 KiB each.
constexpr std::size_t MaxHeldBytes = 8 * 1024 * 1024;
/// Nodes whose last stored batch is remembered. Forgetting costs one repeated
/// append, which the report counts once.
constexpr std::size_t MaxMarks = 4096;
constexpr std::size_t ReadBackRecords = 16;
constexpr int MaxRecordsInStep = 8;

/// Last batch of a node that is in the log.
struct Mark {
  Incarnation IncarnationNumber;
  Sequence Number;
};

/// A record on its way: appended at least once, or about to be.
struct OpenRecord {
  std::string Data;
  std::vector<RefusalBatch> Batches;
  /// The record is not below this offset.
  Offset From;
  bool Tried = false;
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
  std::map<NodeId, Mark> Stored;
  std::optional<OpenRecord> Open;
  Sequence NextRecord{1};

  /// First offset that a new record can get; unknown until the first read.
  /// Used by step alone.
  std::optional<Offset> Head;

  ShipState stateLocked(const BatchId &Id) const;
  bool openNext();
  void closeOpen();
  bool findOpen();
  void appendOpen();
};

ShipState Collector::Impl::stateLocked(const BatchId &Id) const {
  // A node takes its next batch only once the one before is stored, so a
  // stored number implies all lower ones.
  const auto It = Stored.find(Id.Node);
  if (It != Stored.end() &&
      It->second.IncarnationNumber == Id.IncarnationNumber &&
      Id.Number <= It->second.Number)
    return ShipState::Stored;
  if (holds(Waiting, Id) || (Open && holds(Open->Batches, Id)))
    return ShipState::Pending;
  return ShipState::Unknown;
}

/// Moves as many waiting batches as fit into the next record.
bool Collector::Impl::openNext() {
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

void Collector::Impl::closeOpen() {
  const std::lock_guard<std::mutex> Guard(Lock);
  if (Stored.size() >= MaxMarks)
    Stored.clear();
  for (const RefusalBatch &Batch : Open->Batches) {
    HeldBytes -= approximateBytes(Batch);
    Mark &Known = Stored[Batch.Id.Node];
    if (Known.IncarnationNumber < Batch.Id.IncarnationNumber)
      Known = {Batch.Id.IncarnationNumber, Batch.Id.Number};
    else if (Known.IncarnationNumber == Batch.Id.IncarnationNumber)
      Known.Number = std::max(Known.Number, Batch.Id.Number);
  }
  Open.reset();
}

/// Reads from Open->From to the head of the stream.
bool Collector::Impl::findOpen() {
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
    // A record that may have been trimmed is appended again; the report counts
    // its batches once.
    Open->From = Error.kept().First;
    return false;
  }
}

void Collector::Impl::appendOpen() {
  if (!Head)
    Head = Log.Bounds(Stream).Next;
  if (!Open->Tried)
    Open->From = *Head;
  Open->Tried = true;
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
  const ShipState Known = Impl_->stateLocked(Batch.Id);
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
  return Impl_->stateLocked(Id);
}

bool Collector::step() {
  for (int Record = 0; Record < MaxRecordsInStep; ++Record) {
    if (!Impl_->openNext())
      return true;
    const bool SeenBefore = Impl_->Open->Tried && Impl_->findOpen();
    if (!SeenBefore) {
      Impl_->appendOpen();
      if (!Impl_->findOpen())
        return false;
    }
    Impl_->closeOpen();
  }
  return false;
}

} // namespace lycheethread::refusallog
