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
