#include "BadServer.h"
#include "Mutator.h"
#include "streamlog/StreamLog.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using robustness::BadServer;
using robustness::Mutator;
using streamlog::LogClient;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::uint64_t Seed = 20261204;
const StreamName Control("control");

std::string httpResponse(const std::string &Status, const std::string &Body) {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string validReadResponse() {
  return httpResponse("200 OK", "{\"first\":0,\"next\":2,\"records\":["
                                "{\"offset\":0,\"data\":\"YWJj\"},"
                                "{\"offset\":1,\"data\":\"ZA==\"}]}");
}

std::string validAppendResponse() {
  return httpResponse("201 Created", "{\"offset\":7}");
}

std::string deeplyNestedResponse(std::size_t Depth) {
  return httpResponse("200 OK", "{\"first\":" + std::string(Depth, '['));
}

std::string chunkedResponse(const std::string &Chunks) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks;
}

std::string responseWithManyHeaders() {
  std::string Text = "HTTP/1.1 200 OK\r\n";
  for (int I = 0; I < 2000; ++I)
    Text += "x-" + std::to_string(I) + ": " + std::string(100, 'v') + "\r\n";
  return Text;
}

std::string malformedResponse(Mutator &Random) {
  const std::string Valid =
      Random.nextBelow(2) == 0 ? validReadResponse() : validAppendResponse();
  switch (Random.nextBelow(9)) {
  case 0:
    return Valid.substr(0, Random.nextBelow(Valid.size()));
  case 1:
    return Random.randomBytes(500);
  case 2:
    return "HTTP/1.1 200 OK\r\n" + Random.randomBytes(500);
  case 3:
    return httpResponse("200 OK", Random.randomBytes(200));
  case 4:
    return httpResponse("410 Gone", Random.mutate("{\"first\":3,\"next\":9}"));
  case 5:
    return chunkedResponse(
        Random.mutate("5\r\n{\"fir\r\nffffffffffff\r\nst\""));
  case 6:
    return deeplyNestedResponse(Random.nextBelow(5000));
  case 7:
    return Random.nextBelow(10) == 0 ? responseWithManyHeaders()
                                     : Random.mutate(Valid);
  default:
    return Random.mutate(Valid);
  }
}

void checkBatch(const streamlog::LogBatch &Batch) {
  BOOST_TEST(Batch.Bounds.First <= Batch.Bounds.Next);
  Offset Expected(0);
  for (const streamlog::LogRecord &Entry : Batch.Records) {
    BOOST_TEST(Entry.At == Expected);
    Expected = Expected.next();
  }
  BOOST_TEST(Expected <= Batch.Bounds.Next);
}

/// Makes a call and returns whether it succeeded. Only the documented
/// exceptions are caught; any other one fails the test.
bool callSucceeds(const LogClient &Log, std::size_t Operation) {
  try {
    if (Operation == 0)
      Log.Append(Control, "x");
    else if (Operation == 1)
      Log.Bounds(Control);
    else
      checkBatch(Log.Read(Control, Offset(0), 10, Milliseconds(0)));
    return true;
  } catch (const streamlog::LogUnavailable &) {
    return false;
  } catch (const streamlog::LogTrimmed &Error) {
    BOOST_TEST(Error.kept().First > Offset(0));
    return false;
  }
}

} // namespace

// Guards against responses that crash the client, cause undocumented exceptions
// or yield records out of order.
BOOST_AUTO_TEST_CASE(MalformedResponsesAreReportedAsUnavailable) {
  constexpr int InputCount = 4'000;
  BadServer Server;
  const LogClient Log =
      streamlog::makeHttpLog(Server.url(), Milliseconds(1000));
  Server.prepare({validReadResponse()});
  BOOST_TEST(Log.Read(Control, Offset(0), 10, Milliseconds(0)).Records.size() ==
             2);
  Mutator Random(Seed);
  int Succeeded = 0;
  for (int I = 0; I < InputCount; ++I) {
    Server.prepare({malformedResponse(Random)});
    Succeeded += callSucceeds(Log, Random.nextBelow(3));
  }
  BOOST_TEST_MESSAGE("HttpLog: " << InputCount << " malformed responses, "
                                 << Succeeded << " of them usable");
  BOOST_TEST(Succeeded < InputCount);
}

// Guards against a call that exceeds its timeout because bytes keep arriving,
// in the header or in the body.
BOOST_AUTO_TEST_CASE(SlowResponsesTimeOut) {
  constexpr int InputCount = 20;
  constexpr Milliseconds Timeout{100};
  BadServer Server;
  const LogClient Log = streamlog::makeHttpLog(Server.url(), Timeout);
  Mutator Random(Seed + 1);
  for (int I = 0; I < InputCount; ++I) {
    Server.prepare(
        {validReadResponse(), Milliseconds(1 + Random.nextBelow(20))});
    const auto Start = Clock::now();
    BOOST_TEST(!callSucceeds(Log, 1 + Random.nextBelow(2)));
    BOOST_TEST((Clock::now() - Start < std::chrono::seconds(2)));
  }
}

// Guards against memory use that grows with the length of a response.
BOOST_AUTO_TEST_CASE(OversizedResponsesAreRejected) {
  constexpr int InputCount = 5;
  BadServer Server;
  const LogClient Log =
      streamlog::makeHttpLog(Server.url(), Milliseconds(5000));
  Server.prepare({httpResponse("200 OK", std::string(24 * 1024 * 1024, ' '))});
  for (int I = 0; I < InputCount; ++I) {
    try {
      Log.Bounds(Control);
      BOOST_ERROR("an oversized response was accepted");
    } catch (const streamlog::LogUnavailable &Error) {
      const std::string Text = Error.what();
      BOOST_TEST(Text.find("more than") != std::string::npos, Text);
    }
  }
}
