#include "FreePorts.h"
#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/HttpServer.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::sidecar;
using Poco::Net::HTTPResponse;

namespace {

const Endpoint Here{"127.0.0.1", harness::freePort()};

/// A server whose handler is set by the test, and one client connection.
struct ServerAndClient {
  reactor::EventLoop Loop;
  std::function<void(ServerRequestPtr)> Handle;
  HttpServer Server;
  ClientConnectionPtr Client;
  std::string Body;
  bool Complete = false;
  bool Failed = false;

  ServerAndClient()
      : Server(Loop, Here,
               {[] { return mesh::CallerLimits(); },
                [this](const ServerRequestPtr &Request) { Handle(Request); }}),
        Client(ClientConnection::open(Loop, Here, Milliseconds(500))) {}

  void send(const std::string &Head, const BodyPipePtr &Sent = nullptr) {
    ClientRequest Request;
    Request.Method = Sent ? "POST" : "GET";
    Request.Head = Head;
    Request.Body = Sent;
    ClientCallbacks Callbacks;
    Callbacks.OnAnswer = [this](const ClientAnswer &Answer) {
      Body += Answer.Body->take();
      Answer.Body->OnChange = [this, Pipe = Answer.Body.get()] {
        Body += Pipe->take();
      };
    };
    Callbacks.OnComplete = [this] { Complete = true; };
    Callbacks.OnFailure = [this](ClientFailure) { Failed = true; };
    Client->start(std::move(Request), std::move(Callbacks));
  }

