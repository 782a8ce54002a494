#include "RawCall.h"
#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lycheethread::platformtest;
using lycheethread::harness::HttpAnswer;
using lycheethread::harness::HttpCall;
using std::chrono::milliseconds;

namespace {

const std::string Key = "secret-key-of-acme";
const milliseconds ApplyLimit{3000};

/// One organisation with a limit, and a public route.
std::string limitedConfiguration(const std::string &PerSecond) {
  std::string Text = configuration(
      2, R"(,{"name":"open","type":"idempotent","public":true,)"
         R"("target_latency_s":0.4,"priority":1,"match":)"
         R"({"path_prefix":"/open/"},"action":{"backend_service":"desk",)"
         R"("timeout_s":1.2,"attempts":2}})");
  Text.pop_back();
  return Text + R"(,"tenants":[{"name":"acme","api_keys":[")" + Key +
         R"("],"rate_per_s":)" + PerSecond + R"(,"burst":)" + PerSecond + "}]}";
}

HttpAnswer get(Instance &At, const std::string &Path, const std::string &With) {
  HttpCall Call;
  Call.Port = At.outboundPort();
  Call.Path = Path;
  Call.Headers = {{"Host", "shop.example"},
                  {"X-Attempt-Id", "id" + Path},
                  {"X-Deadline-Ms", "1500"}};
  if (!With.empty())
    Call.Headers["X-Key"] = With;
  return lycheethread::harness::send(Call);
}

void configure(TestMesh &Mesh, const std::string &PerSecond) {
  Mesh.Store.put("keyed.op", "config", limitedConfiguration(PerSecond));
  BOOST_REQUIRE(
      holdsWithin([&] { return get(Mesh.at(0), "/read/x", "").Status == 401; },
                  ApplyLimit));
  // The quota has permits once the owner is known.
  BOOST_REQUIRE(
      holdsWithin([&] { return get(Mesh.at(0), "/read/x", Key).Status == 200; },
                  ApplyLimit));
}

/// Returns the sum of the samples whose line begins with \p Start.
std::int64_t sumOf(const std::string &Text, const std::string &Start) {
  std::int64_t Sum = 0;
  std::size_t At = 0;
  while (At < Text.size()) {
    const std::size_t End = Text.find('\n', At);
    const std::string Line = Text.substr(At, End - At);
    if (Line.rfind(Start, 0) == 0)
      Sum += std::stoll(Line.substr(Line.rfind(' ') + 1));
    At = End == std::string::npos ? Text.size() : End + 1;
  }
  return Sum;
}

std::string requests(const std::string &Organisation,
                     const std::string &Outcome) {
  return "lycheethread_requests_total{organisation=\"" + Organisation +
         "\",class=\"repeatable\",outcome=\"" + Outcome + "\"}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestMetrics)

// Guards against an operator who cannot see that an organisation is refused
// and why, against keys in the metrics, and against series that a caller has
// invented.
BOOST_AUTO_TEST_CASE(outcomesOfAnOrganisationAreCounted) {
  TestMesh Mesh({{"m1"}});
  configure(Mesh, "5");
  const std::string Before = Mesh.at(0).metrics();
  int Answered = 0;
  int Refused = 0;
  for (int I = 0; I < 40; ++I) {
    const int Status =
        get(Mesh.at(0), "/read/" + std::to_string(I), Key).Status;
    Answered += Status == 200 ? 1 : 0;
    Refused += Status == 429 ? 1 : 0;
  }
  BOOST_TEST(get(Mesh.at(0), "/read/x", "invented-key").Status == 401);
  BOOST_TEST(get(Mesh.at(0), "/nowhere/x", Key).Status == 404);
  BOOST_TEST(Answered + Refused == 40);
  BOOST_TEST(Refused > 0);
  const std::string Text = Mesh.at(0).metrics();
  const auto Added = [&](const std::string &Start) {
    return sumOf(Text, Start) - sumOf(Before, Start);
  };
  BOOST_TEST(Added(requests("acme", "answered")) == Answered);
  BOOST_TEST(Added(requests("acme", "over-quota")) == Refused);
  BOOST_TEST(Added(requests("", "unknown-key")) == 1);
  BOOST_TEST(
      Added("lycheethread_key_refusals_total{outcome=\"unknown-key\"}") == 1);
  BOOST_TEST(Added(requests("", "no-route")) == 1);
  const std::string Own = "{organisation=\"acme\"";
  BOOST_TEST(Added("lycheethread_organisation_latency_seconds_count" + Own) ==
             Answered);
  BOOST_TEST(Added("lycheethread_quota_refused_total" + Own) == Refused);
  BOOST_TEST(
      Added("lycheethread_quota_granted_permits_used_total" + Own) +
          Added("lycheethread_quota_fallback_permits_used_total" + Own) ==
      Answered);
  BOOST_TEST(sumOf(Text, "lycheethread_quota_owner" + Own) == 1);
  BOOST_TEST(Text.find(Key) == std::string::npos);
  BOOST_TEST(Text.find("invented-key") == std::string::npos);
}

// Guards against nested calls and pipelined requests that are not counted or
// are taken for others.
BOOST_AUTO_TEST_CASE(nestedCallsAndPipelinedRequestsAreCounted) {
  TestMesh Mesh({{"m2"}});
  configure(Mesh, "500");
  const std::string Nested = "lycheethread_nested_calls_total{outcome=";
  const std::string Pipelined =
      "lycheethread_pipelined_requests_total{outcome=";
  BOOST_TEST(get(Mesh.at(0), "/open/alone", "").Status == 200);
  BOOST_TEST(sumOf(Mesh.at(0).metrics(), Nested) == 0);
  Mesh.at(0).upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request);
    if (Request.RequestLine.find("slow") != std::string::npos)
      Response.Delay = milliseconds(600);
    return Response;
  });
  auto Running = std::async(std::launch::async, [&] {
    return get(Mesh.at(0), "/read/slow", Key).Status;
  });
  BOOST_TEST(holdsWithin(
      [&] {
        const auto All = Mesh.at(0).upstream().receivedRequests();
        return !All.empty() &&
               All.back().RequestLine.find("slow") != std::string::npos;
      },
      ApplyLimit));
  BOOST_TEST(get(Mesh.at(0), "/open/call", "").Status == 200);
  BOOST_TEST(Running.get() == 200);
  BOOST_TEST(sumOf(Mesh.at(0).metrics(), Nested + "\"answered\"}") == 1);
  BOOST_TEST(sumOf(Mesh.at(0).metrics(), Pipelined) == 0);
  const std::string Fields = " HTTP/1.1\r\nHost: shop.example\r\n"
                             "X-Deadline-Ms: 1500\r\nX-Attempt-Id: p\r\n";
  sendRaw(Mesh.at(0).outboundPort(),
          "GET /open/slow" + Fields + "\r\nGET /open/2" + Fields +
              "\r\nGET /none/3" + Fields + "Connection: close\r\n\r\n");
  const std::string Text = Mesh.at(0).metrics();
  BOOST_TEST(sumOf(Text, Pipelined + "\"answered\"}") == 1);
  BOOST_TEST(sumOf(Text, Pipelined + "\"no-route\"}") == 1);
  BOOST_TEST(sumOf(Text, Pipelined) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
