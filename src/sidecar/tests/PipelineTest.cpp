#include "FreePorts.h"
#include "sidecar/internal/HttpServer.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>

using namespace lycheethread;
using namespace lycheethread::sidecar;
using Poco::Net::HTTPResponse;

namespace {

const Endpoint Here{"127.0.0.1", harness::freePort()};

std::string get(const std::string &Path, const std::string &More = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + More + "\r\n";
}

std::string post(const std::string &Path, const std::string &Body,
                 const std::string &More = "") {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\n" + More +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A server whose requests the test answers, and one caller that sends bytes.
struct PipelinedCaller {
  reactor::EventLoop Loop;
  mesh::CallerLimits Limits;
  std::shared_ptr<AnswerBudget> Budget = std::make_shared<AnswerBudget>();
  /// Paths in the order in which they were handed over.
  std::vector<std::string> Handed;
  std::vector<std::string> Gone;
  std::vector<std::string> First;
  std::map<std::string, ServerRequestPtr> Requests;
  HttpServer Server;
  Poco::Net::StreamSocket Caller;
  std::string Received;
  bool Closed = false;

  PipelinedCaller()
      : Server(Loop, Here,
               HttpServerOptions{
                   [this] { return Limits; },
                   [this](const ServerRequestPtr &Request) { handle(Request); },
                   Budget}),
        Caller(Poco::Net::SocketAddress(Here.Address, Here.Port)) {}

  void handle(const ServerRequestPtr &Request) {
    const std::string Path = Request->head().getURI();
    Handed.push_back(Path);
    Requests[Path] = Request;
    Request->onGone([this, Path] { Gone.push_back(Path); });
    if (Request->isFirst())
      First.push_back(Path);
    else
      Request->onFirst([this, Path] { First.push_back(Path); });
  }

  void send(const std::string &Bytes) {
    Caller.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    run();
  }

  /// Runs the server, then reads what has arrived at the caller.
  void run(Milliseconds Length = Milliseconds(30)) {
    Loop.runAfter(Length, [this] { Loop.stop(); });
    Loop.run([] {});
    std::array<char, 65536> Block{};
    try {
      while (!Closed &&
             Caller.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        const int Count =
            Caller.receiveBytes(Block.data(), static_cast<int>(Block.size()));
        Closed = Count == 0;
        Received.append(Block.data(), static_cast<std::size_t>(Count));
      }
    } catch (const Poco::Exception &) {
      Closed = true;
    }
  }

  void answer(const std::string &Path) {
    Requests.at(Path)->answer(HTTPResponse::HTTP_OK, "<" + Path + ">");
    run();
  }

  /// The bodies that answer() sent, as received.
  std::string bodies() const {
    std::string Found;
    std::size_t At = 0;
    while ((At = Received.find('<', At)) != std::string::npos) {
      const std::size_t End = Received.find('>', At);
      Found += Received.substr(At, End - At + 1);
      At = End;
    }
    return Found;
  }

  std::size_t count(const std::string &Text) const {
    std::size_t Times = 0;
    for (std::size_t At = Received.find(Text); At != std::string::npos;
         At = Received.find(Text, At + 1))
      ++Times;
    return Times;
  }
};

using Paths = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(Pipelines)

// Guards against a slow first request that delays the start of the others, and
// against answers out of order.
BOOST_AUTO_TEST_CASE(requestsStartAtOnceAndAnswersKeepTheirOrder) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2") + get("/3"));
  BOOST_TEST((Used.Handed == Paths{"/1", "/2", "/3"}));
  BOOST_TEST(Used.Server.inProgress() == 3U);
  Used.answer("/3");
  Used.answer("/2");
  BOOST_TEST(Used.Received.empty());
  BOOST_TEST(Used.Budget->HeldBytes == 8U);
  BOOST_TEST(!Used.Server.isQuiet());
  Used.answer("/1");
  BOOST_TEST(Used.bodies() == "</1></2></3>");
  BOOST_TEST(Used.Server.inProgress() == 0U);
  BOOST_TEST(Used.Budget->HeldBytes == 0U);
  BOOST_TEST(Used.Server.isQuiet());
  BOOST_TEST(Used.count("Connection: Close") == 0U);
  Used.send(get("/4"));
  Used.answer("/4");
  BOOST_TEST(Used.bodies() == "</1></2></3></4>");
  BOOST_TEST(Used.Gone.empty());
}

// Guards against requests that are counted as pipelined because an earlier one
// of their connection was.
BOOST_AUTO_TEST_CASE(onlyRequestsBehindOthersArePipelined) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2"));
  BOOST_TEST(!Used.Requests.at("/1")->isPipelined());
  BOOST_TEST(Used.Requests.at("/2")->isPipelined());
  Used.answer("/1");
  Used.answer("/2");
  Used.send(get("/3"));
  BOOST_TEST(!Used.Requests.at("/3")->isPipelined());
}

