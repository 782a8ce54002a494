#include "peer/internal/Frames.h"

#include "peer/internal/Clock.h"
#include "peer/internal/Wire.h"

#include <Poco/Exception.h>
#include <thrift/TConfiguration.h>

#include <algorithm>
#include <array>

namespace lycheethread::peer {

namespace {

// Thrift allocates a list before it reads the items. 10,000 members of 400
// bytes bound the allocation to 4 MB.
constexpr int MaxListItems = 10000;
constexpr std::size_t ChunkBytes = 64 * 1024;

Poco::Timespan left(SteadyTime Deadline) {
  const Milliseconds Rest = elapsed(steadyNow(), Deadline);
  if (Rest.count() <= 0)
    throw Poco::TimeoutException("deadline of a frame has passed");
  return Poco::Timespan(Rest.count() * 1000);
}

// Returns false if the peer closed the connection before the first byte.
bool readExactly(Poco::Net::StreamSocket &Socket, char *Data, std::size_t Size,
                 SteadyTime Deadline) {
  std::size_t Got = 0;
  while (Got < Size) {
    if (!Socket.poll(left(Deadline), Poco::Net::Socket::SELECT_READ))
      throw Poco::TimeoutException("no data from the peer");
    const int Count =
        Socket.receiveBytes(Data + Got, static_cast<int>(Size - Got));
    if (Count <= 0) {
      if (Got == 0)
        return false;
      throw BadMessage("the connection ended inside a frame");
    }
    Got += static_cast<std::size_t>(Count);
  }
  return true;
}

} // namespace

bool readFrame(Poco::Net::StreamSocket &Socket, std::string &Frame,
               std::size_t MaxBytes, SteadyTime FirstByteDeadline,
               Milliseconds RestTimeout) {
  if (!Socket.poll(left(FirstByteDeadline), Poco::Net::Socket::SELECT_READ))
    throw Poco::TimeoutException("no frame from the peer");
  const SteadyTime Deadline = after(steadyNow(), RestTimeout);
  std::array<char, FrameHeaderBytes> Header{};
  if (!readExactly(Socket, Header.data(), Header.size(), Deadline))
    return false;
  std::size_t Size = 0;
  for (const char Byte : Header)
    Size = (Size << 8) | static_cast<unsigned char>(Byte);
  if (Size == 0 || Size > MaxBytes)
    throw BadMessage("a frame of " + std::to_string(Size) +
                     " bytes is outside 1 to " + std::to_string(MaxBytes));
  // The buffer grows with the received data, not with the length in the header.
  Frame.clear();
  while (Frame.size() < Size) {
    const std::size_t Had = Frame.size();
    const std::size_t Chunk = std::min(ChunkBytes, Size - Had);
    Frame.resize(Had + Chunk);
    if (!readExactly(Socket, &Frame[Had], Chunk, Deadline))
      throw BadMessage("the connection ended inside a frame");
  }
  return true;
}

void writeFrame(Poco::Net::StreamSocket &Socket, const std::string &Frame,
                SteadyTime Deadline) {
  std::string Data;
  Data.reserve(Frame.size() + FrameHeaderBytes);
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Data.push_back(static_cast<char>((Frame.size() >> Shift) & 0xff));
  Data += Frame;
  std::size_t Sent = 0;
  while (Sent < Data.size()) {
    Socket.setSendTimeout(left(Deadline));
    const std::size_t Chunk = std::min(ChunkBytes, Data.size() - Sent);
    const int Count =
        Socket.sendBytes(Data.data() + Sent, static_cast<int>(Chunk));
    if (Count <= 0)
      throw Poco::TimeoutException("the peer does not accept the frame");
    Sent += static_cast<std::size_t>(Count);
  }
}

std::shared_ptr<FrameProtocol> makeFrameProtocol(std::string &Frame) {
  const auto Size = static_cast<std::uint32_t>(Frame.size());
  const auto Limits = std::make_shared<apache::thrift::TConfiguration>(
      static_cast<int>(Size) + 1);
  const auto Buffer = std::make_shared<FrameBuffer>(
      reinterpret_cast<std::uint8_t *>(Frame.data()), Size,
      FrameBuffer::OBSERVE, Limits);
  return std::make_shared<FrameProtocol>(Buffer, static_cast<int>(Size),
                                         MaxListItems, true, true);
}

} // namespace lycheethread::peer
