#ifndef LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H
#define LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H

/// Public header of the refusallog library: sends the refusals of this node to
/// the log and reads them from there.

#include "kernel/Kernel.h"
#include "refusallog/types/RefusalStatus.h"
#include "refusallog/types/ZoneRecord.h"
#include "streamlog/types/LogClient.h"

namespace lycheethread::refusallog {

/// Creates the module, which registers kernel::service_names::Refusals and,
/// under StatusName, a RefusalStatus. Its init needs Settings, Log, Peers and
/// Members.
kernel::Module makeRefusalLogModule();

/// All batches that the stream still contains.
struct StoredBatches {
  std::vector<refusals::RefusalBatch> Batches;
  /// Number of records that could not be decoded.
  std::int64_t BadRecords = 0;
};

/// Reads the whole stream. Throws streamlog::LogUnavailable.
StoredBatches readStoredBatches(const streamlog::LogClient &Log);

std::string encodeZoneRecord(const ZoneRecord &Record);

/// Throws CodecError.
ZoneRecord decodeZoneRecord(const std::string &Data);

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H