// Guards against answers of a handler that answers at once out of order, and
// against the end of reading after the first requests of one write.
BOOST_AUTO_TEST_CASE(manyRequestsAnsweredAtOnceAreAllAnswered) {
  PipelinedCaller Used;
  std::string Bytes;
  std::string Expected;
  for (int Count = 0; Count < 40; ++Count) {
    Bytes += get("/" + std::to_string(Count));
    Expected += "</" + std::to_string(Count) + ">";
  }
  // The callbacks of the loop run between the parts of the input.
  const std::function<void()> AnswerAll = [&] {
    for (const auto &[Path, Request] : Used.Requests)
      if (!Request->isAnswered())
        Request->answer(HTTPResponse::HTTP_OK, "<" + Path + ">");
    Used.Loop.runAfter(Milliseconds(1), AnswerAll);
  };
  AnswerAll();
  Used.send(Bytes);
  Used.run(Milliseconds(100));
  BOOST_TEST(Used.bodies() == Expected);
}

// Guards against a caller that has more requests in progress than the bound.
BOOST_AUTO_TEST_CASE(noMoreThanEightAreInProgress) {
  PipelinedCaller Used;
  std::string Bytes;
  for (int Count = 0; Count < 12; ++Count)
    Bytes += get("/" + std::to_string(Count));
  Used.send(Bytes);
  BOOST_TEST(Used.Handed.size() == 8U);
  Used.answer("/3");
  BOOST_TEST(Used.Handed.size() == 8U);
  Used.answer("/0");
  BOOST_TEST(Used.Handed.size() == 9U);
  for (int Count = 1; Count < 12; ++Count)
    if (Count != 3)
      Used.answer("/" + std::to_string(Count));
  BOOST_TEST(Used.Handed.size() == 12U);
  BOOST_TEST(Used.count("HTTP/1.1 200") == 12U);
}

// Guards against memory that grows with answers which wait for an earlier one.
BOOST_AUTO_TEST_CASE(heldAnswerStaysInItsPipe) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2"));
  const auto Growing = std::make_shared<BodyPipe>();
  HTTPResponse Head(HTTPResponse::HTTP_OK);
  Used.Requests.at("/2")->answer(Head, Growing);
  Growing->append(std::string(BodyPipe::DefaultHighWater, 'a'));
  Used.run();
  BOOST_TEST(Growing->isFull());
  BOOST_TEST(Used.Budget->HeldBytes == BodyPipe::DefaultHighWater);
  Used.answer("/1");
  BOOST_TEST(Growing->size() == 0U);
  BOOST_TEST(Used.Budget->HeldBytes == 0U);
  Growing->append("<end>");
  Growing->end();
  Used.run();
  BOOST_TEST(Used.bodies() == "</1><end>");
  BOOST_TEST(Used.Received.substr(Used.Received.size() - 5) == "0\r\n\r\n");
}

// Guards against held answers beyond the memory set aside for them.
BOOST_AUTO_TEST_CASE(nothingIsReadBehindOthersWhenTheBudgetIsUsedUp) {
  PipelinedCaller Used;
  Used.Budget->MaxBytes = 3;
  Used.send(get("/1") + get("/2"));
  Used.answer("/2");
  Used.send(get("/3"));
  BOOST_TEST(Used.Handed.size() == 2U);
  Used.answer("/1");
  BOOST_TEST(Used.Handed.size() == 3U);
}

