#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr std::int64_t BodyBytes = 280'000;
/// 10 Mbit/s.
constexpr double NarrowLink = 1250;

} // namespace

BOOST_AUTO_TEST_SUITE(Uploads)

// Load pattern: uploads to an upstream behind a link of 10 Mbit/s that they
// could fill. Guards against calls of 250 ms that queue behind 26 uploads on
// the link.
BOOST_AUTO_TEST_CASE(narrowLinkLimitsConcurrentUploads) {
  UploadBacklog Narrow;
  Narrow.BytesPerMs = NarrowLink;
  BOOST_TEST(maxConcurrentUploads(Narrow) * 64 * 1024 / NarrowLink <= 125);
  BOOST_TEST(maxConcurrentUploads(Narrow) >= 1);
  BOOST_TEST(maxConcurrentUploads(UploadBacklog{}) > 10);
}

BOOST_AUTO_TEST_CASE(uploadThatCannotArriveInTimeIsDelayed) {
  UploadBacklog Narrow;
  Narrow.BytesPerMs = NarrowLink;
  const Milliseconds Service{300};
  const Milliseconds Objective{1200};
  BOOST_TEST(uploadDelay(Narrow, BodyBytes, Service, Objective).count() == 0);
  Narrow.PendingBytes = 2 * BodyBytes;
  BOOST_TEST(uploadDelay(Narrow, BodyBytes, Service, Objective).count() == 0);
  Narrow.PendingBytes = 4 * BodyBytes;
  BOOST_TEST(uploadDelay(Narrow, BodyBytes, Service, Objective).count() > 0);
}

// Guards against a link that stays idle because a single body takes longer on
// it than its objective allows.
BOOST_AUTO_TEST_CASE(idleLinkAcceptsAnyBody) {
  UploadBacklog Narrow;
  Narrow.BytesPerMs = NarrowLink;
  BOOST_TEST(
      uploadDelay(Narrow, 10 * BodyBytes, Milliseconds(300), Milliseconds(500))
          .count() == 0);
}

// Guards against a long body that crosses a link although the limit of the
// upstream is used up by the time it has arrived.
BOOST_AUTO_TEST_CASE(uploadsBeyondTheLimitAreNotReceived) {
  HopQueue Queue;
  UploadBacklog Backlog;
  constexpr Milliseconds Objective{500};
  BOOST_TEST(uploadPermitExcess(Queue, Backlog, 50, Objective, SteadyTime(0))
                 .count() == 0);
  requests::recordStatedLimit(Queue.Limit, 2, SteadyTime(0), SteadyTime(0));
  BOOST_TEST(
      uploadPermitExcess(Queue, Backlog, 0, Objective, SteadyTime(0)).count() ==
      0);
  Backlog.Receiving = 1;
  // The next permit comes after 500 ms, of which 100 may pass.
  BOOST_TEST(
      uploadPermitExcess(Queue, Backlog, 0, Objective, SteadyTime(0)).count() ==
      400);
}

BOOST_AUTO_TEST_SUITE_END()
