#ifndef LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H
#define LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H

/// Public header of the refusallog library: ships refusals to the log.

#include "kernel/Kernel.h"
#include "refusallog/types/RefusalStatus.h"
#include "refusallog/types/ZoneRecord.h"
#include "streamlog/types/LogClient.h"

namespace lycheethread::refusallog {

/// Registers Refusals of kernel::service_names and RefusalStatus under
/// StatusName. Needs Settings, Log, Peers and Members during init.
kernel::Module makeRefusalLogModule();

/// All batches that the stream still holds.
struct StoredBatches {
  std::vector<refusals::RefusalBatch> Batches;
  /// Records that could not be decoded.
  std::int64_t BadRecords = 0;
};

/// Reads the whole stream; throws streamlog::LogUnavailable.
StoredBatches readStoredBatches(const streamlog::LogClient &Log);

/// Throws CodecError.
std::string encodeZoneRecord(const ZoneRecord &Record);
ZoneRecord decodeZoneRecord(const std::string &Data);

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H