// Guards against a request behind an unfinished body that is taken for a part
// of it, or the other way round.
BOOST_AUTO_TEST_CASE(requestBehindABodyIsReadAfterIt) {
  PipelinedCaller Used;
  const std::string Post = post("/2", "0123456789");
  Used.send(get("/1") + Post.substr(0, Post.size() - 4));
  BOOST_TEST((Used.Handed == Paths{"/1", "/2"}));
  Used.send("6789" + get("/3"));
  BOOST_TEST((Used.Handed == Paths{"/1", "/2", "/3"}));
  BOOST_TEST(Used.Requests.at("/2")->body()->take() == "0123456789");
}

// Guards against bodies that fill the memory while their requests wait.
BOOST_AUTO_TEST_CASE(waitingBodiesAreBounded) {
  PipelinedCaller Used;
  const std::string Body(40'000, 'b');
  Used.send(get("/1") + post("/2", Body) + post("/3", Body) + post("/4", Body));
  Used.run();
  BOOST_TEST((Used.Handed == Paths{"/1", "/2", "/3"}));
  BOOST_TEST((Used.Requests.at("/2")->body()->take() == Body));
  Used.run();
  BOOST_TEST((Used.Handed == Paths{"/1", "/2", "/3", "/4"}));
}

// Guards against a request that may run once and is started while the
// connection may still end before it.
BOOST_AUTO_TEST_CASE(requestBecomesFirstAfterAllAnswersBeforeIt) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2") + post("/3", "x"));
  BOOST_TEST((Used.First == Paths{"/1"}));
  Used.answer("/2");
  BOOST_TEST((Used.First == Paths{"/1"}));
  Used.answer("/1");
  BOOST_TEST((Used.First == Paths{"/1", "/3"}));
  BOOST_TEST(Used.Requests.at("/3")->isFirst());
  Used.answer("/3");
  BOOST_TEST((Used.First == Paths{"/1", "/3"}));
}

// Guards against the start of such a request when the caller has read only a
// part of the answer before it.
BOOST_AUTO_TEST_CASE(requestIsNotFirstBeforeTheAnswerIsSent) {
  PipelinedCaller Used;
  Used.send(get("/1") + post("/2", "x"));
  Used.Requests.at("/1")->answer(HTTPResponse::HTTP_OK,
                                 std::string(8'000'000, 'a'));
  Used.Loop.runAfter(Milliseconds(30), [&] { Used.Loop.stop(); });
  Used.Loop.run([] {});
  BOOST_TEST((Used.First == Paths{"/1"}));
  for (int Count = 0; Count < 500 && Used.First.size() < 2; ++Count)
    Used.run(Milliseconds(2));
  BOOST_TEST((Used.First == Paths{"/1", "/2"}));
  BOOST_TEST(Used.Received.size() > 7'000'000U);
}

// Guards against a request that is handled although the caller asked to close
// the connection before it.
BOOST_AUTO_TEST_CASE(nothingIsReadBehindConnectionClose) {
  for (const std::string &Last :
       {get("/2", "Connection: close\r\n"),
        std::string("GET /2 HTTP/1.0\r\nHost: h\r\n\r\n")}) {
    PipelinedCaller Used;
    Used.send(get("/1") + Last + post("/3", "x"));
    BOOST_TEST((Used.Handed == Paths{"/1", "/2"}));
    Used.answer("/2");
    Used.answer("/1");
    BOOST_TEST(Used.bodies() == "</1></2>");
    BOOST_TEST(Used.count("Connection: Close") == 1U);
    BOOST_TEST(Used.Closed);
    BOOST_TEST((Used.Handed == Paths{"/1", "/2"}));
  }
}

