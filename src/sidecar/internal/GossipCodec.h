#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H

#include "mesh/Mesh.h"
#include "sidecar/types/OperatorRecords.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheethread::sidecar {

/// Size of a datagram that passes every link whole.
inline constexpr std::size_t MaxDatagramBytes = 1200;

/// Thrift compact encoding, see gossip.thrift.
std::string encodeReports(const std::vector<mesh::NodeReport> &News);

/// Bytes that one node's news take in a datagram.
std::size_t encodedSize(const mesh::NodeReport &News);

/// Nothing for a datagram that no node sent.
std::optional<std::vector<mesh::NodeReport>>
decodeReports(std::string_view Data);

std::string encodeRecords(const OperatorRecords &Records);
std::optional<OperatorRecords> decodeRecords(std::string_view Data);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIPCODEC_H
