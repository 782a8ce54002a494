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

std::string answer(const std::string &Status, const std::string &Body) {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string goodRead() {
  return answer("200 OK", "{\"first\":0,\"next\":2,\"records\":["
                          "{\"offset\":0,\"data\":\"YWJj\"},"
                          "{\"offset\":1,\"data\":\"ZA==\"}]}");
}

std::string goodAppend() { return answer("201 Created", "{\"offset\":7}"); }

std::string nested(std::size_t Depth) {
  return answer("200 OK", "{\"first\":" + std::string(Depth, '['));
}

std::string chunked(const std::string &Chunks) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks;
}

std::string manyHeaders() {
  std::string Text = "HTTP/1.1 200 OK\r\n";
  for (int I = 0; I < 2000; ++I)
    Text += "x-" + std::to_string(I) + ": " + std::string(100, 'v') + "\r\n";
  return Text;
}

std::string badAnswer(Mutator &Random) {
  const std::string Good = Random.below(2) == 0 ? goodRead() : goodAppend();
  switch (Random.below(9)) {
  case 0:
    return Good.substr(0, Random.below(Good.size()));
  case 1:
    return Random.randomBytes(500);
  case 2:
    return "HTTP/1.1 200 OK\r\n" + Random.randomBytes(500);
  case 3:
    return answer("200 OK", Random.randomBytes(200));
  case 4:
    return answer("410 Gone", Random.mutated("{\"first\":3,\"next\":9}"));
  case 5:
    return chunked(Random.mutated("5\r\n{\"fir\r\nffffffffffff\r\nst\""));
  case 6:
    return nested(Random.below(5000));
  case 7:
    return Random.below(10) == 0 ? manyHeaders() : Random.mutated(Good);
  default:
    return Random.mutated(Good);
  }
}

void checkBatch(const streamlog::LogBatch &Batch) {
  BOOST_TEST(Batch.Bounds.First <= Batch.Bounds.Next);
  Offset Expected(0);
  for (const streamlog::LogRecord &Item : Batch.Records) {
    BOOST_TEST(Item.At == Expected);
    Expected = Expected.next();
  }
  BOOST_TEST(Expected <= Batch.Bounds.Next);
}

/// Whether a call was answered; anything but the documented exceptions goes on
/// to the test.
bool callIsAnswered(const LogClient &Log, std::size_t Kind) {
  try {
    if (Kind == 0)
      Log.Append(Control, "x");
    else if (Kind == 1)
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

// Guards against answers that crash the client, raise undocumented exceptions
// or yield records out of order.
BOOST_AUTO_TEST_CASE(BadAnswersOfTheLogAreUnavailable) {
  constexpr int Inputs = 4'000;
  BadServer Server;
  const LogClient Log =
      streamlog::makeHttpLog(Server.url(), Milliseconds(1000));
  Server.prepare({goodRead()});
  BOOST_TEST(Log.Read(Control, Offset(0), 10, Milliseconds(0)).Records.size() ==
             2);
  Mutator Random(Seed);
  int Answered = 0;
  for (int I = 0; I < Inputs; ++I) {
    Server.prepare({badAnswer(Random)});
    Answered += callIsAnswered(Log, Random.below(3));
  }
  BOOST_TEST_MESSAGE("HttpLog: " << Inputs << " bad answers, " << Answered
                                 << " still usable");
  BOOST_TEST(Answered < Inputs);
}

// Guards against a call that outlasts its time-out because bytes keep coming,
// in the head or in the body.
BOOST_AUTO_TEST_CASE(SlowAnswersEndInTime) {
  constexpr int Inputs = 20;
  constexpr Milliseconds Timeout{100};
  BadServer Server;
  const LogClient Log = streamlog::makeHttpLog(Server.url(), Timeout);
  Mutator Random(Seed + 1);
  for (int I = 0; I < Inputs; ++I) {
    Server.prepare({goodRead(), Milliseconds(1 + Random.below(20))});
    const auto Start = Clock::now();
    BOOST_TEST(!callIsAnswered(Log, 1 + Random.below(2)));
    BOOST_TEST((Clock::now() - Start < std::chrono::seconds(2)));
  }
}

// Guards against memory that grows with the length of an answer.
BOOST_AUTO_TEST_CASE(OversizedAnswersAreCutOff) {
  constexpr int Inputs = 5;
  BadServer Server;
  const LogClient Log =
      streamlog::makeHttpLog(Server.url(), Milliseconds(5000));
  Server.prepare({answer("200 OK", std::string(24 * 1024 * 1024, ' '))});
  for (int I = 0; I < Inputs; ++I) {
    try {
      Log.Bounds(Control);
      BOOST_ERROR("an oversized answer was taken");
    } catch (const streamlog::LogUnavailable &Error) {
      const std::string Text = Error.what();
      BOOST_TEST(Text.find("more than") != std::string::npos, Text);
    }
  }
}
