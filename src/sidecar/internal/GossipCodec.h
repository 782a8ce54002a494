#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H

#include "mesh/Mesh.h"
#include "sidecar/types/OperatorRecords.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheethread::sidecar {

/// Size of a datagram that no link fragments.
inline constexpr std::size_t MaxDatagramBytes = 1200;

/// Thrift compact encoding, see gossip.thrift.
std::string encodeReports(const std::vector<mesh::NodeReport> &Reports);

/// Returns the size of one encoded node report.
std::size_t encodedSize(const mesh::NodeReport &Report);

/// Returns nothing if the data is not a valid gossip message.
std::optional<std::vector<mesh::NodeReport>>
decodeReports(std::string_view Data);

std::string encodeRecords(const OperatorRecords &Records);
std::optional<OperatorRecords> decodeRecords(std::string_view Data);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H
