#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace lycheethread::platformtest;
using lycheethread::harness::HttpAnswer;
using lycheethread::harness::HttpCall;

namespace {

using std::chrono::milliseconds;

const milliseconds ApplyLimit{3000};
/// A rejected caller returns after this time at the latest, and the share of
/// admitted requests grows several times until all are.
const milliseconds RecoveryLimit{3000};
/// Time between two requests of a test.
const milliseconds Gap{10};

/// The routes /read/ to "desk", with a key, and /parts/ to "store", without.
std::string withPublicParts(int Version) {
  std::string Text = configuration(
      Version,
      R"(,{"name":"parts","type":"idempotent","public":true,)"
      R"("target_latency_s":0.15,"priority":1,"match":{"path_prefix":"/parts/"},)"
      R"("action":{"backend_service":"store","timeout_s":0.5,"attempts":2}})");
  Text.pop_back();
  return Text + R"(,"tenants":[{"name":"acme","api_keys":["key-1"]}]})";
}

HttpAnswer get(Instance &At, const std::string &Path, const std::string &Key,
               const std::string &Id) {
  HttpCall Call;
  Call.Port = At.outboundPort();
  Call.Path = Path;
  Call.Headers = {{"Host", "shop.example"},
                  {"X-Attempt-Id", Id},
                  {"X-Deadline-Ms", "1500"}};
  if (!Key.empty())
    Call.Headers["X-Key"] = Key;
  return lycheethread::harness::send(Call);
}

/// The upstream of \p At calls "store" for each request, and fails if the call
/// does.
void callPartsForEachRequest(Instance &At) {
  At.upstream().setBehaviour([&At](const ReceivedRequest &Request) {
    const HttpAnswer Part = get(At, "/parts/x", "", "part");
    return completeResponse(Request, "ok", Part.Status == 200 ? 200 : 500);
  });
}

void rejectEverything(Instance &At) {
  At.upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request, "", 503);
    Response.Bytes.insert(Response.Bytes.find("\r\n") + 2,
                          "X-Not-Executed: 1\r\n");
    return Response;
  });
}

bool hasRun(Instance &At, const std::string &Id) {
  for (const ReceivedRequest &Run : At.upstream().receivedRequests()) {
    const auto Found = Run.Headers.find("x-attempt-id");
    if (Found != Run.Headers.end() && Found->second == Id)
      return true;
  }
  return false;
}

bool hasLogged(Instance &At, const std::string &First,
               const std::string &Second) {
  std::ifstream Log(At.logFile());
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find(First) != std::string::npos &&
        Line.find(Second) != std::string::npos)
      return true;
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NestedCalls)

// Guards against calls of an upstream that are not told from other requests,
// against runs that are started although their calls cannot be served, and
// against requests that stay rejected after the called service has recovered.
BOOST_AUTO_TEST_CASE(requestsAreRejectedWhileTheirCallsAre) {
  InstanceSpec Calling{"n1"};
  Calling.MinFailedRuns = "0.25";
  TestMesh Mesh({Calling, {"n2", "store"}});
  Instance &Desk = Mesh.at(0);
  Instance &Store = Mesh.at(1);
  callPartsForEachRequest(Desk);
  Mesh.Store.put("keyed.op", "config", withPublicParts(2));
  // The route to the parts exists only in the new configuration.
  for (const auto &Item : Mesh.Instances)
    BOOST_REQUIRE(holdsWithin(
        [&] { return get(*Item, "/parts/x", "", "start").Status == 200; },
        ApplyLimit));
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(get(Store, "/read/x", "key-1", "before").Status == 200);

  rejectEverything(Store);
  int Requests = 0;
  int Failed = 0;
  int Rejected = 0;
  const auto End = std::chrono::steady_clock::now() + milliseconds(3000);
  while (std::chrono::steady_clock::now() < End) {
    const std::string Id = "short-" + std::to_string(++Requests);
    const HttpAnswer Answer = get(Store, "/read/x", "key-1", Id);
    if (Answer.Status == 503) {
      ++Rejected;
      BOOST_TEST(Answer.header("lt-reason") == "callee-full");
      BOOST_TEST(!Answer.header("retry-after").empty());
      BOOST_TEST(!hasRun(Desk, Id));
    } else {
      ++Failed;
      BOOST_TEST(Answer.Status == 500);
    }
    std::this_thread::sleep_for(Gap);
  }
  BOOST_TEST_MESSAGE(Rejected << " of " << Requests << " rejected, " << Failed
                              << " failed");
  BOOST_TEST(Rejected > Requests / 2);
  BOOST_TEST(hasLogged(Store, "event=hop-refused", "rank=-1"));
  BOOST_TEST(hasLogged(Desk, "event=callee-full", "callee=store"));

  Store.upstream().setBehaviour(
      [](const ReceivedRequest &Request) { return completeResponse(Request); });
  int InTurn = 0;
  const auto Recovery = std::chrono::steady_clock::now();
  BOOST_TEST(holdsWithin(
      [&] {
        const int Status = get(Store, "/read/x", "key-1", "after").Status;
        InTurn = Status == 200 ? InTurn + 1 : 0;
        return InTurn == 10;
      },
      RecoveryLimit));
  BOOST_TEST_MESSAGE("served again after "
                     << std::chrono::duration_cast<milliseconds>(
                            std::chrono::steady_clock::now() - Recovery)
                            .count()
                     << " ms");
}

BOOST_AUTO_TEST_SUITE_END()
