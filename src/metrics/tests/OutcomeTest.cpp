#include "AllocationCount.h"
#include "MetricsServices.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace lycheethread;
using namespace lycheethread::metrics;
using organisations::OrganisationId;

namespace {

RequestSample sampleOf(const std::string &Organisation,
                       const RequestOutcome &Outcome = {}) {
  RequestSample Sample;
  Sample.Caller = CallerId("desk");
  Sample.Organisation = OrganisationId(Organisation);
  Sample.Latency = std::chrono::milliseconds(10);
  Sample.Outcome = Outcome;
  return Sample;
}

RequestOutcome refused(RefusalReason Reason) {
  return {RequestEnd::Refused, Reason};
}

bool has(const std::string &Text, const std::string &Line) {
  return Text.find(Line + "\n") != std::string::npos;
}

std::string requests(const std::string &Organisation,
                     const std::string &Outcome, int Count) {
  return "lycheethread_requests_total{organisation=\"" + Organisation +
         "\",class=\"repeatable\",outcome=\"" + Outcome + "\"} " +
         std::to_string(Count);
}

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Outcomes)

// Guards against refusals that operators cannot tell apart or cannot attribute
// to an organisation.
BOOST_AUTO_TEST_CASE(requestsAreCountedByOrganisationAndOutcome) {
  Services Tested;
  for (const RequestOutcome &Outcome :
       {RequestOutcome(), RequestOutcome(), RequestOutcome{RequestEnd::Failed},
        RequestOutcome{RequestEnd::CallerLeft},
        refused(RefusalReason::OverQuota), refused(RefusalReason::QueueFull),
        refused(RefusalReason::OverQuota)})
    Tested.Requests->Record(sampleOf("acme", Outcome));
  Tested.Requests->Record(sampleOf("bolt"));
  const std::string Text = Tested.Reader->Exposition();
  BOOST_TEST(has(Text, requests("acme", "answered", 2)));
  BOOST_TEST(has(Text, requests("acme", "failed", 1)));
  BOOST_TEST(has(Text, requests("acme", "caller-left", 1)));
  BOOST_TEST(has(Text, requests("acme", "over-quota", 2)));
  BOOST_TEST(has(Text, requests("acme", "queue-full", 1)));
  BOOST_TEST(has(Text, requests("bolt", "answered", 1)));
}

// Guards against refusals, which take a millisecond, in the latency of an
// organisation, and against bounds that a Prometheus server misinterprets.
BOOST_AUTO_TEST_CASE(latencyIsThatOfServedRequests) {
  Services Tested;
  for (const RequestOutcome &Outcome :
       {RequestOutcome(), RequestOutcome{RequestEnd::Failed},
        RequestOutcome{RequestEnd::CallerLeft},
        refused(RefusalReason::OverQuota)})
    Tested.Requests->Record(sampleOf("acme", Outcome));
  Tested.Requests->Record(sampleOf("bolt", refused(RefusalReason::QueueFull)));
  const std::string Text = Tested.Reader->Exposition();
  const std::string Start = "lycheethread_organisation_latency_seconds_bucket{"
                            "organisation=\"acme\",class=\"repeatable\",le=";
  BOOST_TEST(has(Text, Start + "\"0.008192\"} 0"));
  BOOST_TEST(has(Text, Start + "\"0.016384\"} 2"));
  BOOST_TEST(has(Text, Start + "\"+Inf\"} 2"));
  BOOST_TEST(countOf(Text, "latency_seconds_bucket{organisation=\"bolt\"") ==
             0U);
}

// Guards against a series under an empty name for requests without an
// organisation, whose outcomes must be counted all the same, and against
// outcomes of hops that know none.
BOOST_AUTO_TEST_CASE(requestsWithoutOrganisationHaveNoLatencySeries) {
  Services Tested;
  Tested.Requests->Record(sampleOf("", refused(RefusalReason::NoRoute)));
  Tested.Requests->Record(sampleOf(""));
  RequestSample Unknown = sampleOf("acme");
  Unknown.Outcome.reset();
  Tested.Requests->Record(Unknown);
  const std::string Text = Tested.Reader->Exposition();
  BOOST_TEST(countOf(Text, "organisation_latency_seconds_bucket{") == 0U);
  BOOST_TEST(has(Text, requests("", "no-route", 1)));
  BOOST_TEST(has(Text, requests("", "answered", 1)));
  BOOST_TEST(countOf(Text, "organisation=\"acme\"") == 0U);
}

