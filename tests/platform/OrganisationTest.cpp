#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::platformtest;
using lycheethread::harness::HttpAnswer;
using lycheethread::harness::HttpCall;

namespace {

const std::chrono::seconds ApplyLimit{3};

/// A route to "desk" with further fields of the rule and of its action.
std::string rule(const std::string &Name, const std::string &Fields,
                 const std::string &ActionFields) {
  return R"(,{"name":")" + Name + R"(","type":"idempotent",)" + Fields +
         R"("target_latency_s":0.4,"priority":1,"match":{"path_prefix":"/)" +
         Name + R"(/"},"action":{"backend_service":"desk","timeout_s":1.2,)" +
         R"("attempts":2)" + ActionFields + "}}";
}

/// Two organisations; "acme" holds the keys \p AcmeKeys, a list in JSON.
std::string withOrganisations(int Version, const std::string &AcmeKeys) {
  std::string Text = configuration(
      Version, rule("open", R"("public":true,)", "") +
                   rule("east", "", R"(,"allowed_regions":["east"])") +
                   rule("west", "", R"(,"allowed_regions":["west"])"));
  Text.pop_back();
  return Text + R"(,"tenants":[{"name":"acme","api_keys":)" + AcmeKeys +
         R"(},{"name":"other","api_keys":["key-other"],)"
         R"("allowed_regions":["west"]}]})";
}

HttpAnswer get(Instance &At, const std::string &Path, const std::string &Key,
               const std::string &Id = "request") {
  HttpCall Call;
  Call.Port = At.outboundPort();
  Call.Path = Path;
  Call.Headers = {{"Host", "shop.example"},
                  {"X-Attempt-Id", Id},
                  {"X-Tenant", "chosen-by-the-caller"},
                  {"X-Deadline-Ms", "1500"}};
  if (!Key.empty())
    Call.Headers["X-Key"] = Key;
  return lycheethread::harness::send(Call);
}

/// Puts \p Text in force and waits until every node uses it.
void configure(TestMesh &Mesh, const std::string &Text, const std::string &Path,
               const std::string &Key, int Status) {
  Mesh.Store.put("keyed.op", "config", Text);
  for (const auto &Item : Mesh.Instances) {
    // The configuration before the first one with organisations serves the path
    // too, but without a key.
    BOOST_REQUIRE(holdsWithin(
        [&] { return get(*Item, Path, "").Status == 401; }, ApplyLimit));
    BOOST_REQUIRE(holdsWithin(
        [&] { return get(*Item, Path, Key).Status == Status; }, ApplyLimit));
  }
}

std::size_t runsOf(TestMesh &Mesh, const std::string &Id) {
  std::size_t Count = 0;
  for (const auto &Item : Mesh.Instances)
    for (const ReceivedRequest &Run : Item->upstream().receivedRequests()) {
      const auto Found = Run.Headers.find("x-attempt-id");
      Count += Found != Run.Headers.end() && Found->second == Id ? 1 : 0;
    }
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Organisations)

// Guards against an upstream that gets a key, or the organisation that the
// caller has chosen, beside the entry or over a hop.
BOOST_AUTO_TEST_CASE(upstreamsGetTheOrganisationAndNeverTheKey) {
  TestMesh Mesh({{"o1"}, {"o2", "store"}});
  configure(Mesh, withOrganisations(2, R"(["key-1","key-2"])"), "/read/x",
            "key-1", 200);
  for (const std::size_t Entry : {0U, 1U}) {
    const std::string Id = "keyed-" + std::to_string(Entry);
    BOOST_TEST(get(Mesh.at(Entry), "/read/x", "key-2", Id).Status == 200);
    BOOST_TEST(get(Mesh.at(Entry), "/open/x", "key-2", "open" + Id).Status ==
               200);
  }
  int Keyed = 0;
  for (const ReceivedRequest &Run : Mesh.at(0).upstream().receivedRequests()) {
    const auto Id = Run.Headers.find("x-attempt-id");
    if (Id == Run.Headers.end())
      continue;
    if (Id->second.rfind("keyed-", 0) == 0) {
      ++Keyed;
      BOOST_TEST(Run.linesOf("x-tenant").size() == 1U);
      BOOST_TEST(Run.Headers.at("x-tenant") == "acme");
      BOOST_TEST(Run.linesOf("x-key").empty());
    }
    if (Id->second.rfind("openkeyed-", 0) == 0) {
      BOOST_TEST(Run.linesOf("x-tenant").empty());
      BOOST_TEST(Run.linesOf("x-key").empty());
    }
  }
  BOOST_TEST(Keyed == 2);
}

