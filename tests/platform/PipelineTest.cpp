#include "RawCall.h"
#include "TestMesh.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>

using namespace lycheethread::platformtest;
using std::chrono::milliseconds;

namespace {

std::string message(const std::string &Method, const std::string &Path,
                    const std::string &More = "",
                    const std::string &Body = "") {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: id" + Path +
         "\r\nX-Deadline-Ms: 1500\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + More + "\r\n" + Body;
}

const std::string Close = "Connection: close\r\n";

/// Returns the parts of \p Text in square brackets, in their order.
std::string marked(const std::string &Text) {
  std::string Found;
  std::size_t At = 0;
  while ((At = Text.find('[', At)) != std::string::npos) {
    const std::size_t End = Text.find(']', At);
    Found += Text.substr(At, End - At + 1);
    At = End;
  }
  return Found;
}

std::string pathOf(const ReceivedRequest &Request) {
  const std::size_t Begin = Request.RequestLine.find(' ') + 1;
  return Request.RequestLine.substr(Begin,
                                    Request.RequestLine.rfind(' ') - Begin);
}

/// Returns the requests for \p Path at all upstreams of the mesh.
std::vector<ReceivedRequest> received(TestMesh &Mesh, const std::string &Path) {
  std::vector<ReceivedRequest> Found;
  for (const auto &Item : Mesh.Instances)
    for (const ReceivedRequest &Request : Item->upstream().receivedRequests())
      if (pathOf(Request) == Path)
        Found.push_back(Request);
  return Found;
}

/// Lets the upstreams answer with the path in brackets, and a path that
/// contains "slow" after \p Delay.
void answerWithPaths(TestMesh &Mesh, milliseconds Delay) {
  for (const auto &Item : Mesh.Instances)
    Item->upstream().setBehaviour([Delay](const ReceivedRequest &Request) {
      const std::string Path = pathOf(Request);
      RawResponse Response = completeResponse(Request, "[" + Path + "]");
      if (Path.find("slow") != std::string::npos)
        Response.Delay = Delay;
      return Response;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Pipelines)

// Guards against answers out of order, and against a slow first request that
// delays the start of the others.
BOOST_AUTO_TEST_CASE(requestsOfOneWriteRunSideBySideAndAreAnsweredInOrder) {
  TestMesh Mesh({{"pl1"}, {"pl2"}});
  answerWithPaths(Mesh, milliseconds(400));
  const std::string Answer =
      sendRaw(Mesh.at(0).outboundPort(),
              message("GET", "/read/slow") + message("GET", "/read/2") +
                  message("GET", "/read/3") + message("GET", "/read/4", Close));
  BOOST_TEST(marked(Answer) == "[/read/slow][/read/2][/read/3][/read/4]");
  const auto Slow = received(Mesh, "/read/slow");
  BOOST_REQUIRE(!Slow.empty());
  for (const std::string Path : {"/read/2", "/read/3", "/read/4"}) {
    const auto Found = received(Mesh, Path);
    BOOST_REQUIRE(!Found.empty());
    BOOST_TEST((Found.front().ReceivedAt - Slow.front().ReceivedAt <
                milliseconds(300)));
  }
}

// Guards against a request that runs although its caller sends it again, as the
// answer before it closes the connection.
BOOST_AUTO_TEST_CASE(requestBehindACloseNeverReachesAnUpstream) {
  TestMesh Mesh({{"pc1"}});
  answerWithPaths(Mesh, milliseconds(200));
  const std::string Answer = sendRaw(
      Mesh.at(0).outboundPort(), message("GET", "/read/slow", Close) +
                                     message("POST", "/write/x", "", "order"));
  BOOST_TEST(marked(Answer) == "[/read/slow]");
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(received(Mesh, "/write/x").empty());
}

// Guards against a request that may run once and runs before the answers ahead
// of it have been sent, or more than once.
BOOST_AUTO_TEST_CASE(requestThatMayRunOnceRunsAfterThoseBeforeIt) {
  TestMesh Mesh({{"po1"}, {"po2"}});
  answerWithPaths(Mesh, milliseconds(300));
  const std::string Answer =
      sendRaw(Mesh.at(0).outboundPort(),
              message("GET", "/read/slow") + message("GET", "/read/2") +
                  message("POST", "/write/3", "", "order") +
                  message("POST", "/upload/4", "", "bytes") +
                  message("GET", "/read/5", Close));
  BOOST_TEST(marked(Answer) ==
             "[/read/slow][/read/2][/write/3][/upload/4][/read/5]");
  const auto Slow = received(Mesh, "/read/slow");
  const auto Write = received(Mesh, "/write/3");
  const auto Upload = received(Mesh, "/upload/4");
  const auto Last = received(Mesh, "/read/5");
  BOOST_REQUIRE(!Slow.empty());
  BOOST_REQUIRE(Write.size() == 1U);
  BOOST_REQUIRE(Upload.size() == 1U);
  BOOST_REQUIRE(!Last.empty());
  BOOST_TEST(Write.front().Body == "order");
  BOOST_TEST(Upload.front().Body == "bytes");
  BOOST_TEST((Write.front().ReceivedAt - Slow.front().ReceivedAt >=
              milliseconds(290)));
  BOOST_TEST((Upload.front().ReceivedAt > Write.front().ReceivedAt));
  BOOST_TEST((Last.front().ReceivedAt < Write.front().ReceivedAt));
}

// Guards against a held request whose deadline passes unnoticed, or that runs
// after it was answered as not run.
BOOST_AUTO_TEST_CASE(heldRequestIsAnsweredAsNotRunAtItsDeadline) {
  TestMesh Mesh({{"pd1"}});
  answerWithPaths(Mesh, milliseconds(800));
  std::string Post = message("POST", "/write/2", "", "order");
  Post.replace(Post.find("1500"), 4, "200");
  const std::string Answer =
      sendRaw(Mesh.at(0).outboundPort(), message("GET", "/read/slow") + Post +
                                             message("GET", "/read/3", Close));
  BOOST_TEST(marked(Answer) == "[/read/slow][/read/3]");
  BOOST_TEST(Answer.find("HTTP/1.1 503") > Answer.find("[/read/slow]"));
  BOOST_TEST(Answer.find("HTTP/1.1 503") < Answer.find("[/read/3]"));
  std::this_thread::sleep_for(milliseconds(200));
  BOOST_TEST(received(Mesh, "/write/2").empty());
}

// Guards against work for a caller that has left: requests that hold slots of
// the upstream, and one that is started afterwards.
BOOST_AUTO_TEST_CASE(workOfACallerThatLeavesIsCancelled) {
  InstanceSpec Spec{"pg1"};
  Spec.Capacity = 2;
  TestMesh Mesh({Spec});
  answerWithPaths(Mesh, milliseconds(900));
  {
    Poco::Net::StreamSocket Caller(
        Poco::Net::SocketAddress("127.0.0.1", Mesh.at(0).outboundPort()));
    const std::string Bytes = message("GET", "/read/slow1") +
                              message("GET", "/read/slow2") +
                              message("POST", "/write/3", "", "order");
    Caller.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    BOOST_REQUIRE(holdsWithin(
        [&] {
          return received(Mesh, "/read/slow1").size() == 1U &&
                 received(Mesh, "/read/slow2").size() == 1U;
        },
        std::chrono::seconds(2)));
  }
  const auto After = Mesh.at(0).get("/read/after");
  BOOST_TEST(After.Status == 200);
  BOOST_TEST(After.Took.count() < 600);
  std::this_thread::sleep_for(milliseconds(1200));
  BOOST_TEST(received(Mesh, "/write/3").empty());
}

// Guards against one failed request that takes its neighbours along.
BOOST_AUTO_TEST_CASE(failureOfOneRequestLeavesTheOthersWhole) {
  TestMesh Mesh({{"pf1"}});
  Mesh.at(0).upstream().setBehaviour([](const ReceivedRequest &Request) {
    const std::string Path = pathOf(Request);
    RawResponse Response = completeResponse(Request, "[" + Path + "]");
    if (Path == "/read/cut") {
      Response.Bytes.resize(Response.Bytes.size() - 3);
      Response.CloseAfter = true;
    }
    return Response;
  });
  const std::string Answer =
      sendRaw(Mesh.at(0).outboundPort(),
              message("GET", "/read/1") + message("GET", "/read/cut") +
                  message("GET", "/read/3") + message("GET", "/read/4", Close));
  BOOST_TEST(marked(Answer) == "[/read/1][/read/3][/read/4]");
  BOOST_TEST(Answer.find("HTTP/1.1 502") > Answer.find("[/read/1]"));
  BOOST_TEST(Answer.find("HTTP/1.1 502") < Answer.find("[/read/3]"));
}

// Guards against answers that are lost when the node stops while several
// requests of a connection are in progress.
BOOST_AUTO_TEST_CASE(stopAnswersAllThatAreInProgress) {
  TestMesh Mesh({{"ps1"}});
  answerWithPaths(Mesh, milliseconds(600));
  auto Caller = std::async(std::launch::async, [&] {
    return sendRaw(Mesh.at(0).outboundPort(),
                   message("GET", "/read/slow1") + message("GET", "/read/2") +
                       message("GET", "/read/slow3"));
  });
  BOOST_REQUIRE(
      holdsWithin([&] { return received(Mesh, "/read/slow3").size() == 1U; },
                  std::chrono::seconds(2)));
  Mesh.at(0).node().terminate();
  const std::string Answer = Caller.get();
  BOOST_TEST(marked(Answer) == "[/read/slow1][/read/2][/read/slow3]");
  const std::size_t Announced = Answer.find("Connection: Close");
  BOOST_TEST(Announced != std::string::npos);
  BOOST_TEST(Announced > Answer.find("[/read/2]"));
}

BOOST_AUTO_TEST_SUITE_END()
