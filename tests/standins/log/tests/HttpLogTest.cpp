#define BOOST_TEST_MODULE HttpLog
#include "LogServer.h"
#include "settings/Settings.h"
#include "streamlog/StreamLog.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace lycheethread;
using streamlog::LogBatch;
using streamlog::LogClient;
using streamlog::LogTrimmed;
using streamlog::LogUnavailable;
using Clock = std::chrono::steady_clock;

namespace {

const StreamName Control("control");
constexpr Milliseconds Timeout{500};

struct Fixture {
  testlog::LogServer Server{"127.0.0.1:0", 1000};
  LogClient Log = streamlog::makeHttpLog(url(), Timeout);

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server.port());
  }
};

Milliseconds elapsedSince(Clock::time_point Start) {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - Start);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpLog, Fixture)

// Guards against offsets or bytes that change between append and read.
BOOST_AUTO_TEST_CASE(RecordsComeBackInOrderAndUnchanged) {
  std::string Binary(300, '\0');
  for (std::size_t I = 0; I < Binary.size(); ++I)
    Binary[I] = static_cast<char>(I);
  BOOST_TEST(Log.Append(Control, "a") == Offset(0));
  BOOST_TEST(Log.Append(Control, Binary) == Offset(1));
  BOOST_TEST(Log.Append(Control, "") == Offset(2));
  const LogBatch Batch = Log.Read(Control, Offset(0), 10, Milliseconds(0));
  BOOST_REQUIRE(Batch.Records.size() == 3);
  BOOST_TEST(Batch.Records[1].Data == Binary);
  BOOST_TEST(Batch.Records[2].Data.empty());
  BOOST_TEST(Log.Read(Control, Offset(0), 2, Milliseconds(0)).Records.size() ==
             2);
  BOOST_TEST(Log.Bounds(Control).Next == Offset(3));
  BOOST_TEST(Log.Bounds(StreamName("new")).Next == Offset(0));
}

// Guards against a long poll that waits for its full time although a record was
// appended, which would delay every configuration change.
BOOST_AUTO_TEST_CASE(LongPollReturnsOnAppend) {
  std::thread Writer([this] {
    std::this_thread::sleep_for(Milliseconds(100));
    Log.Append(Control, "late");
  });
  const auto Start = Clock::now();
  const LogBatch Batch = Log.Read(Control, Offset(0), 10, Milliseconds(5000));
  Writer.join();
  BOOST_TEST(Batch.Records.size() == 1);
  BOOST_TEST(elapsedSince(Start).count() < 3000);
}

// Guards against records that are skipped without an error after a trim.
BOOST_AUTO_TEST_CASE(TrimmedOffsetsAreReportedWithTheBounds) {
  for (int I = 0; I < 5; ++I)
    Log.Append(Control, "x");
  Server.store().trim("control", 3);
  try {
    Log.Read(Control, Offset(1), 10, Milliseconds(0));
    BOOST_FAIL("the read of a trimmed offset returned");
  } catch (const LogTrimmed &Error) {
    BOOST_TEST(Error.kept().First == Offset(3));
    BOOST_TEST(Error.kept().Next == Offset(5));
  }
}

// Guards against a client that retries an append on its own, and against one
// that reports a lost response as success.
BOOST_AUTO_TEST_CASE(LostResponseIsUnavailableAndAppendTakesEffectOnce) {
  Log.Append(Control, "first");
  Server.store().loseAnswers(1);
  BOOST_CHECK_THROW(Log.Append(Control, "second"), LogUnavailable);
  const LogBatch Batch = Log.Read(Control, Offset(0), 10, Milliseconds(0));
  BOOST_TEST(Batch.Records.size() == 2);
}

// Guards against calls that hang during an outage or with a slow log.
BOOST_AUTO_TEST_CASE(OutagesAndDelaysEndInTime) {
  Server.store().setOutage(true);
  BOOST_CHECK_THROW(Log.Bounds(Control), LogUnavailable);
  BOOST_CHECK_THROW(Log.Append(Control, "x"), LogUnavailable);
  Server.store().setOutage(false);
  Server.store().setDelay(Milliseconds(1500));
  const auto Start = Clock::now();
  BOOST_CHECK_THROW(Log.Bounds(Control), LogUnavailable);
  BOOST_TEST(elapsedSince(Start).count() < 1200);
}

// Guards against data races in the session pool, and against responses that
// reach the wrong caller.
BOOST_AUTO_TEST_CASE(SeveralThreadsShareOneClient) {
  std::atomic<int> Mismatches{0};
  std::vector<std::thread> Threads;
  for (int I = 0; I < 8; ++I)
    Threads.emplace_back([this, I, &Mismatches] {
      const StreamName Own("stream-" + std::to_string(I));
      for (int K = 0; K < 50; ++K)
        if (Log.Append(Own, "x") != Offset(K))
          ++Mismatches;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  BOOST_TEST(Mismatches == 0);
}

// Guards against a module that looks up the settings before they are
// registered.
BOOST_AUTO_TEST_CASE(ModuleConnectsToTheConfiguredLog) {
  kernel::Kernel Kernel;
  kernel::Module Settings;
  Settings.RegisterServices = [this](kernel::ServiceRegistry &Registry) {
    auto Made = std::make_shared<settings::NodeSettings>();
    Made->LogUrl = url();
    Registry.add<settings::NodeSettings>(kernel::service_names::Settings, Made);
  };
  Kernel.add(streamlog::makeStreamLogModule());
  Kernel.add(Settings);
  Kernel.start();
  const auto Found =
      Kernel.registry().find<LogClient>(kernel::service_names::Log);
  BOOST_TEST(Found->Append(Control, "x") == Offset(0));
  Kernel.stop();
  BOOST_CHECK_THROW(streamlog::makeHttpLog("localhost:1", Timeout),
                    std::invalid_argument);
}

BOOST_AUTO_TEST_SUITE_END()
