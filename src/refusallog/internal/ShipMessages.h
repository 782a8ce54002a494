#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPMESSAGES_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPMESSAGES_H

#include "refusallog/types/ZoneRecord.h"

#include <optional>
#include <string>

namespace lycheethread::refusallog {

/// Topic of PeerControl calls to the collector.
inline constexpr const char *ShipTopic = "refusals";

/// What a collector knows of a batch.
enum class ShipState { Stored, Pending, Unknown, Busy };

/// A batch to store, or the question what became of one.
struct ShipRequest {
  refusals::BatchId Id;
  std::optional<refusals::RefusalBatch> Batch;
};

/// The decoders throw CodecError.
std::string encodeShipRequest(const ShipRequest &Request);
ShipRequest decodeShipRequest(const std::string &Data);
std::string encodeShipReply(ShipState State);
ShipState decodeShipReply(const std::string &Data);

/// Rough encoded size in bytes, without encoding.
std::size_t approximateBytes(const refusals::RefusalBatch &Batch);

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_SHIPMESSAGES_H
