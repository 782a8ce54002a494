#include "sidecar/internal/EntryOutcome.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::sidecar;

namespace {

std::string outcome(const EntryEnd &End) {
  return std::string(metrics::toString(outcomeOf(End)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryOutcomes)

// Guards against requests that may have run and are counted as refused, and
// against refusals that are counted as failures of upstreams.
BOOST_AUTO_TEST_CASE(outcomeTellsRefusalsFromFailures) {
  BOOST_TEST(outcome({0, {}, true}) == "caller-left");
  BOOST_TEST(outcome({200, {}, true}) == "answered");
  BOOST_TEST(outcome({404, {}, true}) == "answered");
  BOOST_TEST(outcome({500, {}, true}) == "failed");
  BOOST_TEST(outcome({503, {}, true}) == "failed");
  BOOST_TEST(outcome({429, RefusalReason::OverQuota, false}) == "over-quota");
  BOOST_TEST(outcome({503, RefusalReason::QueueFull, false}) == "queue-full");
  BOOST_TEST(outcome({401, RefusalReason::UnknownKey, false}) == "unknown-key");
  BOOST_TEST(outcome({404, RefusalReason::NoRoute, false}) == "no-route");
  BOOST_TEST(outcome({504, RefusalReason::UpstreamTimeout, true}) == "failed");
  BOOST_TEST(outcome({502, RefusalReason::UpstreamFailed, true}) == "failed");
}

BOOST_AUTO_TEST_SUITE_END()
