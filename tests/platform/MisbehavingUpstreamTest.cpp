#include "TestMesh.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <future>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

/// The route's time in configuration(), and what a node may take beyond it.
constexpr milliseconds RouteTimeout{1200};
constexpr milliseconds AnswerSlack{500};
constexpr long KiBPerMiB = 1024;

/// Returns the peak resident memory of a process in KiB.
long peakMemory(int ProcessId) {
  std::ifstream In("/proc/" + std::to_string(ProcessId) + "/status");
  std::string Word;
  long Value = 0;
  while (In >> Word)
    if (Word == "VmHWM:" && In >> Value)
      return Value;
  return 0;
}

std::string headOf(const ReceivedRequest &Request, const std::string &Framing) {
  return "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: " +
         Request.Headers.at("x-attempt-id") + "\r\n" + Framing + "\r\n";
}

/// What a caller that reads until the connection ends has received. It counts
/// the body and keeps only its end: copying an endless body in memory would
/// delay the reader beyond the times that the tests check.
struct RawAnswer {
  static constexpr std::size_t MaxEndBytes = 64 * 1024;

  std::string Head;
  bool HasHead = false;
  std::size_t BodyBytes = 0;
  std::string BodyEnd;

  void append(const char *Data, std::size_t Count) {
    std::string Received(Data, Count);
    if (!HasHead) {
      Head += Received;
      const std::size_t End = Head.find("\r\n\r\n");
      HasHead = End != std::string::npos;
      if (!HasHead)
        return;
      Received = Head.substr(End + 4);
      Head.resize(End + 2);
    }
    BodyBytes += Received.size();
    BodyEnd += Received;
    if (BodyEnd.size() > MaxEndBytes)
      BodyEnd.erase(0, BodyEnd.size() - MaxEndBytes);
  }

  bool isCompleteSuccess() const {
    if (!HasHead || Head.rfind("HTTP/1.1 200", 0) != 0)
      return false;
    const std::size_t Length = Head.find("Content-Length: ");
    if (Length != std::string::npos)
      return BodyBytes == std::stoull(Head.substr(Length + 16));
    const std::string End = "\r\n0\r\n\r\n";
    return BodyEnd.size() >= End.size() &&
           BodyEnd.compare(BodyEnd.size() - End.size(), End.size(), End) == 0;
  }
};

// POCO's client takes a chunked body that was cut off for a complete one.
RawAnswer postRaw(std::uint16_t Port, const std::string &Path,
                  const std::string &Id) {
  Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  const std::string Request = "POST " + Path +
                              " HTTP/1.1\r\nHost: shop.example\r\n"
                              "Connection: close\r\nX-Attempt-Id: " +
                              Id +
                              "\r\nX-Deadline-Ms: 1500\r\n"
                              "Content-Length: 5\r\n\r\norder";
  Socket.sendBytes(Request.data(), static_cast<int>(Request.size()));
  RawAnswer Answer;
  std::vector<char> Part(64 * 1024);
  try {
    for (;;) {
      const int Count =
          Socket.receiveBytes(Part.data(), static_cast<int>(Part.size()));
      if (Count <= 0)
        break;
      Answer.append(Part.data(), static_cast<std::size_t>(Count));
    }
  } catch (const Poco::Exception &) {
    // The connection was reset: the answer ends here.
  }
  return Answer;
}

struct EndlessAnswer {
  const char *Name;
  std::function<RawResponse(const ReceivedRequest &)> Make;
};

RawResponse endless(std::string Start, std::string Rest) {
  RawResponse Response;
  Response.Bytes = std::move(Start);
  Response.EndlessBytes = std::move(Rest);
  return Response;
}

const std::string Block(16 * 1024, 'x');

