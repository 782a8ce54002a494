#include "bootstrap/Bootstrap.h"
#include "records/Records.h"

namespace lycheethread::bootstrap {

namespace {

constexpr std::size_t RecordsPerRead = 100;
/// More than one restore may be needed, because the stream can be trimmed again
/// while a checkpoint is read.
constexpr int MaxRestores = 3;

void applyOrSkip(config::ConfigState &State, const streamlog::LogRecord &Item,
                 const Notice &Report) {
  try {
    config::foldRecord(State, Item.At, records::decodeRecord(Item.Data));
  } catch (const records::BadRecord &Error) {
    config::skipRecord(State, Item.At);
    Report("record " + std::to_string(Item.At.value()) +
           " has no effect: " + Error.what());
  }
}

streamlog::LogBatch readNext(const config::ConfigState &State,
                             const streamlog::LogClient &Log) {
  return Log.Read(controlStream(), State.Position, RecordsPerRead,
                  Milliseconds(0));
}

config::ConfigState restore(const streamlog::LogClient &Log,
                            streamlog::StreamBounds Kept,
                            const Notice &Report) {
  auto Found = findCheckpoint(Log, Kept.First, Kept.Next, Report);
  if (!Found)
    throw NoCheckpoint("the control stream starts at offset " +
                       std::to_string(Kept.First.value()) +
                       " and no complete checkpoint has that position or a "
                       "later one");
  return std::move(*Found);
}

} // namespace

const StreamName &controlStream() {
  static const StreamName Name("control");
  return Name;
}

void foldBatch(config::ConfigState &State, const streamlog::LogBatch &Batch,
               const Notice &Report) {
  for (const streamlog::LogRecord &Item : Batch.Records)
    applyOrSkip(State, Item, Report);
}

void foldToHead(config::ConfigState &State, const streamlog::LogClient &Log,
                const Notice &Report) {
  streamlog::LogBatch Batch = readNext(State, Log);
  const Offset Head = Batch.Bounds.Next;
  // A state ahead of the head was built from another log, or this log lost
  // data.
  if (State.Position > Head)
    throw streamlog::LogUnavailable(
        "the control stream ends at offset " + std::to_string(Head.value()) +
        ", before the position " + std::to_string(State.Position.value()));
  foldBatch(State, Batch, Report);
  while (State.Position < Head) {
    Batch = readNext(State, Log);
    if (Batch.Records.empty())
      throw streamlog::LogUnavailable("the control stream has no record at " +
                                      std::to_string(State.Position.value()));
    foldBatch(State, Batch, Report);
  }
}

config::ConfigState loadFromLog(const streamlog::LogClient &Log,
                                const Notice &Report) {
  config::ConfigState State;
  for (int Restores = 0; Restores <= MaxRestores; ++Restores) {
    try {
      foldToHead(State, Log, Report);
      return State;
    } catch (const streamlog::LogTrimmed &Error) {
      State = restore(Log, Error.kept(), Report);
    }
  }
  throw NoCheckpoint("the control stream is trimmed faster than it is read");
}

} // namespace lycheethread::bootstrap
