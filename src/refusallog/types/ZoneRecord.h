#ifndef LYCHEETHREAD_REFUSALLOG_TYPES_ZONERECORD_H
#define LYCHEETHREAD_REFUSALLOG_TYPES_ZONERECORD_H

#include "refusals/Refusals.h"

#include <stdexcept>
#include <vector>

namespace lycheethread::refusallog {

/// Stream that holds the zone records.
inline constexpr const char *RefusalStream = "refusals";
/// Wanted upper size of a zone record in bytes; a larger single batch still
/// goes into one record.
inline constexpr std::size_t MaxRecordBytes = 256 * 1024;

/// A message or record is not valid.
class CodecError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// One record of the stream: batches of an availability zone.
struct ZoneRecord {
  AvailabilityZone Zone;
  NodeId Collector;
  Incarnation IncarnationNumber;
  Sequence Number;
  std::vector<refusals::RefusalBatch> Batches;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_TYPES_ZONERECORD_H
