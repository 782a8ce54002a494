#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

const AvailabilityZone North("north");
const AvailabilityZone South("south");

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationDecisions)

// Guards against requests to a zone that is evacuated, and against zones that
// are affected without a record.
BOOST_AUTO_TEST_CASE(statedZonesGetNothing) {
  Evacuation Known;
  const EvacuationChange Change =
      updateEvacuation(Known, {North}, SteadyTime(100));
  BOOST_TEST(Change.Evacuated.count(North) == 1U);
  BOOST_TEST(Change.Returned.empty());
  BOOST_TEST(isEvacuated(Known, North));
  BOOST_TEST(!isEvacuated(Known, South));
  BOOST_TEST(requestShare(Known, North, SteadyTime(100'000)) == 0);
  BOOST_TEST(requestShare(Known, South, SteadyTime(100)) == 1);
  // The same records again change nothing.
  BOOST_TEST(
      updateEvacuation(Known, {North}, SteadyTime(200)).Evacuated.empty());
  BOOST_TEST(Known.Zones[North].Since.value() == 100);
}

// Guards against a zone that gets all its requests at once when it returns, or
// never gets all of them again.
BOOST_AUTO_TEST_CASE(returnedZoneGetsItsRequestsGradually) {
  Evacuation Known;
  updateEvacuation(Known, {North, South}, SteadyTime(0));
  const EvacuationChange Change =
      updateEvacuation(Known, {South}, SteadyTime(10'000));
  BOOST_TEST(Change.Returned.count(North) == 1U);
  BOOST_TEST(!isEvacuated(Known, North));
  BOOST_TEST(isEvacuated(Known, South));
  double Last = 0;
  for (int Ms = 0; Ms <= 5000; Ms += 100) {
    const double Share = requestShare(Known, North, SteadyTime(10'000 + Ms));
    BOOST_TEST(Share > Last);
    BOOST_TEST(Share <= 0.1 + 0.9 * Ms / 5000 + 1e-9);
    Last = Share;
  }
  BOOST_TEST(Last == 1);
  BOOST_TEST(requestShare(Known, North, SteadyTime(60'000)) == 1);
  // Evacuated again during the rise.
  updateEvacuation(Known, {North, South}, SteadyTime(11'000));
  BOOST_TEST(requestShare(Known, North, SteadyTime(11'000)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
