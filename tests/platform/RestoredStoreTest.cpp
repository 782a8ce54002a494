#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

/// Maximum time until every node applies an accepted configuration.
constexpr milliseconds ApplyLimit{2500};
constexpr milliseconds Outage{1500};
/// Time after which an outage of the store no longer delays a change.
constexpr milliseconds RecoveryTime{4000};

std::string rule(const std::string &Name) {
  return R"(,{"name":")" + Name +
         R"(","type":"idempotent","match":{"path_prefix":"/)" + Name +
         R"(/"},"action":{"backend_service":"desk","timeout_s":1}})";
}

const std::string Order =
    R"({"backend_service":"desk","target_version":"v2","duration_s":8})";

/// Puts a configuration in force on all nodes.
void putConfig(TestMesh &Mesh, int Version, const std::string &NewRule) {
  Mesh.Store.put("keyed.op", "config", configuration(Version, rule(NewRule)));
  for (auto &Item : Mesh.Instances)
    BOOST_REQUIRE(holdsWithin(
        [&] { return Item->get("/" + NewRule + "/x").Status == 200; },
        ApplyLimit));
}

/// Takes the store away for a moment and brings its copy back.
void restore(TestMesh &Mesh) {
  Mesh.Store.setUnavailable(true);
  std::this_thread::sleep_for(Outage);
  Mesh.Store.restoreCopy();
  Mesh.Store.setUnavailable(false);
}

bool isServedByAll(TestMesh &Mesh, const std::string &Path,
                   milliseconds Limit) {
  return holdsWithin(
      [&] {
        for (auto &Item : Mesh.Instances)
          if (Item->get(Path).Status != 200)
            return false;
        return true;
      },
      Limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RestoredStore)

// Guards against confirmed changes that are not taken because their offsets are
// not higher than those of records that the store has lost.
BOOST_AUTO_TEST_CASE(changeAfterTheRestoreIsInForceInTime) {
  TestMesh Mesh({{"ra1"}, {"ra2"}, {"ra3"}, {"ra4"}});
  Mesh.Store.saveCopy();
  putConfig(Mesh, 2, "second");
  putConfig(Mesh, 3, "third");
  restore(Mesh);
  Mesh.Store.put("keyed.op", "config", configuration(3, rule("third")));
  std::this_thread::sleep_for(RecoveryTime);
  Mesh.Store.put("keyed.op", "config", configuration(4, rule("fourth")));
  BOOST_TEST(isServedByAll(Mesh, "/fourth/x", ApplyLimit));
}

// Guards against a change that is missed because the topic has grown to its
// earlier length again before any node reads it.
BOOST_AUTO_TEST_CASE(refilledTopicIsReadAnew) {
  TestMesh Mesh({{"rb1"}, {"rb2"}});
  Mesh.Store.saveCopy();
  putConfig(Mesh, 2, "second");
  Mesh.Store.setUnavailable(true);
  std::this_thread::sleep_for(Outage);
  Mesh.Store.restoreCopy();
  Mesh.Store.put("keyed.op", "config", configuration(5, rule("fifth")));
  Mesh.Store.setUnavailable(false);
  BOOST_TEST(isServedByAll(Mesh, "/fifth/x", RecoveryTime));
}

// Guards against a node that serves an older configuration after a restart: the
// store has lost the one in force, and the operator has not written it again.
BOOST_AUTO_TEST_CASE(restartAfterTheRestoreServesNoOlderConfiguration) {
  TestMesh Mesh({{"rc1"}, {"rc2"}, {"rc3"}});
  Mesh.Store.saveCopy();
  putConfig(Mesh, 2, "second");
  restore(Mesh);
  // The topic reaches its earlier length without the configuration.
  Mesh.Store.put("keyed.op", "note", "x");
  std::this_thread::sleep_for(RecoveryTime);
  Mesh.at(0).node().kill();
  Mesh.at(0).startNode();
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(0).isReady(); }, milliseconds(5000)));
  for (int Count = 0; Count < 20; ++Count)
    BOOST_TEST(Mesh.at(0).get("/second/x").Status == 200);
  BOOST_TEST(isServedByAll(Mesh, "/second/x", milliseconds(500)));
}

// Guards against a rollout that starts again when its order is written again,
// and against an end that the operator does not learn of.
BOOST_AUTO_TEST_CASE(endOfARolloutIsRecordedAgain) {
  TestMesh Mesh({{"rd1"}, {"rd2", "desk", "v2"}, {"rd3", "store"}});
  const auto IsCompleted = [&] {
    return Mesh.Store.newest("keyed.status", "rollout/desk")
               .find("completed") != std::string::npos;
  };
  Mesh.Store.saveCopy();
  Mesh.Store.put("keyed.op", "rollout/desk", Order);
  BOOST_REQUIRE(holdsWithin(
      [&] {
        for (auto &Item : Mesh.Instances)
          Item->get("/read/x");
        return IsCompleted();
      },
      milliseconds(12'000)));
  restore(Mesh);
  BOOST_TEST(!IsCompleted());
  Mesh.Store.put("keyed.op", "rollout/desk", Order);
  BOOST_TEST(holdsWithin(IsCompleted, RecoveryTime));
  // The old version gets nothing, also while the end is recorded.
  const std::size_t Before = Mesh.at(0).upstream().receivedRequests().size();
  for (int Count = 0; Count < 50; ++Count)
    for (auto &Item : Mesh.Instances)
      BOOST_TEST(Item->get("/read/x").Status == 200);
  BOOST_TEST(Mesh.at(0).upstream().receivedRequests().size() == Before);
}

// Guards against nodes that are missing on the list of nodes from then on: a
// node that starts later does not find them.
BOOST_AUTO_TEST_CASE(lostEntriesOfNodesAreWrittenAgain) {
  TestMesh Mesh({{"re1"}});
  Mesh.Store.saveCopy();
  Mesh.Instances.push_back(
      std::make_unique<Instance>(InstanceSpec{"re2"}, Mesh.Store.port()));
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(1).isReady(); }, milliseconds(8000)));
  BOOST_REQUIRE(holdsWithin(
      [&] { return !Mesh.Store.newest("keyed.members", "re2").empty(); },
      milliseconds(3000)));
  restore(Mesh);
  BOOST_TEST(Mesh.Store.newest("keyed.members", "re2").empty());
  BOOST_TEST(holdsWithin(
      [&] { return !Mesh.Store.newest("keyed.members", "re2").empty(); },
      milliseconds(10'000)));
}

BOOST_AUTO_TEST_SUITE_END()
