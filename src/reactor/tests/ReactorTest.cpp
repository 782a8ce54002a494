#define BOOST_TEST_MODULE Reactor
#include "reactor/Reactor.h"
#include "FreePorts.h"

#include <Poco/Net/SocketAddress.h>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace lycheethread;
using namespace lycheethread::reactor;

namespace {

const Endpoint Here{"127.0.0.1", harness::freePort()};

void runFor(EventLoop &Loop, Milliseconds Length) {
  Loop.runAfter(Length, [&] { Loop.stop(); });
  Loop.run([] {});
}

} // namespace

BOOST_AUTO_TEST_CASE(timersRunInOrderAndCanBeCancelled) {
  EventLoop Loop;
  std::vector<int> Order;
  Loop.runAfter(Milliseconds(20), [&] { Order.push_back(2); });
  Loop.runAfter(Milliseconds(10), [&] { Order.push_back(1); });
  TimerId Dropped = Loop.runAfter(Milliseconds(5), [&] { Order.push_back(0); });
  Loop.cancel(Dropped);
  runFor(Loop, Milliseconds(40));
  BOOST_TEST(Order == (std::vector<int>{1, 2}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(bytesArriveAndTheEndIsReported) {
  EventLoop Loop;
  std::shared_ptr<TcpStream> Server;
  std::string Received;
  bool Ended = false;
  const TcpListener Listener(Loop, Here, [&](auto Stream) {
    Server = Stream;
    Server->setCallbacks({{},
                          [&] { Received = Server->input(); },
                          {},
                          [&](StreamEnd) { Ended = true; }});
  });
  const auto Client = TcpStream::connect(Loop, Here, Milliseconds(500));
  Client->write("hello");
  Loop.runAfter(Milliseconds(50), [&] { Client->closeGracefully(); });
  runFor(Loop, Milliseconds(150));
  BOOST_TEST(Received == "hello");
  BOOST_TEST(Ended);
}

// Guards against continuing to work for a caller that has disconnected while
// its body is not being read.
BOOST_AUTO_TEST_CASE(endIsReportedWhileReadingIsPaused) {
  EventLoop Loop;
  std::shared_ptr<TcpStream> Server;
  bool Ended = false;
  const TcpListener Listener(Loop, Here, [&](auto Stream) {
    Server = Stream;
    Server->setCallbacks({{}, {}, {}, [&](StreamEnd) { Ended = true; }});
    Server->setReadingPaused(true);
  });
  const auto Client = TcpStream::connect(Loop, Here, Milliseconds(500));
  Loop.runAfter(Milliseconds(50), [&] { Client->close(); });
  runFor(Loop, Milliseconds(150));
  BOOST_TEST(Ended);
}

// Guards against starting work for a caller that closed its connection before
// its bytes were read.
BOOST_AUTO_TEST_CASE(closeThatCameWithTheBytesIsKnownWithThem) {
  EventLoop Loop;
  std::shared_ptr<TcpStream> Server;
  int Round = 0;
  int InputRound = 0;
  int EndRound = 0;
  bool WasClosedAtInput = false;
  const TcpListener Listener(Loop, Here, [&](auto Stream) {
    Server = Stream;
    Server->setCallbacks({{},
                          [&] {
                            InputRound = Round;
                            WasClosedAtInput = Server->hasPeerClosed();
                          },
                          {},
                          [&](StreamEnd) { EndRound = Round; }});
  });
  Poco::Net::StreamSocket Client(
      Poco::Net::SocketAddress(Here.Address, Here.Port));
  Client.sendBytes("hello", 5);
  Client.close();
  Loop.runAfter(Milliseconds(100), [&] { Loop.stop(); });
  Loop.run([&] { ++Round; });
  BOOST_TEST(Server->input() == "hello");
  BOOST_TEST(WasClosedAtInput);
  BOOST_TEST(EndRound == InputRound);
}

// Guards against running work that is given up because its instance was silent
// for a while: a peer that takes nothing for 5 s.
BOOST_AUTO_TEST_CASE(patientConnectionOutlastsASilentPeer) {
  EventLoop Loop;
  std::vector<std::shared_ptr<TcpStream>> Servers;
  const TcpListener Listener(Loop, Here, [&](auto Stream) {
    Stream->setReadingPaused(true);
    Servers.push_back(Stream);
  });
  bool HasEnded[] = {false, false};
  std::vector<std::shared_ptr<TcpStream>> Clients;
  for (const std::size_t Index : {0U, 1U}) {
    Clients.push_back(TcpStream::connect(Loop, Here, Milliseconds(500)));
    Clients.back()->setCallbacks(
        {{}, {}, {}, [&, Index](StreamEnd) { HasEnded[Index] = true; }});
    // More than the kernel takes for a peer that does not read.
    Clients.back()->write(std::string(16'000'000, 'x'));
  }
  Clients[1]->setPatience(Milliseconds(20'000));
  runFor(Loop, Milliseconds(9000));
  BOOST_TEST(HasEnded[0]);
  BOOST_TEST(!HasEnded[1]);
}

// Guards against an answer that is cut off at the end of the linger time while
// a slow reader still takes it.
BOOST_AUTO_TEST_CASE(gracefulCloseWaitsForASlowReader) {
  EventLoop Loop;
  const std::string Answer(8'000'000, 'a');
  std::shared_ptr<TcpStream> Server;
  const TcpListener Listener(Loop, Here, [&](auto Stream) {
    Server = Stream;
    Server->write(Answer);
    Server->closeGracefully();
  });
  const auto Client = TcpStream::connect(Loop, Here, Milliseconds(500));
  std::size_t Received = 0;
  StreamEnd Seen = StreamEnd::Failed;
  const std::function<void()> Resume = [&] { Client->setReadingPaused(false); };
  Client->setCallbacks({{},
                        [&] {
                          Received += Client->input().size();
                          Client->input().clear();
                          Client->setReadingPaused(true);
                          Loop.runAfter(Milliseconds(30), Resume);
                        },
                        {},
                        [&](StreamEnd How) {
                          Seen = How;
                          Loop.stop();
                        }});
  runFor(Loop, Milliseconds(20'000));
  BOOST_TEST(Received == Answer.size());
  BOOST_TEST((Seen == StreamEnd::Closed));
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsReported) {
  EventLoop Loop;
  StreamEnd Seen = StreamEnd::Closed;
  const auto Client = TcpStream::connect(Loop, Here, Milliseconds(500));
  Client->setCallbacks({{}, {}, {}, [&](StreamEnd How) { Seen = How; }});
  runFor(Loop, Milliseconds(100));
  BOOST_TEST((Seen == StreamEnd::NotConnected));
}

// Guards against an answer that is lost because closing a connection with
// unread input resets it.
BOOST_AUTO_TEST_CASE(gracefulCloseDeliversTheAnswerDespiteUnreadInput) {
  EventLoop Loop;
  std::shared_ptr<TcpStream> Server;
  const TcpListener Listener(Loop, Here, [&](auto Stream) {
    Server = Stream;
    Server->setReadingPaused(true);
  });
  const auto Client = TcpStream::connect(Loop, Here, Milliseconds(500));
  std::string Answer;
  StreamEnd Seen = StreamEnd::Failed;
  Client->setCallbacks({{},
                        [&] { Answer = Client->input(); },
                        {},
                        [&](StreamEnd How) { Seen = How; }});
  Client->write(std::string(200'000, 'x'));
  Loop.runAfter(Milliseconds(50), [&] {
    Server->write("refused");
    Server->closeGracefully();
  });
  runFor(Loop, Milliseconds(300));
  BOOST_TEST(Answer == "refused");
  BOOST_TEST((Seen == StreamEnd::Closed));
}
