#include "sidecar/internal/DepartureLog.h"
#include "StoreStandIn.h"
#include "platform/Platform.h"
#include "sidecar/types/StorePosition.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::platformtest;

namespace {

constexpr Milliseconds CallTime{5000};
const std::string Topic = "keyed.departures";

settings::SidecarSettings settingsFor(const StoreStandIn &Store) {
  settings::SidecarSettings Settings;
  Settings.Id = NodeId("d1");
  Settings.Store = {"127.0.0.1", Store.port()};
  return Settings;
}

/// The departures of one node in a store, without the other parts of the node:
/// only the test says when the node hears of a new era.
struct Fixture {
  StoreStandIn Store;
  reactor::EventLoop Loop;
  sidecar::PlatformProtocol Protocol = platform::makePlatformProtocol();
  sidecar::NodeContext Context{Loop, Protocol, settingsFor(Store)};
  sidecar::StoreClient Client{Context};
  sidecar::DepartureLog Departures{Context, Client, {[] {}, [] {}, [] {}}};

  Fixture() {
    Context.Join.IsListed = true;
    Departures.onListRead(false);
  }

  void leaveUnregistered(const std::string &Id) {
    mesh::applyLeave(Context.Registered, mesh::UpstreamId(Id), 1000,
                     Loop.now());
  }

  /// Records that the upstream leaves; returns whether that was confirmed.
  bool record(const std::string &Id) {
    leaveUnregistered(Id);
    bool IsConfirmed = false;
    Departures.whenRecorded(mesh::UpstreamId(Id), [&](bool IsRecorded) {
      IsConfirmed = IsRecorded;
      Loop.stop();
    });
    Loop.run([] {});
    return IsConfirmed;
  }

  void hearOfEra(std::int64_t Era) {
    Context.Records.Position =
        sidecar::positionOf(sidecar::StoreEra(Era), Offset(0));
    Departures.onRecords();
  }

  bool isInStore(int Slot) const {
    return !Store.newest(Topic, "d1/" + std::to_string(Slot)).empty();
  }

  /// Runs the loop until the store holds the slot.
  bool isWrittenInTime(int Slot) {
    auto Limit = Loop.runAfter(CallTime, [this] { Loop.stop(); });
    auto Tick = reactor::TimerId();
    const std::function<void()> Look = [&] {
      Departures.update();
      if (isInStore(Slot))
        Loop.stop();
      else
        Tick = Loop.runAfter(Milliseconds(10), Look);
    };
    Loop.defer(Look);
    Loop.run([] {});
    Loop.cancel(Limit);
    Loop.cancel(Tick);
    return isInStore(Slot);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DepartureLogAcrossEras, Fixture)

// Guards against an acknowledged departure that is lost for good: the node
// writes another one to the restored store before it hears of the new era.
BOOST_AUTO_TEST_CASE(writeToTheRestoredStoreRevealsTheLostDepartures) {
  hearOfEra(1);
  Store.saveCopy();
  BOOST_REQUIRE(record("first"));
  BOOST_REQUIRE(record("second"));
  BOOST_REQUIRE(isInStore(0));
  BOOST_REQUIRE(isInStore(1));
  Store.restoreCopy();
  BOOST_REQUIRE(!isInStore(0));
  BOOST_TEST(record("third"));
  BOOST_TEST(isInStore(2));
  hearOfEra(2);
  BOOST_TEST(isWrittenInTime(0));
  BOOST_TEST(isWrittenInTime(1));
}

// Guards against a departure that is acknowledged although the store has lost
// it: the answer to its write is older than the era that the node has heard of.
BOOST_AUTO_TEST_CASE(answerOfAnEarlierEraIsNoAcknowledgement) {
  hearOfEra(1);
  Store.saveCopy();
  leaveUnregistered("first");
  bool HasEnded = false;
  bool IsConfirmed = false;
  Departures.whenRecorded(mesh::UpstreamId("first"), [&](bool IsRecorded) {
    HasEnded = true;
    IsConfirmed = IsRecorded;
  });
  // The write is under way; it reaches the store before the restore.
  hearOfEra(2);
  BOOST_REQUIRE(isWrittenInTime(0));
  Loop.runAfter(Milliseconds(100), [this] { Loop.stop(); });
  Loop.run([] {});
  BOOST_TEST(!(HasEnded && IsConfirmed));
  Store.restoreCopy();
  BOOST_TEST(isWrittenInTime(0));
  BOOST_TEST(record("first"));
}

// Guards against writes that go on after everything lost was written again.
BOOST_AUTO_TEST_CASE(departuresAreWrittenAgainOnce) {
  hearOfEra(1);
  Store.saveCopy();
  BOOST_REQUIRE(record("first"));
  Store.restoreCopy();
  BOOST_REQUIRE(record("second"));
  BOOST_REQUIRE(isWrittenInTime(0));
  Loop.runAfter(Milliseconds(100), [this] { Loop.stop(); });
  Loop.run([] {});
  hearOfEra(2);
  BOOST_TEST(mesh::unrecordedDepartures(Context.Registered).empty());
}

BOOST_AUTO_TEST_SUITE_END()