// Guards against work that goes on behind an answer which closes the
// connection, and against an answer after it.
BOOST_AUTO_TEST_CASE(answerThatIsCutOffCancelsThoseBehind) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2") + get("/3") + post("/4", "x"));
  Used.answer("/3");
  const auto Growing = std::make_shared<BodyPipe>();
  HTTPResponse Head(HTTPResponse::HTTP_OK);
  Used.Requests.at("/2")->answer(Head, Growing);
  Growing->append("part");
  Growing->fail();
  // The end is certain although it is not reached yet.
  BOOST_TEST((Used.Gone == Paths{"/3", "/4"}));
  Used.answer("/4");
  BOOST_TEST(!Used.Closed);
  Used.answer("/1");
  BOOST_TEST(Used.bodies() == "</1>");
  BOOST_TEST(Used.count("HTTP/1.1 200") == 2U);
  BOOST_TEST(Used.count("0\r\n\r\n") == 0U);
  BOOST_TEST(Used.Closed);
  BOOST_TEST((Used.First == Paths{"/1"}));
  BOOST_TEST(Used.Server.inProgress() == 0U);
  BOOST_TEST(Used.Budget->HeldBytes == 0U);
}

// Guards against an earlier answer that is lost when a later one is cut off
// before all of it has been sent.
BOOST_AUTO_TEST_CASE(answerBeforeOneThatIsCutOffIsWhole) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2"));
  const auto Growing = std::make_shared<BodyPipe>();
  HTTPResponse Head(HTTPResponse::HTTP_OK);
  Used.Requests.at("/2")->answer(Head, Growing);
  Used.Requests.at("/1")->answer(HTTPResponse::HTTP_OK,
                                 std::string(4'000'000, 'a') + "<end>");
  Growing->fail();
  for (int Count = 0; Count < 500 && !Used.Closed; ++Count)
    Used.run(Milliseconds(2));
  BOOST_TEST(Used.bodies() == "<end>");
  BOOST_TEST(Used.Closed);
}

// Guards against an HTTP/1.0 answer without a length whose end the caller
// cannot find, as the answer behind it follows on.
BOOST_AUTO_TEST_CASE(answerUntilTheCloseIsTheLastOne) {
  PipelinedCaller Used;
  Used.send("GET /1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" +
            get("/2"));
  BOOST_TEST((Used.Handed == Paths{"/1", "/2"}));
  Used.answer("/2");
  const auto Growing = std::make_shared<BodyPipe>();
  HTTPResponse Head(HTTPResponse::HTTP_OK);
  Used.Requests.at("/1")->answer(Head, Growing);
  BOOST_TEST((Used.Gone == Paths{"/2"}));
  Growing->append("<all>");
  Growing->end();
  Used.run();
  BOOST_TEST(Used.bodies() == "<all>");
  BOOST_TEST(Used.Closed);
}

// Guards against work for a caller that has left.
BOOST_AUTO_TEST_CASE(callerDisconnectCancelsAllInProgress) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2") + post("/3", "x"));
  Used.answer("/2");
  Used.Caller.close();
  Used.Closed = true;
  Used.run();
  BOOST_TEST((Used.Gone == Paths{"/1", "/2", "/3"}));
  BOOST_TEST((Used.First == Paths{"/1"}));
  BOOST_TEST(Used.Server.inProgress() == 0U);
  BOOST_TEST(Used.Budget->HeldBytes == 0U);
}

// The same while reading is paused, as 8 requests are in progress.
BOOST_AUTO_TEST_CASE(callerDisconnectIsSeenWhileReadingIsPaused) {
  PipelinedCaller Used;
  std::string Bytes;
  for (int Count = 0; Count < 12; ++Count)
    Bytes += get("/" + std::to_string(Count));
  Used.send(Bytes);
  Used.send(get("/more"));
  Used.Caller.close();
  Used.Closed = true;
  Used.run();
  BOOST_TEST(Used.Handed.size() == 8U);
  BOOST_TEST(Used.Gone.size() == 8U);
  BOOST_TEST(Used.Server.inProgress() == 0U);
}

