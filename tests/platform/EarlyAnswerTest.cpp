#include "RawExchange.h"
#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace lycheethread::harness;
using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t UploadBytes = 4 * 1024 * 1024;

/// A part of an answer that has no length, sent before the upload is read; a
/// reset follows.
RawResponse resetAnswer(const ReceivedRequest &Request, std::size_t Bytes,
                        milliseconds Delay) {
  RawResponse Response;
  Response.Bytes = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: " +
                   Request.Headers.at("x-attempt-id") + "\r\n\r\n" +
                   std::string(Bytes, 'p');
  Response.Delay = Delay;
  Response.ResetAfter = true;
  return Response;
}

std::string headOf(const std::string &Version, std::size_t BodyBytes) {
  return "POST /upload/early " + Version +
         "\r\nHost: shop.example\r\nConnection: close\r\n"
         "X-Attempt-Id: early\r\nX-Deadline-Ms: 1500\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(EarlyAnswers)

// Guards against a part of an answer that the caller takes for the whole: the
// upstream answers an upload before it has read it, without a length, and
// resets the connection. A caller that speaks HTTP/1.0 sees the end of such an
// answer by the end of the connection only.
BOOST_AUTO_TEST_CASE(resetAnswerToAnUploadIsNotComplete) {
  TestMesh Mesh({{"e1", "store"}, {"e2", "desk"}});
  for (const std::size_t Entry : {0U, 1U})
    for (const char *Version : {"HTTP/1.1", "HTTP/1.0"})
      for (const std::size_t Part : {600U, 40'000U, 400'000U})
        for (const int DelayMs : {0, 20, 200}) {
          Mesh.at(1).upstream().setEarlyBehaviour(
              [&](const ReceivedRequest &Request) {
                return resetAnswer(Request, Part, milliseconds(DelayMs));
              });
          for (int Round = 0; Round < 3; ++Round) {
            const RawExchange Result =
                exchangeRaw(Mesh.at(Entry).outboundPort(),
                            headOf(Version, UploadBytes), UploadBytes);
            BOOST_TEST(!looksComplete(Result),
                       "entry " << Entry << ", " << Version << ", " << Part
                                << " bytes, reset after " << DelayMs
                                << " ms: " << Result.Answer.substr(0, 400));
          }
        }
}

// Guards against a whole answer without a length that looks cut off.
BOOST_AUTO_TEST_CASE(wholeAnswerWithoutLengthEndsOrderly) {
  constexpr std::size_t Bytes = 400'000;
  TestMesh Mesh({{"w1", "store"}, {"w2", "desk"}});
  Mesh.at(1).upstream().setEarlyBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = resetAnswer(Request, Bytes, milliseconds(0));
    Response.ResetAfter = false;
    return Response;
  });
  for (auto &Item : Mesh.Instances) {
    const RawExchange Result =
        exchangeRaw(Item->outboundPort(), headOf("HTTP/1.0", 0), 0);
    BOOST_TEST(looksComplete(Result));
    BOOST_TEST(bodyOf(Result.Answer).size() == Bytes);
  }
}

// Guards against an answer that looks complete since the node that passes it on
// is killed.
BOOST_AUTO_TEST_CASE(answerOfAKilledNodeIsNotComplete) {
  TestMesh Mesh({{"k1", "store"}, {"k2", "desk"}});
  Mesh.at(1).upstream().setEarlyBehaviour([](const ReceivedRequest &Request) {
    return resetAnswer(Request, 400'000, milliseconds(1200));
  });
  std::thread Killer([&] {
    std::this_thread::sleep_for(milliseconds(400));
    Mesh.at(0).node().kill();
  });
  const RawExchange Result =
      exchangeRaw(Mesh.at(0).outboundPort(), headOf("HTTP/1.0", 0), 0);
  Killer.join();
  BOOST_TEST(isSuccess(Result));
  BOOST_TEST(!looksComplete(Result));
}

// Guards against an answer whose status is no status, taken for an answer.
BOOST_AUTO_TEST_CASE(answerWithoutAStatusIsAFailure) {
  TestMesh Mesh({{"s1", "store"}, {"s2", "desk"}});
  for (const char *Status : {"000", "00", "0", "099", "20", "2000", "abc"}) {
    Mesh.at(1).upstream().setBehaviour(
        [Status](const ReceivedRequest &Request) {
          RawResponse Response = completeResponse(Request, "trouble");
          Response.Bytes.replace(Response.Bytes.find("200"), 3, Status);
          return Response;
        });
    for (auto &Item : Mesh.Instances) {
      BOOST_TEST(Item->post("/write/status", "x").Status == 502);
      BOOST_TEST(Item->get("/read/status").Status == 502);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
