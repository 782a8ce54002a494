#ifndef LYCHEETHREAD_PEER_INTERNAL_FRAMES_H
#define LYCHEETHREAD_PEER_INTERNAL_FRAMES_H

#include "model/Model.h"

#include <Poco/Net/StreamSocket.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <memory>
#include <string>

namespace lycheethread::peer {

/// Largest frame of a request, and of a reply other than a snapshot.
inline constexpr std::size_t MaxFrameBytes = 1536 * 1024;
inline constexpr std::size_t MaxSnapshotBytes = 16 * 1024 * 1024;
/// Size of the length field of a frame.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Reads one Thrift frame of at most \p MaxBytes. Its first byte must arrive
/// before \p FirstByteDeadline, the rest within \p RestTimeout. Returns false
/// if the connection was closed before the first byte. Throws BadMessage,
/// Poco::TimeoutException or another Poco::Exception.
bool readFrame(Poco::Net::StreamSocket &Socket, std::string &Frame,
               std::size_t MaxBytes, SteadyTime FirstByteDeadline,
               Milliseconds RestTimeout);
/// Writes one Thrift frame. Throws Poco::TimeoutException or another
/// Poco::Exception.
void writeFrame(Poco::Net::StreamSocket &Socket, const std::string &Frame,
                SteadyTime Deadline);

using FrameBuffer = apache::thrift::transport::TMemoryBuffer;
using FrameProtocol = apache::thrift::protocol::TBinaryProtocol;

/// Returns a protocol that reads \p Frame, which must outlive it. Bounds the
/// memory that the lengths given in the frame can allocate.
std::shared_ptr<FrameProtocol> makeFrameProtocol(std::string &Frame);

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_FRAMES_H
