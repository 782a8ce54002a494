#include "RawCall.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <thread>

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

RawUpload uploadRaw(std::uint16_t Port, const std::string &Head,
                    std::size_t BodyBytes) {
  Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
  Socket.setReceiveTimeout(ReceiveTimeout);
  Socket.sendBytes(Head.data(), static_cast<int>(Head.size()));
  std::thread Sender([&Socket, BodyBytes] {
    const std::string Block(16 * 1024, 'u');
    try {
      for (std::size_t Sent = 0; Sent < BodyBytes; Sent += Block.size())
        Socket.sendBytes(Block.data(), static_cast<int>(std::min(
                                           Block.size(), BodyBytes - Sent)));
    } catch (const Poco::Exception &) {
      // The node has ended the connection.
    }
  });
  RawUpload Result;
  std::array<char, 16 * 1024> Block{};
  try {
    int Count = 0;
    while ((Count = Socket.receiveBytes(Block.data(),
                                        static_cast<int>(Block.size()))) > 0)
      Result.Answer.append(Block.data(), static_cast<std::size_t>(Count));
    Result.EndedOrderly = Count == 0;
  } catch (const Poco::Exception &) {
    // A reset or a timeout.
  }
  try {
    Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The connection has ended already.
  }
  Sender.join();
  return Result;
}

std::string bodyOf(const std::string &Answer) {
  const std::size_t End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? "" : Answer.substr(End + 4);
}

} // namespace lycheethread::platformtest