// Guards against a refusal of a malformed message that is sent before the
// answers to earlier requests, or in place of them.
BOOST_AUTO_TEST_CASE(malformedRequestIsRefusedAfterEarlierAnswers) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2") + "nonsense\r\n\r\n" + get("/4"));
  BOOST_TEST((Used.Handed == Paths{"/1", "/2"}));
  BOOST_TEST(Used.Received.empty());
  Used.answer("/2");
  Used.answer("/1");
  BOOST_TEST(Used.bodies() == "</1></2>");
  BOOST_TEST(Used.Received.find("HTTP/1.1 400") > Used.Received.find("</2>"));
  BOOST_TEST(Used.count("HTTP/1.1 400") == 1U);
  BOOST_TEST(Used.Closed);
  BOOST_TEST(Used.Handed.size() == 2U);
}

BOOST_AUTO_TEST_CASE(malformedBodyEndsTheConnectionAfterEarlierAnswers) {
  PipelinedCaller Used;
  Used.send(
      get("/1") +
      "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  Used.send("nonsense\r\n");
  BOOST_TEST((Used.Gone == Paths{"/2"}));
  BOOST_TEST(!Used.Closed);
  Used.answer("/1");
  BOOST_TEST(Used.bodies() == "</1>");
  BOOST_TEST(Used.count("HTTP/1.1 ") == 1U);
  BOOST_TEST(Used.Closed);
}

// Guards against requests in progress that are lost when the headers of the
// next one take too long.
BOOST_AUTO_TEST_CASE(headTimeoutIsReportedAfterEarlierAnswers) {
  PipelinedCaller Used;
  Used.Limits.HeadTimeout = Milliseconds(40);
  Used.send(get("/1") + "GET /2 HTT");
  Used.run(Milliseconds(100));
  BOOST_TEST(Used.Received.empty());
  BOOST_TEST(!Used.Closed);
  Used.answer("/1");
  BOOST_TEST(Used.bodies() == "</1>");
  BOOST_TEST(Used.count("HTTP/1.1 408") == 1U);
  BOOST_TEST(Used.Closed);
}

// Guards against an idle timeout while a request is in progress, and against
// none after it.
BOOST_AUTO_TEST_CASE(idleTimeRunsOnlyWhileNothingIsInProgress) {
  PipelinedCaller Used;
  Used.Limits.IdleTimeout = Milliseconds(0);
  Used.send(get("/1") + get("/2"));
  Used.run(Milliseconds(1700));
  Used.answer("/1");
  Used.run(Milliseconds(1700));
  BOOST_TEST(!Used.Closed);
  Used.answer("/2");
  BOOST_TEST(Used.bodies() == "</1></2>");
  Used.run(Milliseconds(1700));
  BOOST_TEST(Used.Closed);
}

// Guards against an answer without a request in the eyes of a caller that
// waits for 100 Continue behind other requests.
BOOST_AUTO_TEST_CASE(continueIsSentAfterEarlierAnswers) {
  PipelinedCaller Used;
  const std::string Post = post("/2", "body", "Expect: 100-continue\r\n");
  Used.send(get("/1") + Post.substr(0, Post.size() - 4));
  Used.Requests.at("/2")->sendContinue();
  Used.run();
  BOOST_TEST(Used.Received.empty());
  Used.answer("/1");
  BOOST_TEST(Used.Received.find("HTTP/1.1 100") > Used.Received.find("</1>"));
  BOOST_TEST(Used.count("HTTP/1.1 100") == 1U);
  Used.send("body");
  BOOST_TEST(Used.Requests.at("/2")->body()->take() == "body");
  Used.answer("/2");
  BOOST_TEST(Used.bodies() == "</1></2>");
}

// Guards against an answer behind one that announces the close, and against a
// stop that cuts off requests which were handed over.
BOOST_AUTO_TEST_CASE(stopIsAnnouncedInTheLastAnswer) {
  PipelinedCaller Used;
  Used.send(get("/1") + get("/2"));
  Used.Server.announceClose();
  Used.send(get("/3"));
  BOOST_TEST((Used.Handed == Paths{"/1", "/2"}));
  Used.answer("/2");
  Used.Server.closeIdle();
  BOOST_TEST(!Used.Server.isQuiet());
  Used.answer("/1");
  BOOST_TEST(Used.bodies() == "</1></2>");
  BOOST_TEST(Used.count("Connection: Close") == 1U);
  BOOST_TEST(Used.Received.find("Connection: Close") >
             Used.Received.find("</1>"));
  BOOST_TEST(Used.Closed);
  BOOST_TEST((Used.Handed == Paths{"/1", "/2"}));
  BOOST_TEST(Used.Server.isQuiet());
}

// Guards against changed bytes for a caller that waits for each answer. The
// expected text is what the server sent before it could pipeline.
BOOST_AUTO_TEST_CASE(singleRequestsAreAnsweredAsBefore) {
  PipelinedCaller Used;
  Used.send("\r\n" + get("/1"));
  Used.answer("/1");
  BOOST_TEST(Used.Received ==
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
             "Content-Length: 4\r\nKeep-Alive: timeout=15\r\n\r\n</1>");
  Used.Received.clear();
  Used.send("HEAD /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  HTTPResponse Head(HTTPResponse::HTTP_OK);
  Used.Requests.at("/2")->answer(Head, BodyPipe::complete(""), 7);
  Used.run();
  BOOST_TEST(Used.Received == "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n"
                              "Keep-Alive: timeout=15\r\n\r\n");
  Used.Received.clear();
  Used.send(post("/3", "body", "Expect: 100-continue\r\n"));
  Used.Requests.at("/3")->sendContinue();
  const auto Growing = std::make_shared<BodyPipe>();
  Growing->append("first");
  HTTPResponse Chunked(HTTPResponse::HTTP_OK);
  Used.Requests.at("/3")->answer(Chunked, Growing);
  Growing->append("second");
  Growing->end();
  Used.run();
  BOOST_TEST(Used.Received ==
             "HTTP/1.1 100 Continue\r\n\r\n"
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
             "Keep-Alive: timeout=15\r\n\r\n"
             "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n");
  Used.Received.clear();
  Used.send(get("/4"));
  HTTPResponse Empty(HTTPResponse::HTTP_NO_CONTENT);
  Used.Requests.at("/4")->answer(Empty, BodyPipe::complete("none"));
  Used.run();
  BOOST_TEST(Used.Received == "HTTP/1.1 204 No Content\r\n"
                              "Keep-Alive: timeout=15\r\n\r\n");
  Used.Received.clear();
  Used.send("bad\r\n\r\n");
  BOOST_TEST(Used.Received ==
             "HTTP/1.1 400 Bad Request\r\nContent-Length: 24\r\n"
             "Connection: Close\r\n\r\nthe target is not a path");
  BOOST_TEST(Used.Closed);
}

// The same for answers that end their connection.
BOOST_AUTO_TEST_CASE(singleAnswerThatEndsTheConnectionIsAsBefore) {
  const std::string Ended = "Connection: Close\r\n\r\n";
  {
    PipelinedCaller Used;
    Used.send("GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    const auto Growing = std::make_shared<BodyPipe>();
    HTTPResponse Head(HTTPResponse::HTTP_OK);
    Used.Requests.at("/1")->answer(Head, Growing);
    Growing->append("all");
    Growing->end();
    Used.run();
    BOOST_TEST(Used.Received == "HTTP/1.1 200 OK\r\n" + Ended + "all");
    BOOST_TEST(Used.Closed);
  }
  {
    PipelinedCaller Used;
    Used.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
    Used.answer("/1");
    BOOST_TEST(Used.Received ==
               "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
               "Content-Length: 4\r\n" +
                   Ended + "</1>");
    BOOST_TEST(Used.Closed);
  }
  {
    PipelinedCaller Used;
    Used.send(get("/1"));
    Used.Server.announceClose();
    Used.answer("/1");
    BOOST_TEST(Used.Received ==
               "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
               "Content-Length: 4\r\n" +
                   Ended + "</1>");
    BOOST_TEST(Used.Closed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
