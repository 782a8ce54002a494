#include "moveowner/internal/OutcomeCodec.h"
#include "moveowner/internal/SerialWorker.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::moveowner;

namespace {

ServiceReport sampleReport() {
  RouteOutcomes Seen;
  Seen.Group = GroupName("main");
  Seen.Route = RouteName("tickets");
  Seen.Version = VersionName("v2");
  Seen.Requests = 300;
  Seen.Failures = 7;
  Seen.Latency[3] = 290;
  Seen.Latency[23] = 10;
  return {ServiceName("desk"), {NodeId("n1"), Milliseconds(1234), {Seen}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(OutcomeCodec)

// Guards against counts that end up in another latency bucket.
BOOST_AUTO_TEST_CASE(AReportArrivesAsItWasSent) {
  const ServiceReport Sent = sampleReport();
  const ServiceReport Read = decodeReport(encodeReport(Sent));
  BOOST_TEST(Read.Service == Sent.Service);
  BOOST_TEST(Read.Report.Hop == Sent.Report.Hop);
  BOOST_TEST(
      (Read.Report.TimeSinceFirstRequest == Sent.Report.TimeSinceFirstRequest));
  BOOST_REQUIRE(Read.Report.Routes.size() == 1U);
  BOOST_TEST((Read.Report.Routes[0].Latency == Sent.Report.Routes[0].Latency));
  BOOST_TEST(Read.Report.Routes[0].Failures == 7);
  BOOST_TEST(decodeStopNotice(encodeStopNotice(MoveId("a/b/1"))) ==
             MoveId("a/b/1"));
}

// Guards against a crash, or an oversized allocation, on a damaged message.
BOOST_AUTO_TEST_CASE(DamagedMessagesAreRefused) {
  const std::string Whole = encodeReport(sampleReport());
  for (std::size_t Cut = 0; Cut + 1 < Whole.size(); ++Cut)
    BOOST_CHECK_THROW(decodeReport(Whole.substr(0, Cut)), BadMessage);
  for (std::size_t I = 0; I < Whole.size(); ++I) {
    std::string Damaged = Whole;
    Damaged[I] = static_cast<char>(0xff);
    try {
      decodeReport(Damaged);
    } catch (const BadMessage &) {
      continue;
    }
  }
  BOOST_CHECK_THROW(decodeStopNotice(std::string(1, '\0')), BadMessage);
}

// Guards against a growing queue of stale appends while the log does not
// respond.
BOOST_AUTO_TEST_CASE(AWorkerKeepsNoQueue) {
  std::promise<void> Release;
  std::promise<void> Done;
  SerialWorker Worker;
  BOOST_TEST(Worker.offer([&] { Release.get_future().wait(); }));
  BOOST_TEST(!Worker.offer([] {}));
  Release.set_value();
  while (!Worker.offer([&] { Done.set_value(); }))
    std::this_thread::yield();
  Done.get_future().wait();
}

BOOST_AUTO_TEST_SUITE_END()
