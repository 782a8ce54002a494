#ifndef LYCHEETHREAD_REFUSALLOG_TYPES_ZONERECORD_H
#define LYCHEETHREAD_REFUSALLOG_TYPES_ZONERECORD_H

#include "refusals/Refusals.h"

#include <stdexcept>
#include <vector>

namespace lycheethread::refusallog {

/// Stream of the zone records.
inline constexpr const char *RefusalStream = "refusals";
/// Target maximum size of a zone record in bytes. A single larger batch is
/// still stored in one record.
inline constexpr std::size_t MaxRecordBytes = 256 * 1024;

/// Thrown when a message or record is invalid.
class CodecError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// One record of the stream: batches from nodes in one availability zone.
struct ZoneRecord {
  AvailabilityZone Zone;
  NodeId Collector;
  Incarnation IncarnationNumber;
  Sequence Number;
  std::vector<refusals::RefusalBatch> Batches;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_TYPES_ZONERECORD_H
