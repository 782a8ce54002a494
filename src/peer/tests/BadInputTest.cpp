#define BOOST_TEST_MODULE PeerBadInput
#include "peer/gen/PeerService.h"
#include "peer/internal/Frames.h"
#include "peer/internal/Wire.h"
#include "peer/tests/PeerCluster.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <fstream>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace lycheethread;
using namespace lycheethread::peer;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Datagrams = 30000;
constexpr int Frames = 1500;
constexpr int SlowConnections = 60;
/// Bounds the memory growth to what the limits of the node allow.
constexpr std::int64_t MaxGrowth = 64 * 1024 * 1024;
constexpr Milliseconds Soon{15000};

using Random = std::mt19937_64;

std::int64_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::int64_t Total = 0;
  std::int64_t Resident = 0;
  In >> Total >> Resident;
  return Resident * sysconf(_SC_PAGESIZE);
}

std::string randomBytes(Random &Source, std::size_t Size) {
  std::string Data(Size, '\0');
  for (char &Byte : Data)
    Byte = static_cast<char>(Source() & 0xff);
  return Data;
}

std::string validDatagram(Random &Source) {
  membership::Message Content;
  Content.Kind = static_cast<membership::MessageKind>(Source() % 4);
  Content.From = NodeId("stranger-" + std::to_string(Source() % 100));
  Content.RegionName = Region("region-" + std::to_string(Source() % 3));
  Content.Number = Sequence(static_cast<std::int64_t>(Source() % 1000));
  Content.Target = {"127.0.0.1", 9};
  for (std::uint64_t Count = Source() % 6; Count > 0; --Count) {
    Member MemberInfo;
    MemberInfo.Id = NodeId("ghost-" + std::to_string(Source() % 20000));
    MemberInfo.IncarnationNumber =
        Incarnation(static_cast<std::int64_t>(Source() % 5));
    MemberInfo.Control = {"127.0.0.1", 9};
    MemberInfo.At = {Region("region-9"), AvailabilityZone("zone")};
    Content.Updates.push_back({MemberInfo, Source() % 2 == 0});
  }
  wire::Datagram Out;
  Out.__set_message(toWire(Content));
  return encodeDatagram(Out);
}

std::string corrupt(Random &Source, std::string Data) {
  switch (Source() % 4) {
  case 0:
    Data.resize(Source() % (Data.size() + 1));
    break;
  case 1:
    for (int Count = 0; Count < 4 && !Data.empty(); ++Count)
      Data[Source() % Data.size()] = static_cast<char>(Source() & 0xff);
    break;
  case 2:
    Data += randomBytes(Source, Source() % 4000);
    break;
  default:
    break;
  }
  return Data;
}

std::string badDatagram(Random &Source) {
  return Source() % 3 == 0 ? randomBytes(Source, Source() % 3000)
                           : corrupt(Source, validDatagram(Source));
}

std::string validFrame() {
  const auto Buffer = std::make_shared<FrameBuffer>();
  wire::PeerServiceClient Writer(std::make_shared<FrameProtocol>(Buffer));
  Writer.send_call(wire::Caller(), "topic", std::string(100, 'x'));
  return Buffer->getBufferAsString();
}

std::string withLength(std::uint32_t Length, const std::string &Data) {
  std::string Out;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>((Length >> Shift) & 0xff));
  return Out + Data;
}

std::string badFrame(Random &Source) {
  const std::string Body = corrupt(Source, validFrame());
  const auto Length = static_cast<std::uint32_t>(Body.size());
  switch (Source() % 4) {
  case 0:
    return withLength(static_cast<std::uint32_t>(Source()), Body);
  case 1:
    return withLength(Length + 1, Body);
  case 2:
    return randomBytes(Source, Source() % 5000);
  default:
    return withLength(Length, Body);
  }
}

void sendFrame(const Endpoint &To, const std::string &Data) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(To.Address, To.Port),
                   Poco::Timespan(1, 0));
    Socket.sendBytes(Data.data(), static_cast<int>(Data.size()));
  } catch (const Poco::Exception &) {
    // The node may close the connection at any time.
  }
}

/// Sends one byte of a long frame every 200 ms.
void sendSlowly(const Endpoint &To) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(To.Address, To.Port),
                   Poco::Timespan(1, 0));
    const std::string Data = withLength(100000, std::string(20, 'x'));
    for (const char Byte : Data) {
      Socket.sendBytes(&Byte, 1);
      std::this_thread::sleep_for(Milliseconds(200));
    }
  } catch (const Poco::Exception &) {
    // The node closes slow connections.
  }
}

struct Target {
  Target() : Cluster(2, 1) {
    Cluster.startAll(2);
    Cluster.Nodes[0]->control().OnCall(
        "echo", [](const std::string &Payload) { return Payload; });
    BOOST_TEST_REQUIRE(
        PeerCluster::await([&] { return Cluster.allServe(); }, Soon));
    At = Cluster.Nodes[0]->self().Control;
    Before = residentBytes();
  }

  bool answers() {
    try {
      return Cluster.Nodes[1]->control().Call(Cluster.Nodes[0]->self(), "echo",
                                              "a") == "a";
    } catch (const PeerUnavailable &) {
      return false;
    }
  }

  void check() {
    BOOST_TEST(PeerCluster::await([&] { return answers(); }, Soon));
    const Offset Next = Cluster.Log.append("control", "after").next();
    BOOST_TEST(PeerCluster::await([&] { return Cluster.allAt(Next); }, Soon));
    BOOST_TEST(residentBytes() - Before < MaxGrowth);
  }

  PeerCluster Cluster;
  Endpoint At;
  std::int64_t Before = 0;
};

} // namespace

// Guards against datagrams that crash the process, exhaust its memory or stop
// the membership protocol.
BOOST_AUTO_TEST_CASE(NodeSurvivesBadDatagrams) {
  Target Tested;
  Random Source(Seed);
  Poco::Net::DatagramSocket Socket;
  const Poco::Net::SocketAddress To(Tested.At.Address, Tested.At.Port);
  for (int Count = 0; Count < Datagrams; ++Count) {
    const std::string Data = badDatagram(Source);
    Socket.sendTo(Data.data(), static_cast<int>(Data.size()), To);
    if (Count % 100 == 0)
      std::this_thread::sleep_for(Milliseconds(5));
  }
  Tested.check();
}

// Guards against trusting the length in the header of a frame.
BOOST_AUTO_TEST_CASE(NodeSurvivesBadFrames) {
  Target Tested;
  Random Source(Seed);
  for (int Count = 0; Count < Frames; ++Count)
    sendFrame(Tested.At, badFrame(Source));
  Tested.check();
}

// Guards against slow senders that block all threads of the server.
BOOST_AUTO_TEST_CASE(NodeSurvivesSlowConnections) {
  Target Tested;
  std::vector<std::thread> Senders;
  for (int Count = 0; Count < SlowConnections; ++Count)
    Senders.emplace_back([&Tested] { sendSlowly(Tested.At); });
  Tested.check();
  for (std::thread &Each : Senders)
    Each.join();
}
