#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H

#include "mesh/Mesh.h"
#include "quota/Quota.h"
#include "sidecar/types/OperatorRecords.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheethread::sidecar {

/// Size of a datagram that no link fragments. Loads are estimated, so a
/// datagram may be slightly longer.
inline constexpr std::size_t MaxDatagramBytes = 1200;
/// Longer datagrams are neither sent nor read.
inline constexpr std::size_t MaxReadableBytes = 2 * MaxDatagramBytes;
/// Bytes of a datagram around its reports and loads.
inline constexpr std::size_t FrameBytes = 16;
/// Size of a node report. A datagram with a report of this size has room to
/// forward another one, which composeGossip() gives half of what is left.
inline constexpr std::size_t MaxReportBytes =
    (MaxDatagramBytes - FrameBytes) / 3;

/// Size of an encoded load; few are longer.
inline constexpr std::size_t UsualBeatBytes = 20;
/// The same with the limit of an upstream.
inline constexpr std::size_t LimitedBeatBytes = 28;

/// Asks the owner of an organisation's quota for permits.
struct QuotaAsk {
  organisations::OrganisationId Organisation;
  quota::PermitAsk Ask;
};

struct QuotaGrant {
  organisations::OrganisationId Organisation;
  quota::PermitGrant Grant;
};

/// The content of one datagram.
struct GossipMessage {
  /// The first one is that of the sender. Empty in a datagram with asks,
  /// grants or evidence.
  std::vector<mesh::NodeReport> Reports;
  std::vector<mesh::LoadBeat> Beats;
  /// Nodes whose report the sender lacks.
  std::vector<mesh::NodeKey> Wanted;
  std::vector<QuotaAsk> Asks = {};
  std::vector<QuotaGrant> Grants = {};
  std::optional<mesh::EvidenceReport> Evidence = std::nullopt;
};

/// Thrift compact encoding, see gossip.thrift.
std::string encodeGossip(const GossipMessage &Message);

/// Returns the size of one encoded node report.
std::size_t encodedSize(const mesh::NodeReport &Report);

/// Returns the size of one encoded route in an evidence report.
std::size_t encodedRouteSize(const mesh::RouteEvidence &Route);

/// Returns nothing if the data is not a valid gossip message.
std::optional<GossipMessage> decodeGossip(std::string_view Data);

std::string encodeRecords(const OperatorRecords &Records);
std::optional<OperatorRecords> decodeRecords(std::string_view Data);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H