// Guards against a request that runs with a key that no configuration holds.
BOOST_AUTO_TEST_CASE(unknownKeysAreRefusedAtOnce) {
  TestMesh Mesh({{"k1"}, {"k2", "store"}});
  configure(Mesh, withOrganisations(2, R"(["key-1"])"), "/read/x", "key-1",
            200);
  for (const std::size_t Entry : {0U, 1U})
    for (const std::string Key : {"", "key-9", "KEY-1", "key-1,key-other"})
      BOOST_TEST(get(Mesh.at(Entry), "/read/x", Key, "unknown").Status == 401);
  BOOST_TEST(runsOf(Mesh, "unknown") == 0U);
}

// Guards against a key that stays in use after it was revoked, and against one
// that is refused after it was added.
BOOST_AUTO_TEST_CASE(changedKeysAreInForceOnEveryNode) {
  TestMesh Mesh({{"c1"}, {"c2", "store"}});
  configure(Mesh, withOrganisations(2, R"(["key-1"])"), "/read/x", "key-1",
            200);
  configure(Mesh, withOrganisations(3, R"(["key-2"])"), "/read/x", "key-1",
            401);
  for (const std::size_t Entry : {0U, 1U})
    BOOST_TEST(get(Mesh.at(Entry), "/read/x", "key-2").Status == 200);
}

// Guards against a node that accepts a key which may have been revoked since it
// last heard from the store.
BOOST_AUTO_TEST_CASE(strictKeysNeedTheStore) {
  TestMesh Mesh({{"s1"}, {"s2", "store"}});
  for (const std::size_t Entry : {0U, 1U})
    Mesh.at(Entry).writeSettings("grace_s=6,strict_revoke=true,revoke_s=3");
  configure(Mesh, withOrganisations(2, R"(["key-1"])"), "/read/x", "key-1",
            200);
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  Mesh.Store.setUnavailable(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  for (const std::size_t Entry : {0U, 1U}) {
    const HttpAnswer Refused =
        get(Mesh.at(Entry), "/read/x", "key-1", "unconfirmed");
    BOOST_TEST(Refused.Status == 503);
    BOOST_TEST(Refused.header("lt-reason") == "keys-unconfirmed");
    BOOST_TEST(!Refused.header("retry-after").empty());
    BOOST_TEST(get(Mesh.at(Entry), "/open/x", "").Status == 200);
  }
  BOOST_TEST(runsOf(Mesh, "unconfirmed") == 0U);
  Mesh.Store.setUnavailable(false);
  for (const std::size_t Entry : {0U, 1U})
    BOOST_TEST(holdsWithin(
        [&] { return get(Mesh.at(Entry), "/read/x", "key-1").Status == 200; },
        std::chrono::seconds(5)));
}

// Guards against a request that is served outside its allowed regions.
BOOST_AUTO_TEST_CASE(requestsStayInTheirRegions) {
  TestMesh Mesh({{"r1"}, {"r2", "store"}});
  configure(Mesh, withOrganisations(2, R"(["key-1"])"), "/read/x", "key-1",
            200);
  for (const std::size_t Entry : {0U, 1U}) {
    BOOST_TEST(get(Mesh.at(Entry), "/east/x", "key-1").Status == 200);
    const HttpAnswer Refused =
        get(Mesh.at(Entry), "/west/x", "key-1", "abroad");
    BOOST_TEST(Refused.Status == 503);
    BOOST_TEST(Refused.header("lt-reason") == "no-allowed-region");
    BOOST_TEST(get(Mesh.at(Entry), "/read/x", "key-other", "abroad").Status ==
               503);
    BOOST_TEST(get(Mesh.at(Entry), "/east/x", "key-other", "abroad").Status ==
               503);
  }
  BOOST_TEST(runsOf(Mesh, "abroad") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
