#include "RawExchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <thread>

namespace lycheethread::harness {

RawExchange exchangeRaw(std::uint16_t Port, const std::string &Head,
                        std::size_t BodyBytes) {
  Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
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
  RawExchange Result;
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

bool isSuccess(const RawExchange &Result) {
  return Result.Answer.rfind("HTTP/1.1 200", 0) == 0 ||
         Result.Answer.rfind("HTTP/1.0 200", 0) == 0;
}

bool looksComplete(const RawExchange &Result) {
  if (!isSuccess(Result))
    return false;
  const std::string &Text = Result.Answer;
  const std::string LastChunk = "\r\n0\r\n\r\n";
  if (Text.find("Transfer-Encoding: chunked") != std::string::npos)
    return Text.size() > LastChunk.size() &&
           Text.compare(Text.size() - LastChunk.size(), LastChunk.size(),
                        LastChunk) == 0;
  const std::size_t Length = Text.find("Content-Length: ");
  if (Length != std::string::npos)
    return bodyOf(Text).size() == std::stoull(Text.substr(Length + 16));
  return Result.EndedOrderly;
}

} // namespace lycheethread::harness
