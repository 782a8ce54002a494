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

/// An address that was free a moment ago.
std::string freeAddress() {
  const net::ServerSocket Probe(net::SocketAddress("127.0.0.1", 0));
  return addressOf(Probe);
}

/// Client and server connected through the proxy.
struct Line {
  net::ServerSocket Listener{net::SocketAddress("127.0.0.1", 0)};
  std::string Address = freeAddress();
  FaultProxy Proxy{{{Protocol::Tcp, Address, addressOf(Listener)}}};
  net::StreamSocket Client{net::SocketAddress(Address)};
  net::StreamSocket Server{Listener.acceptConnection()};

  Line() {
    Client.setReceiveTimeout(Poco::Timespan(2, 0));
    Server.setReceiveTimeout(Poco::Timespan(2, 0));
  }
};

double millisecondsFor(Line &On, std::size_t Bytes) {
  const auto Start = std::chrono::steady_clock::now();
  std::thread Sender([&On, Bytes] {
    const std::string Data(Bytes, 'x');
    On.Client.sendBytes(Data.data(), static_cast<int>(Data.size()));
  });
  std::string Buffer(Bytes, ' ');
  std::size_t Got = 0;
  while (Got < Bytes)
    Got += static_cast<std::size_t>(
        On.Server.receiveBytes(Buffer.data(), static_cast<int>(Bytes - Got)));
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

// Guards against tests that believe in a delay or limit which is not applied.
BOOST_AUTO_TEST_CASE(DelayAndBandwidthAreApplied) {
  Line Tested;
  BOOST_TEST(millisecondsFor(Tested, 1000) < 50);
  FaultRule Slow;
  Slow.DelayMs = 60;
  BOOST_TEST(Tested.Proxy.setRule("*", true, true, Slow));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  BOOST_TEST(millisecondsFor(Tested, 10) >= 59);
  FaultRule Narrow;
  Narrow.BytesPerSecond = 1000000;
  Tested.Proxy.setRule(Tested.Address, true, false, Narrow);
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  const double Took = millisecondsFor(Tested, 200000);
  BOOST_TEST(Took >= 150);
  BOOST_TEST(Took < 1500);
}

// Guards against a cut that leaves old or new connections usable.
BOOST_AUTO_TEST_CASE(ResetEndsOldAndNewConnections) {
  Line Tested;
  Tested.Proxy.setRule("*", true, true, ruleWith(FaultMode::Reset));
  std::array<char, 8> Buffer{};
  BOOST_CHECK_THROW(Tested.Client.receiveBytes(Buffer.data(), 8),
                    Poco::Exception);
  net::StreamSocket Late{net::SocketAddress(Tested.Address)};
  Late.setReceiveTimeout(Poco::Timespan(2, 0));
  BOOST_CHECK_THROW(Late.receiveBytes(Buffer.data(), 8),
                    net::ConnectionResetException);
}

// Guards against a half-open fault that loses bytes, or lets them through.
BOOST_AUTO_TEST_CASE(DropHoldsBytesUntilPass) {
  Line Tested;
  Tested.Proxy.setRule("*", true, true, ruleWith(FaultMode::Drop));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  Tested.Client.sendBytes("hold", 4);
  BOOST_TEST(
      !Tested.Server.poll(Poco::Timespan(0, 100000), net::Socket::SELECT_READ));
  Tested.Proxy.setRule("*", true, true, {});
  std::array<char, 8> Buffer{};
  BOOST_TEST(Tested.Server.receiveBytes(Buffer.data(), 8) == 4);
}

// Guards against a truncated answer that arrives complete.
BOOST_AUTO_TEST_CASE(ConnectionClosesAfterBytes) {
  Line Tested;
  FaultRule Truncate;
  Truncate.CloseAfterBytes = 5;
  Tested.Proxy.setRule("*", false, true, Truncate);
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  Tested.Server.sendBytes("complete answer", 15);
  std::array<char, 32> Buffer{};
  int Got = 0;
  try {
    while (const int Bytes = Tested.Client.receiveBytes(Buffer.data(), 32))
      Got += Bytes;
  } catch (const Poco::Exception &) {
    BOOST_TEST_MESSAGE("reset");
  }
  BOOST_TEST(Got <= 5);
}

// Guards against datagrams that take another way than the rules say, and
// against rules by HTTP that are ignored.
BOOST_AUTO_TEST_CASE(DatagramsFollowRulesSetOverHttp) {
  net::DatagramSocket Target(net::SocketAddress("127.0.0.1", 0));
  const std::string Address = freeAddress();
  FaultProxy Proxy({{Protocol::Udp, Address, addressOf(Target)}});
  const ControlServer Control("127.0.0.1:0", Proxy);
  const auto Post = [&Control](const std::string &Body) {
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
  const auto Arrives = [&] {
    Client.sendTo("ping", 4, To);
    const bool Got =
        Target.poll(Poco::Timespan(0, 200000), net::Socket::SELECT_READ);
    std::array<char, 8> Buffer{};
    net::SocketAddress From;
    if (Got) {
      Target.receiveFrom(Buffer.data(), 8, From);
      Target.sendTo("pong", 4, From);
    }
    return Got &&
           Client.poll(Poco::Timespan(0, 200000), net::Socket::SELECT_READ);
  };
  BOOST_TEST(Arrives());
  BOOST_TEST(Post(R"({"listen":")" + Address + R"(","mode":"drop"})") == 200);
  std::array<char, 8> Buffer{};
  Client.receiveBytes(Buffer.data(), 8);
  BOOST_TEST(!Arrives());
  BOOST_TEST(Post(R"({"listen":"*"})") == 200);
  BOOST_TEST(Arrives());
  BOOST_TEST(Post(R"({"listen":"*","mode":"explode"})") == 400);
}
