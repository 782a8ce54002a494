#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPMESSAGES_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPMESSAGES_H

#include "refusallog/types/ZoneRecord.h"

#include <optional>
#include <string>

namespace lycheethread::refusallog {

/// Topic of PeerControl calls to the collector.
inline constexpr const char *ShipTopic = "refusals";

/// State of a batch at a collector; Busy means that it was rejected because the
/// collector holds too much data.
enum class ShipState { Stored, Pending, Unknown, Busy };

/// Request to store a batch or, without a batch, to return the state of one.
struct ShipRequest {
  refusals::BatchId Id;
  std::optional<refusals::RefusalBatch> Batch;
};

/// The decoding functions throw CodecError.
std::string encodeShipRequest(const ShipRequest &Request);
ShipRequest decodeShipRequest(const std::string &Data);
std::string encodeShipReply(ShipState State);
ShipState decodeShipReply(const std::string &Data);

/// Returns the approximate encoded size in bytes without encoding the batch.
std::size_t approximateBytes(const refusals::RefusalBatch &Batch);

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPMESSAGES_H