// Guards against nested calls, pipelined requests and refused keys that are
// not counted, or are counted for other requests, too.
BOOST_AUTO_TEST_CASE(nestedPipelinedAndKeysHaveTheirOwnCounters) {
  Services Tested;
  RequestSample Nested = sampleOf("", refused(RefusalReason::QueueFull));
  Nested.IsNestedCall = true;
  Tested.Requests->Record(Nested);
  RequestSample Pipelined = sampleOf("acme");
  Pipelined.IsPipelined = true;
  Tested.Requests->Record(Pipelined);
  Tested.Requests->Record(Pipelined);
  Tested.Requests->Record(sampleOf("", refused(RefusalReason::UnknownKey)));
  const std::string Text = Tested.Reader->Exposition();
  for (const char *Line :
       {"lycheethread_nested_calls_total{outcome=\"queue-full\"} 1",
        "lycheethread_pipelined_requests_total{outcome=\"answered\"} 2",
        "lycheethread_key_refusals_total{outcome=\"unknown-key\"} 1",
        "lycheethread_key_refusals_total{outcome=\"keys-unconfirmed\"} 0"})
    BOOST_TEST(has(Text, Line), Line);
  BOOST_TEST(countOf(Text, "lycheethread_nested_calls_total{") == 1U);
  BOOST_TEST(countOf(Text, "lycheethread_pipelined_requests_total{") == 1U);
}

// Guards against memory and exposition that grow with the configuration, and
// against two series with the same labels.
BOOST_AUTO_TEST_CASE(furtherOrganisationsAreCountedTogether) {
  Services Tested;
  Tested.Requests->Record(sampleOf("(other)"));
  for (int Round = 0; Round < 2; ++Round)
    for (int I = 0; I < 300; ++I)
      Tested.Requests->Record(sampleOf("o" + std::to_string(I)));
  const std::string Text = Tested.Reader->Exposition();
  BOOST_TEST(countOf(Text, "lycheethread_requests_total{") ==
             MaxOrganisations + 1);
  BOOST_TEST(has(Text, requests("o255", "answered", 2)));
  BOOST_TEST(has(Text, requests("(other)", "answered", 2 * (300 - 256) + 1)));
}

// Guards against quotas whose counts do not appear, and against sums that lose
// organisations beyond the limit.
BOOST_AUTO_TEST_CASE(quotasAreExposedByOrganisation) {
  BOOST_TEST(quotaExposition({}).empty());
  std::vector<QuotaUse> Uses;
  for (int I = 0; I < 300; ++I) {
    QuotaUse Use;
    Use.Organisation = OrganisationId("o" + std::to_string(I));
    Use.Counts = {1, 2, 3, 4, 5, 6};
    Use.IsOwner = I % 2 == 0;
    Uses.push_back(Use);
  }
  const std::string Text = quotaExposition(Uses);
  const std::string Start = "lycheethread_quota_";
  const std::string First = "{organisation=\"o0\"} ";
  BOOST_TEST(has(Text, Start + "granted_permits_used_total" + First + "1"));
  BOOST_TEST(has(Text, Start + "fallback_permits_used_total" + First + "2"));
  BOOST_TEST(has(Text, Start + "permits_returned_total" + First + "3"));
  BOOST_TEST(has(Text, Start + "refused_total" + First + "4"));
  BOOST_TEST(has(Text, Start + "asks_total" + First + "5"));
  BOOST_TEST(has(Text, Start + "asks_unanswered_total" + First + "6"));
  BOOST_TEST(has(Text, Start + "owner" + First + "1"));
  BOOST_TEST(has(Text, Start + "owner{organisation=\"o1\"} 0"));
  BOOST_TEST(has(Text, Start + "refused_total{organisation=\"(other)\"} 176"));
  BOOST_TEST(has(Text, Start + "owner{organisation=\"(other)\"} 22"));
}

