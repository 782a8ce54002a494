#include "RawCall.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>

namespace lycheethread::platformtest {

namespace {

const Poco::Timespan ReceiveTimeout(5, 0);

} // namespace

std::string sendRaw(std::uint16_t Port, const std::string &Bytes) {
  std::string Answer;
  try {
    Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
    Socket.setReceiveTimeout(ReceiveTimeout);
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 4096> Block{};
    while (const int Count = Socket.receiveBytes(
               Block.data(), static_cast<int>(Block.size())))
      Answer.append(Block.data(), static_cast<std::size_t>(Count));
  } catch (const Poco::Exception &) {
    // A reset or a timeout ends the answer as well.
  }
  return Answer;
}

std::string bodyOf(const std::string &Answer) {
  const std::size_t End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? "" : Answer.substr(End + 4);
}

} // namespace lycheethread::platformtest
