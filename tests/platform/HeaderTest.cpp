#include "RawCall.h"
#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lycheethread::platformtest;

namespace {

/// The end of a head and a second request, as an encoded word of RFC 2047.
const std::string EncodedRequest =
    "=?UTF-8?Q?note=0D=0A=0D=0APOST_/write/42_HTTP/1.1=0D=0A"
    "Host:_shop.example=0D=0AX-Attempt-Id:_hidden?=";

std::string get(const std::string &Path, const std::string &Id,
                const std::string &Fields) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n" + Fields + "\r\n";
}

/// Returns the requests with this id at all upstreams.
std::vector<ReceivedRequest> runsOf(TestMesh &Mesh, const std::string &Id) {
  std::vector<ReceivedRequest> Found;
  for (const auto &Item : Mesh.Instances)
    for (const ReceivedRequest &Request : Item->upstream().receivedRequests()) {
      const auto Stated = Request.Headers.find("x-attempt-id");
      if (Stated != Request.Headers.end() && Stated->second == Id)
        Found.push_back(Request);
    }
  return Found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Headers)

// Guards against an encoded word in a header value that is decoded and sent on
// with its line breaks: the request hidden in it runs.
BOOST_AUTO_TEST_CASE(encodedWordOfACallerRunsNoHiddenRequest) {
  TestMesh Mesh({{"h1"}, {"h2", "store"}});
  // Once beside the upstream and once across instances.
  for (const std::size_t Entry : {0U, 1U}) {
    const std::string Id = "plain-" + std::to_string(Entry);
    const std::string Answer =
        sendRaw(Mesh.at(Entry).outboundPort(),
                get("/read/1", Id, "X-Note: " + EncodedRequest + "\r\n"));
    BOOST_TEST(Answer.rfind("HTTP/1.1 200", 0) == 0U);
    const auto Runs = runsOf(Mesh, Id);
    BOOST_REQUIRE(Runs.size() == 1U);
    BOOST_TEST(Runs.front().Headers.at("x-note") == EncodedRequest);
  }
  BOOST_TEST(!holdsWithin([&] { return !runsOf(Mesh, "hidden").empty(); },
                          std::chrono::milliseconds(500)));
}

// Guards against a header that the node sets and that a caller sent twice: the
// second line reached the upstream, which may go by it.
BOOST_AUTO_TEST_CASE(headersOfTheNodeStandExactlyOnce) {
  TestMesh Mesh({{"t1"}, {"t2", "store"}});
  const auto Twice = [](const std::string &Name, const std::string &Value) {
    return Name + ": " + Value + "\r\n" + Name + ": " + Value + "\r\n";
  };
  for (const std::size_t Entry : {0U, 1U}) {
    const std::string Id = "twice-" + std::to_string(Entry);
    sendRaw(Mesh.at(Entry).outboundPort(),
            get("/read/1", Id,
                Twice("X-Caller-Service", "payroll") +
                    Twice("x-deadline-ms", "900000") +
                    Twice("X-Expect-Instance", "i-other") +
                    Twice("lt-hop", "store;v1;r;upload;0;1;1;payroll;F;1") +
                    Twice("LT-Stated-Limit", "i-t1;0;0")));
    const auto Runs = runsOf(Mesh, Id);
    BOOST_REQUIRE(Runs.size() == 1U);
    const ReceivedRequest &Got = Runs.front();
    BOOST_TEST(Got.linesOf("x-caller-service").size() == 1U);
    BOOST_TEST(Got.Headers.at("x-caller-service") ==
               (Entry == 0U ? "desk" : "store"));
    BOOST_TEST(Got.linesOf("x-expect-instance").size() == 1U);
    BOOST_TEST(Got.Headers.at("x-expect-instance") == "i-t1");
    BOOST_TEST(Got.linesOf("x-deadline-ms").size() == 1U);
    BOOST_TEST(std::stoi(Got.Headers.at("x-deadline-ms")) <= 1000);
    BOOST_TEST(Got.linesOf("lt-hop").empty());
    BOOST_TEST(Got.linesOf("lt-stated-limit").empty());
  }
}

// Guards against headers between nodes that an upstream sends too and that
// reach callers, or are believed by the entry.
BOOST_AUTO_TEST_CASE(headersBetweenNodesInAnswersAreReplaced) {
  TestMesh Mesh({{"u1"}, {"u2", "store"}});
  Mesh.at(0).upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request, "whole");
    Response.Bytes.insert(Response.Bytes.find("Keep-Alive"),
                          "lt-load: 9;9;9;9\r\nlt-load: 8;8;8;8\r\n"
                          "lt-limit: 0;1\r\nlt-limit: 0;2\r\n"
                          "lt-refusal: queue-full;no;0;9\r\n"
                          "lt-refusal: queue-full;no;0;8\r\n");
    return Response;
  });
  for (const std::size_t Entry : {0U, 1U})
    for (int Count = 0; Count < 20; ++Count) {
      const std::string Answer =
          sendRaw(Mesh.at(Entry).outboundPort(), get("/read/1", "answer", ""));
      BOOST_TEST(bodyOf(Answer) == "whole");
      BOOST_TEST(Answer.find("lt-") == std::string::npos);
    }
}

// Guards against an encoded word in an answer that ends its head early, so that
// the caller takes other bytes for the body.
BOOST_AUTO_TEST_CASE(encodedWordOfAnUpstreamDoesNotChangeTheBody) {
  TestMesh Mesh({{"e1"}, {"e2", "store"}});
  const std::string Note =
      "=?UTF-8?Q?Delivery_delayed.=0D=0A=0D=0APlease_call_back.?=";
  Mesh.at(0).upstream().setBehaviour([&](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request, "the whole body");
    Response.Bytes.insert(Response.Bytes.find("Keep-Alive"),
                          "X-Note: " + Note + "\r\n");
    return Response;
  });
  for (const std::size_t Entry : {0U, 1U}) {
    const std::string Answer =
        sendRaw(Mesh.at(Entry).outboundPort(), get("/read/1", "answer", ""));
    BOOST_TEST(bodyOf(Answer) == "the whole body");
    BOOST_TEST(Answer.find("X-Note: " + Note + "\r\n") != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