// Guards against an exposition of the build farm's 84 organisations that
// reaches 1 MB, when each has been refused for every reason that an entry
// gives; prints the size and the time that writing it takes.
BOOST_AUTO_TEST_CASE(expositionOf84OrganisationsStaysBelowOneMegabyte) {
  Services Tested;
  std::vector<QuotaUse> Uses;
  std::vector<RequestOutcome> Ends{{RequestEnd::Answered, {}},
                                   {RequestEnd::Failed, {}},
                                   {RequestEnd::CallerLeft, {}}};
  for (const RefusalReason Reason :
       {RefusalReason::NoUpstream, RefusalReason::Draining,
        RefusalReason::QueueFull, RefusalReason::Deadline,
        RefusalReason::UpstreamFailed, RefusalReason::UpstreamTimeout,
        RefusalReason::CrashSuspect, RefusalReason::NotReady,
        RefusalReason::RateLimited, RefusalReason::OverQuota,
        RefusalReason::NoAllowedRegion})
    Ends.push_back(refused(Reason));
  for (int I = 0; I < 84; ++I) {
    const std::string Name = "organisation-" + std::to_string(100 + I);
    for (const RequestClass Class :
         {RequestClass::Repeatable, RequestClass::OnceOnly,
          RequestClass::Upload})
      for (const RequestOutcome &End : Ends) {
        RequestSample Sample = sampleOf(Name, End);
        Sample.Class = Class;
        for (int Times = 0; Times < 1000; ++Times)
          Tested.Requests->Record(Sample);
      }
    Uses.push_back(
        {OrganisationId(Name), {1000, 1000, 1000, 1000, 1000, 1000}, true});
  }
  const auto Start = std::chrono::steady_clock::now();
  const std::size_t Size =
      (Tested.Reader->Exposition() + quotaExposition(Uses)).size();
  const std::chrono::duration<double, std::milli> Took =
      std::chrono::steady_clock::now() - Start;
  BOOST_TEST_MESSAGE("exposition: " << Size << " bytes in " << Took.count()
                                    << " ms");
  BOOST_TEST(Size < 1'000'000U);
}

// Guards against allocations on the request path for series that exist.
BOOST_AUTO_TEST_CASE(recordingAllocatesOnlyForNewSeries) {
  Services Tested;
  const std::string Name = "an-organisation-with-a-name-on-the-heap";
  RequestSample Served = sampleOf(Name);
  Served.IsNestedCall = true;
  Served.IsPipelined = true;
  const RequestSample Refused =
      sampleOf(Name, refused(RefusalReason::OverQuota));
  Tested.Requests->Record(Served);
  Tested.Requests->Record(Refused);
  const std::size_t Before = allocationCount();
  for (int I = 0; I < 1000; ++I) {
    Tested.Requests->Record(Served);
    Tested.Requests->Record(Refused);
  }
  const std::size_t During = allocationCount() - Before;
  BOOST_TEST(During == 0U);
  // The counter itself must work.
  const std::size_t Earlier = allocationCount();
  Tested.Requests->Record(sampleOf("another-organisation-on-the-heap"));
  BOOST_TEST(allocationCount() > Earlier);
}

// Guards against a recorder that takes more than 5 us per sample on the request
// path with 84 organisations; prints the measured time.
BOOST_AUTO_TEST_CASE(recordingIsCheapWithManyOrganisations) {
  Services Tested;
  std::vector<RequestSample> Samples;
  for (int I = 0; I < 84; ++I)
    Samples.push_back(sampleOf("organisation-" + std::to_string(100 + I)));
  constexpr int Rounds = 2000;
  const auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Rounds; ++I)
    for (const RequestSample &Sample : Samples)
      Tested.Requests->Record(Sample);
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  const double Each =
      Took.count() / (Rounds * static_cast<double>(Samples.size()));
  BOOST_TEST_MESSAGE("one sample: " << Each << " us");
  BOOST_TEST(Each < 5);
}

BOOST_AUTO_TEST_SUITE_END()
