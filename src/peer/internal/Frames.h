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

/// Largest frame of a request and of an answer other than a snapshot.
inline constexpr std::size_t MaxFrameBytes = 1536 * 1024;
inline constexpr std::size_t MaxSnapshotBytes = 16 * 1024 * 1024;
/// Bytes of a frame's length field.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Reads one Thrift frame of at most \p MaxBytes until \p Deadline; returns
/// false when the connection was closed before its first byte. Throws
/// BadMessage, Poco::TimeoutException or another Poco::Exception.
bool readFrame(Poco::Net::StreamSocket &Socket, std::string &Frame,
               std::size_t MaxBytes, SteadyTime FirstByteDeadline,
               Milliseconds RestTimeout);
/// Throws Poco::TimeoutException or another Poco::Exception.
void writeFrame(Poco::Net::StreamSocket &Socket, const std::string &Frame,
                SteadyTime Deadline);

using FrameBuffer = apache::thrift::transport::TMemoryBuffer;
using FrameProtocol = apache::thrift::protocol::TBinaryProtocol;

/// Protocol that reads \p Frame, which must outlive it, with limits on what
/// claimed lengths can allocate.
std::shared_ptr<FrameProtocol> makeFrameProtocol(std::string &Frame);

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_FRAMES_H