const std::vector<EndlessAnswer> EndlessAnswers{
    {"bytes that are no answer",
     [](const ReceivedRequest &) { return endless("", Block); }},
    {"a head field without end",
     [](const ReceivedRequest &) {
       return endless("HTTP/1.1 200 OK\r\nX-Long: ", Block);
     }},
    {"head fields without end",
     [](const ReceivedRequest &) {
       return endless("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
     }},
    {"interim answers without end",
     [](const ReceivedRequest &) {
       return endless("", "HTTP/1.1 103 Early Hints\r\n\r\n");
     }},
    {"a body by length far beyond the time",
     [](const ReceivedRequest &Request) {
       return endless(headOf(Request, "Content-Length: 900000000000\r\n"),
                      Block);
     }},
    {"a chunked body without end",
     [](const ReceivedRequest &Request) {
       return endless(headOf(Request, "Transfer-Encoding: chunked\r\n"),
                      "4000\r\n" + Block + "\r\n");
     }},
    {"chunks of one byte without end",
     [](const ReceivedRequest &Request) {
       return endless(headOf(Request, "Transfer-Encoding: chunked\r\n"),
                      "1\r\nx\r\n");
     }},
    {"a chunk extension without end",
     [](const ReceivedRequest &Request) {
       return endless(headOf(Request, "Transfer-Encoding: chunked\r\n") + "1;",
                      Block);
     }},
    {"trailers without end",
     [](const ReceivedRequest &Request) {
       return endless(headOf(Request, "Transfer-Encoding: chunked\r\n") +
                          "1\r\nx\r\n0\r\n",
                      "X-Trailer: value\r\n");
     }},
    {"a body until close without end",
     [](const ReceivedRequest &Request) {
       return endless(headOf(Request, "Connection: close\r\n"), Block);
     }},
    {"answers to other requests without end",
     [](const ReceivedRequest &) {
       return endless("", "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                          "X-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx");
     }},
    {"the body of another answer without end",
     [](const ReceivedRequest &) {
       return endless("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                      "X-Attempt-Id: other\r\nContent-Length: 900000000000"
                      "\r\n\r\n",
                      Block);
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(MisbehavingUpstreams)

// Guards against an upstream whose bytes never end: the caller must have a
// truthful answer in time, and other requests must not suffer.
BOOST_AUTO_TEST_CASE(answersWithoutEndAreGivenUpInTime) {
  TestMesh Mesh({{"g1", "store"}, {"g2", "desk"}});
  Instance &Entry = Mesh.at(0);
  for (const EndlessAnswer &Item : EndlessAnswers) {
    BOOST_TEST_CONTEXT(Item.Name) {
      Mesh.at(1).upstream().setBehaviour(Item.Make);
      const auto Start = std::chrono::steady_clock::now();
      const RawAnswer Answer =
          postRaw(Entry.outboundPort(), "/write/endless", "endless");
      const auto Took = std::chrono::steady_clock::now() - Start;
      // It has run, and what comes is no whole answer.
      BOOST_TEST(!Answer.isCompleteSuccess());
      BOOST_TEST(Answer.Head.rfind("HTTP/1.1 503", 0) != 0U);
      BOOST_TEST_MESSAGE(
          "ended after "
          << std::chrono::duration_cast<milliseconds>(Took).count() << " ms");
      BOOST_TEST((Took <= RouteTimeout + AnswerSlack));
      Mesh.at(1).upstream().setBehaviour([](const ReceivedRequest &Request) {
        return completeResponse(Request);
      });
      const auto Next = Entry.post("/write/next", "order", "next");
      BOOST_TEST(Next.Status == 200);
      BOOST_TEST(Next.Took.count() < 200);
    }
  }
}

// Guards against memory that grows with endless answers on many connections at
// once.
BOOST_AUTO_TEST_CASE(endlessAnswersDoNotFillTheMemory) {
  constexpr int Connections = 100;
  TestMesh Mesh({{"h1", "store"}, {"h2", "desk", "v1", "north", Connections}});
  const auto SendAll = [&] {
    std::vector<std::future<int>> Calls;
    for (int Count = 0; Count < Connections; ++Count)
      Calls.push_back(std::async(std::launch::async, [&, Count] {
        return Mesh.at(0)
            .post("/write/m", "x", "m" + std::to_string(Count))
            .Status;
      }));
    for (auto &Call : Calls)
      Call.get();
  };
  SendAll();
  const long Before[] = {peakMemory(Mesh.at(0).node().id()),
                         peakMemory(Mesh.at(1).node().id())};
  for (const EndlessAnswer &Item : EndlessAnswers) {
    Mesh.at(1).upstream().setBehaviour(Item.Make);
    const std::size_t Received =
        Mesh.at(1).upstream().receivedRequests().size();
    SendAll();
    // The connections must have been there at the same time.
    BOOST_TEST(Mesh.at(1).upstream().receivedRequests().size() >=
               Received + Connections * 9 / 10);
    for (const std::size_t Index : {0U, 1U}) {
      const long Growth =
          peakMemory(Mesh.at(Index).node().id()) - Before[Index];
      BOOST_TEST_MESSAGE(Item.Name << ": node " << Index << " has grown by "
                                   << Growth << " KiB");
      BOOST_TEST(Growth < 10 * KiBPerMiB);
    }
  }
}

// Guards against a second copy of an answer that arrives on a connection which
// is in use again and reaches the next caller, or that says in place of the
// next answer that the request has not run.
BOOST_AUTO_TEST_CASE(lateCopyOfAnAnswerMeetsNoOtherRequest) {
  TestMesh Mesh({{"i1"}});
  UpstreamStandIn &Upstream = Mesh.at(0).upstream();
  const std::string Rejected =
      "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  for (const auto Delay :
       {milliseconds(0), milliseconds(1), milliseconds(30), milliseconds(100)})
    for (const bool IsRejection : {false, true}) {
      Upstream.setBehaviour([&, Delay](const ReceivedRequest &Request) {
        RawResponse Response =
            completeResponse(Request, Request.Headers.at("x-attempt-id"));
        Response.LateBytes = IsRejection ? Rejected : Response.Bytes;
        Response.LateDelay = Delay;
        Response.Delay = milliseconds(10);
        return Response;
      });
      for (int Count = 0; Count < 15; ++Count) {
        const std::string Id = "late-" + std::to_string(Delay.count()) +
                               (IsRejection ? "-r-" : "-a-") +
                               std::to_string(Count);
        const auto Answer = Mesh.at(0).post("/write/late", "x", Id);
        if (Answer.Status == 200)
          BOOST_TEST(Answer.Body == Id);
        // Each request runs, so no answer may deny it.
        BOOST_TEST(Answer.Status != 503);
      }
    }
}

// Guards against an answer that breaks off halfway and reaches the caller as a
// complete success.
BOOST_AUTO_TEST_CASE(brokenAnswersAreNeverComplete) {
  TestMesh Mesh({{"x1", "store"}, {"x2", "desk"}});
  const std::string Body(400'000, 'b');
  const auto Cut = [](std::string Bytes, std::size_t At) {
    RawResponse Response;
    Response.Bytes = Bytes.substr(0, Bytes.size() * At / 10);
    Response.CloseAfter = true;
    return Response;
  };
  for (const std::size_t At : {1U, 3U, 6U, 9U})
    for (const std::size_t Size : {Body.size(), std::size_t(600)})
      for (const bool IsChunked : {false, true}) {
        const std::string Part = Body.substr(0, Size);
        Mesh.at(1).upstream().setBehaviour([&, At, IsChunked](
                                               const ReceivedRequest &Request) {
          return IsChunked
                     ? Cut(headOf(Request, "Transfer-Encoding: chunked\r\n") +
                               "258\r\n" + std::string(600, 'c') +
                               "\r\n258\r\n" + std::string(600, 'c') +
                               "\r\n0\r\n\r\n",
                           At)
                     : Cut(completeResponse(Request, Part).Bytes, At);
        });
        BOOST_TEST(!postRaw(Mesh.at(0).outboundPort(), "/write/cut", "cut")
                        .isCompleteSuccess());
      }
}

// Guards against work that is started again, or denied, after its answer was
// lost.
BOOST_AUTO_TEST_CASE(lostAnswerIsNeitherRepeatedNorDenied) {
  TestMesh Mesh({{"y1"}, {"y2"}, {"y3", "store"}});
  for (const std::size_t Index : {0U, 1U})
    Mesh.at(Index).upstream().setBehaviour([](const ReceivedRequest &) {
      RawResponse Response;
      Response.CloseAfter = true;
      return Response;
    });
  for (int Count = 0; Count < 20; ++Count) {
    const std::string Id = "lost-" + std::to_string(Count);
    BOOST_TEST(Mesh.at(2).post("/write/lost", "x", Id).Status == 502);
    std::size_t Runs = 0;
    for (const std::size_t Index : {0U, 1U})
      for (const ReceivedRequest &Received :
           Mesh.at(Index).upstream().receivedRequests())
        Runs += Received.Headers.at("x-attempt-id") == Id ? 1U : 0U;
    BOOST_TEST(Runs == 1U);
  }
}

// Guards against running work that is given up or started again because the
// node beside it, or its upstream, was only silent for a while.
BOOST_AUTO_TEST_CASE(silenceDoesNotEndRunningWork) {
  TestMesh Mesh({{"z1", "store"}, {"z2", "desk"}, {"z3", "desk"}});
  Mesh.Store.put(
      "keyed.op", "config",
      configuration(
          5, R"(,{"name":"slow","type":"non_idempotent","match":)"
             R"({"path_prefix":"/slow/"},"action":{"backend_service":"desk",)"
             R"("timeout_s":9}})"));
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(0).post("/slow/x", "x").Status == 200; },
                  milliseconds(3000)));
  for (const std::size_t Index : {1U, 2U})
    Mesh.at(Index).upstream().setBehaviour([](const ReceivedRequest &Request) {
      RawResponse Response = completeResponse(Request);
      Response.Delay = milliseconds(6000);
      return Response;
    });
  auto Running = std::async(std::launch::async, [&] {
    return Mesh.at(0).post("/slow/y", "x", "silent-1", milliseconds(8900));
  });
  std::this_thread::sleep_for(milliseconds(300));
  for (const std::size_t Index : {1U, 2U}) {
    Mesh.at(Index).stopCheckIns();
    Mesh.at(Index).node().pause();
  }
  std::this_thread::sleep_for(milliseconds(5000));
  for (const std::size_t Index : {1U, 2U})
    Mesh.at(Index).node().resume();
  BOOST_TEST(Running.get().Status == 200);
  std::size_t Runs = 0;
  for (const std::size_t Index : {1U, 2U})
    for (const ReceivedRequest &Received :
         Mesh.at(Index).upstream().receivedRequests())
      Runs += Received.Headers.at("x-attempt-id") == "silent-1" ? 1U : 0U;
  BOOST_TEST(Runs == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
