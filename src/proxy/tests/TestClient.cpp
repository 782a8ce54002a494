#include "TestClient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <array>

namespace lycheethread::proxy {

namespace {

const Poco::Timespan ReceiveTimeout(20, 0);

} // namespace

std::string TestAnswer::header(const std::string &Name) const {
  return Head.get(Name, "");
}

TestClient::TestClient(std::uint16_t Port, std::string Host)
    : Port_(Port), Host_(std::move(Host)) {}

TestAnswer TestClient::get(const std::string &Path) const {
  return send("GET", Path, "", false);
}

TestAnswer TestClient::post(const std::string &Path, const std::string &Body,
                            bool Chunked) const {
  return send("POST", Path, Body, Chunked);
}

TestAnswer TestClient::send(const std::string &Method, const std::string &Path,
                            const std::string &Body, bool Chunked) const {
  TestAnswer Answer;
  try {
    Poco::Net::HTTPClientSession Session("127.0.0.1", Port_);
    Session.setTimeout(ReceiveTimeout);
    Poco::Net::HTTPRequest Request(Method, Path, "HTTP/1.1");
    Request.setHost(Host_);
    for (const auto &[Name, Value] : Headers)
      Request.set(Name, Value);
    if (Chunked)
      Request.setChunkedTransferEncoding(true);
    else if (!Body.empty())
      Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    Session.sendRequest(Request) << Body;
    std::istream &In = Session.receiveResponse(Answer.Head);
    Answer.Status = Answer.Head.getStatus();
    Poco::StreamCopier::copyToString(In, Answer.Body);
    Answer.IsComplete = Answer.Head.hasContentLength() &&
                        Answer.Head.getContentLength64() ==
                            static_cast<Poco::Int64>(Answer.Body.size());
  } catch (const Poco::Exception &) {
    Answer.IsComplete = false;
  }
  return Answer;
}

Poco::Net::StreamSocket TestClient::connect() const {
  Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port_));
  Socket.setReceiveTimeout(Poco::Timespan(10, 0));
  return Socket;
}

std::string TestClient::head(const std::string &Method,
                             const std::string &Path) const {
  std::string Text =
      Method + " " + Path + " HTTP/1.1\r\nHost: " + Host_ + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text;
}

std::string TestClient::readAll(Poco::Net::StreamSocket &Socket) {
  std::string Text;
  std::array<char, 4096> Buffer{};
  try {
    while (const int Count = Socket.receiveBytes(Buffer.data(), Buffer.size()))
      Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  } catch (const Poco::Exception &) {
    // A connection reset or a timeout ends the text as well.
  }
  return Text;
}

} // namespace lycheethread::proxy
