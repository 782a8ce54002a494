#define BOOST_TEST_MODULE FaultProxy
#include "ControlServer.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <thread>

using namespace lycheethread::testfault;
namespace net = Poco::Net;

namespace {

std::string addressOf(const net::Socket &Socket) {
  return Socket.address().toString();
}

/// Returns an address whose port was free when it was probed.
std::string freeAddress() {
  const net::ServerSocket Probe(net::SocketAddress("127.0.0.1", 0));
  return addressOf(Probe);
}

/// A client and a server that are connected through the proxy.
struct ProxiedConnection {
  net::ServerSocket Listener{net::SocketAddress("127.0.0.1", 0)};
  std::string Address = freeAddress();
  FaultProxy Proxy{{{Protocol::Tcp, Address, addressOf(Listener)}}};
  net::StreamSocket Client{net::SocketAddress(Address)};
  net::StreamSocket Server{Listener.acceptConnection()};

  ProxiedConnection() {
    Client.setReceiveTimeout(Poco::Timespan(2, 0));
    Server.setReceiveTimeout(Poco::Timespan(2, 0));
  }
};

double transferMilliseconds(ProxiedConnection &Connection, std::size_t Bytes) {
  const auto Start = std::chrono::steady_clock::now();
  std::thread Sender([&Connection, Bytes] {
    const std::string Data(Bytes, 'x');
    Connection.Client.sendBytes(Data.data(), static_cast<int>(Data.size()));
  });
  std::string Buffer(Bytes, ' ');
  std::size_t Received = 0;
  while (Received < Bytes)
    Received += static_cast<std::size_t>(Connection.Server.receiveBytes(
        Buffer.data(), static_cast<int>(Bytes - Received)));
  Sender.join();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

FaultRule ruleWith(FaultMode Mode) {
  FaultRule Rule;
  Rule.Mode = Mode;
  return Rule;
}

} // namespace

// Guards against fault tests that pass because the delay or bandwidth limit was
// not applied.
BOOST_AUTO_TEST_CASE(DelayAndBandwidthAreApplied) {
  ProxiedConnection Connection;
  BOOST_TEST(transferMilliseconds(Connection, 1000) < 50);
  FaultRule Slow;
  Slow.DelayMs = 60;
  BOOST_TEST(Connection.Proxy.setRule("*", true, true, Slow));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  BOOST_TEST(transferMilliseconds(Connection, 10) >= 59);
  FaultRule Limited;
  Limited.BytesPerSecond = 1000000;
  Connection.Proxy.setRule(Connection.Address, true, false, Limited);
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  const double Milliseconds = transferMilliseconds(Connection, 200000);
  BOOST_TEST(Milliseconds >= 150);
  BOOST_TEST(Milliseconds < 1500);
}

// Guards against a reset rule that leaves existing or new connections usable.
BOOST_AUTO_TEST_CASE(ResetEndsOldAndNewConnections) {
  ProxiedConnection Connection;
  Connection.Proxy.setRule("*", true, true, ruleWith(FaultMode::Reset));
  std::array<char, 8> Buffer{};
  BOOST_CHECK_THROW(Connection.Client.receiveBytes(Buffer.data(), 8),
                    Poco::Exception);
  net::StreamSocket NewClient{net::SocketAddress(Connection.Address)};
  NewClient.setReceiveTimeout(Poco::Timespan(2, 0));
  BOOST_CHECK_THROW(NewClient.receiveBytes(Buffer.data(), 8),
                    net::ConnectionResetException);
}

// Guards against a half-open connection that forwards data, or loses the data
// that was sent meanwhile.
BOOST_AUTO_TEST_CASE(DropHoldsBytesUntilPass) {
  ProxiedConnection Connection;
  Connection.Proxy.setRule("*", true, true, ruleWith(FaultMode::Drop));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  Connection.Client.sendBytes("hold", 4);
  BOOST_TEST(!Connection.Server.poll(Poco::Timespan(0, 100000),
                                     net::Socket::SELECT_READ));
  Connection.Proxy.setRule("*", true, true, {});
  std::array<char, 8> Buffer{};
  BOOST_TEST(Connection.Server.receiveBytes(Buffer.data(), 8) == 4);
}

// Guards against a truncation rule under which the response arrives complete.
BOOST_AUTO_TEST_CASE(ConnectionClosesAfterBytes) {
  ProxiedConnection Connection;
  FaultRule Truncate;
  Truncate.CloseAfterBytes = 5;
  Connection.Proxy.setRule("*", false, true, Truncate);
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  Connection.Server.sendBytes("complete answer", 15);
  std::array<char, 32> Buffer{};
  int Received = 0;
  try {
    while (const int Bytes = Connection.Client.receiveBytes(Buffer.data(), 32))
      Received += Bytes;
  } catch (const Poco::Exception &) {
    BOOST_TEST_MESSAGE("reset");
  }
  BOOST_TEST(Received <= 5);
}

// Guards against datagrams that are forwarded contrary to the rules, and
// against rules that are ignored when they are set over HTTP.
BOOST_AUTO_TEST_CASE(DatagramsFollowRulesSetOverHttp) {
  net::DatagramSocket Target(net::SocketAddress("127.0.0.1", 0));
  const std::string Address = freeAddress();
  FaultProxy Proxy({{Protocol::Udp, Address, addressOf(Target)}});
  const ControlServer Control("127.0.0.1:0", Proxy);
  const auto PostRule = [&Control](const std::string &Body) {
    net::HTTPClientSession Session("127.0.0.1", Control.port());
    net::HTTPRequest Request("POST", "/control", "HTTP/1.1");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    net::HTTPResponse Response;
    Session.receiveResponse(Response);
    return static_cast<int>(Response.getStatus());
  };
  net::DatagramSocket Client(net::SocketAddress("127.0.0.1", 0));
  const net::SocketAddress To(Address);
  const auto RoundTrip = [&] {
    Client.sendTo("ping", 4, To);
    const bool Received =
        Target.poll(Poco::Timespan(0, 200000), net::Socket::SELECT_READ);
    std::array<char, 8> Buffer{};
    net::SocketAddress From;
    if (Received) {
      Target.receiveFrom(Buffer.data(), 8, From);
      Target.sendTo("pong", 4, From);
    }
    return Received &&
           Client.poll(Poco::Timespan(0, 200000), net::Socket::SELECT_READ);
  };
  BOOST_TEST(RoundTrip());
  BOOST_TEST(PostRule(R"({"listen":")" + Address + R"(","mode":"drop"})") ==
             200);
  std::array<char, 8> Buffer{};
  Client.receiveBytes(Buffer.data(), 8);
  BOOST_TEST(!RoundTrip());
  BOOST_TEST(PostRule(R"({"listen":"*"})") == 200);
  BOOST_TEST(RoundTrip());
  BOOST_TEST(PostRule(R"({"listen":"*","mode":"explode"})") == 400);
}