  void runFor(Milliseconds Length) {
    Loop.runAfter(Length, [this] { Loop.stop(); });
    Loop.run([] {});
  }
};

const std::string Get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(Connections)

BOOST_AUTO_TEST_CASE(answerArrivesAndTheConnectionCanBeReused) {
  ServerAndClient Used;
  Used.Handle = [](const ServerRequestPtr &Request) {
    Request->answer(HTTPResponse::HTTP_OK, "hello");
  };
  Used.send(Get);
  Used.runFor(Milliseconds(100));
  BOOST_TEST(Used.Body == "hello");
  BOOST_TEST(Used.Complete);
  BOOST_TEST(Used.Client->isReusable());
  BOOST_TEST(Used.Server.inProgress() == 0U);
}

// Guards against a truncated streamed answer that looks complete.
BOOST_AUTO_TEST_CASE(truncatedAnswerIsAFailure) {
  ServerAndClient Used;
  const auto Growing = std::make_shared<BodyPipe>();
  Used.Handle = [&](const ServerRequestPtr &Request) {
    HTTPResponse Head(HTTPResponse::HTTP_OK);
    Growing->append("part");
    Request->answer(Head, Growing);
    Used.Loop.runAfter(Milliseconds(30), [&] { Growing->fail(); });
  };
  Used.send(Get);
  Used.runFor(Milliseconds(150));
  BOOST_TEST(Used.Failed);
  BOOST_TEST(!Used.Complete);
}

// Guards against a request that waits behind a long body which the server has
// rejected and reads later.
BOOST_AUTO_TEST_CASE(connectionIsNotReusedAfterARejectedLongBody) {
  for (const std::size_t Size : {std::size_t(100), std::size_t(20'000)}) {
    const Poco::Net::ServerSocket Listener(
        Poco::Net::SocketAddress("127.0.0.1", 0));
    std::thread Server([&] {
      Poco::Net::ServerSocket Accepting(Listener);
      Poco::Net::StreamSocket Peer = Accepting.acceptConnection();
      std::array<char, 64> Start{};
      Peer.receiveBytes(Start.data(), Start.size());
      const std::string Answer =
          "HTTP/1.1 503 Full\r\nKeep-Alive: timeout=10\r\n"
          "Content-Length: 0\r\n\r\n";
      Peer.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    });
    ServerAndClient Used;
    Used.Client = ClientConnection::open(
        Used.Loop, {"127.0.0.1", Listener.address().port()}, Milliseconds(500));
    Used.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                  std::to_string(Size) + "\r\n\r\n",
              BodyPipe::complete(std::string(Size, 'x')));
    Used.runFor(Milliseconds(150));
    BOOST_TEST(Used.Complete);
    BOOST_TEST(Used.Client->isReusable() == (Size < 4096));
    Server.join();
  }
}

// Guards against work for a caller that has left, and a request that stays
// counted as in progress.
BOOST_AUTO_TEST_CASE(callerDisconnectIsReported) {
  ServerAndClient Used;
  bool Gone = false;
  Used.Handle = [&](const ServerRequestPtr &Request) {
    Request->onGone([&] { Gone = true; });
  };
  Used.send(Get);
  Used.Loop.runAfter(Milliseconds(50), [&] { Used.Client->close(); });
  Used.runFor(Milliseconds(150));
  BOOST_TEST(Gone);
  BOOST_TEST(Used.Server.inProgress() == 0U);
}

// Guards against a request that is sent on although its caller closed its
// connection together with sending it.
BOOST_AUTO_TEST_CASE(requestOfACallerThatHasLeftIsMarked) {
  ServerAndClient Used;
  bool Handled = false;
  bool WasClosed = false;
  Used.Handle = [&](const ServerRequestPtr &Request) {
    Handled = true;
    WasClosed = Request->hasPeerClosed();
  };
  Poco::Net::StreamSocket Caller(
      Poco::Net::SocketAddress(Here.Address, Here.Port));
  Caller.sendBytes(Get.data(), static_cast<int>(Get.size()));
  Caller.close();
  Used.runFor(Milliseconds(100));
  BOOST_TEST(Handled);
  BOOST_TEST(WasClosed);
}

// Guards against a stop that cuts off an answer which the caller is still
// reading, or a request that waits to be read.
BOOST_AUTO_TEST_CASE(serverIsNotQuietBeforeItsAnswerIsSent) {
  ServerAndClient Used;
  Used.Handle = [](const ServerRequestPtr &Request) {
    Request->answer(HTTPResponse::HTTP_OK, std::string(8'000'000, 'a'));
  };
  Poco::Net::StreamSocket Caller(
      Poco::Net::SocketAddress(Here.Address, Here.Port));
  Caller.sendBytes(Get.data(), static_cast<int>(Get.size()));
  Used.runFor(Milliseconds(100));
  BOOST_TEST(Used.Server.inProgress() == 0U);
  BOOST_TEST(!Used.Server.isQuiet());
  Used.Server.closeIdle();
  std::vector<char> Buffer(1'000'000);
  std::size_t Received = 0;
  for (int Count = 0; Count < 1000 && Received < 8'000'000; ++Count) {
    while (Caller.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      const int Read =
          Caller.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
      if (Read <= 0)
        break;
      Received += static_cast<std::size_t>(Read);
    }
    Used.Loop.runAfter(Milliseconds(1), [&] { Used.Loop.stop(); });
    Used.Loop.run([] {});
  }
  BOOST_TEST(Received >= 8'000'000U);
}

// Guards against the rest of a body that is taken for the next request.
BOOST_AUTO_TEST_CASE(answerBeforeTheBodyPreventsReuse) {
  ServerAndClient Used;
  Used.Handle = [](const ServerRequestPtr &Request) {
    Request->answer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no");
  };
  const auto Sent = std::make_shared<BodyPipe>();
  Sent->append(std::string(1000, 'b'));
  Used.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n",
            Sent);
  Used.runFor(Milliseconds(150));
  BOOST_TEST(Used.Complete);
  BOOST_TEST(Used.Body == "no");
  BOOST_TEST(!Used.Client->isReusable());
}

BOOST_AUTO_TEST_CASE(connectionIdleForTooLongIsNotReused) {
  ServerAndClient Used;
  Used.Handle = [](const ServerRequestPtr &Request) {
    Request->answer(HTTPResponse::HTTP_OK, "x");
  };
  ConnectionPool Pool(Used.Loop);
  Used.send(Get);
  Used.Loop.runAfter(Milliseconds(50), [&] { Pool.recycle(Used.Client); });
  Used.runFor(Milliseconds(150));
  BOOST_TEST(Pool.idleCount(Here) == 1U);
  BOOST_TEST((Pool.take(Here, Milliseconds(5)) == nullptr));
  BOOST_TEST((Pool.take(Here, Milliseconds(5000)) == Used.Client));
}

BOOST_AUTO_TEST_SUITE_END()
