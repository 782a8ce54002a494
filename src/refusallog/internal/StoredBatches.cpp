#include "refusallog/RefusalLog.h"

namespace lycheethread::refusallog {

namespace {

constexpr std::size_t RecordsPerRead = 64;

void decodeInto(StoredBatches &Result, const std::string &Data) {
  try {
    ZoneRecord Record = decodeZoneRecord(Data);
    for (refusals::RefusalBatch &Batch : Record.Batches)
      Result.Batches.push_back(std::move(Batch));
  } catch (const CodecError &) {
    ++Result.BadRecords;
  }
}

} // namespace

StoredBatches readStoredBatches(const streamlog::LogClient &Log) {
  const StreamName Stream(RefusalStream);
  StoredBatches Result;
  Offset From = Log.Bounds(Stream).First;
  while (true) {
    try {
      const streamlog::LogBatch Read =
          Log.Read(Stream, From, RecordsPerRead, Milliseconds(0));
      for (const streamlog::LogRecord &Record : Read.Records) {
        decodeInto(Result, Record.Data);
        From = Record.At.next();
      }
      if (Read.Records.empty() || Read.Bounds.Next <= From)
        return Result;
    } catch (const streamlog::LogTrimmed &Error) {
      // The report shows the trimmed batches as a gap.
      From = Error.kept().First;
    }
  }
}

} // namespace lycheethread::refusallog
