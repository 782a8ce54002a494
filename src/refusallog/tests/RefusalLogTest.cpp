#define BOOST_TEST_MODULE RefusalLog
#include "refusallog/RefusalLog.h"
#include "refusallog/internal/CollectorOrder.h"
#include "refusallog/internal/Shipper.h"
#include "settings/Settings.h"

#include <boost/log/core.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::refusallog;

namespace {

/// Disables log output, because the randomized runs would print thousands of
/// expected failures.
struct SilentLog {
  SilentLog() { boost::log::core::get()->set_logging_enabled(false); }
};

/// In-memory log that can fail before or after an append takes effect.
struct FakeLog {
  std::mutex Lock;
  std::vector<std::string> Records;
  std::function<bool()> FailsBefore = [] { return false; };
  std::function<bool()> FailsAfter = [] { return false; };

  streamlog::LogClient client();
};

streamlog::LogClient FakeLog::client() {
  streamlog::LogClient Client;
  const auto Fail = [](const std::function<bool()> &Asked) {
    if (Asked())
      throw streamlog::LogUnavailable("fake log is away");
  };
  Client.Append = [this, Fail](const StreamName &, const std::string &Data) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Fail(FailsBefore);
    Records.push_back(Data);
    Fail(FailsAfter);
    return Offset(static_cast<std::int64_t>(Records.size()) - 1);
  };
  Client.Bounds = [this, Fail](const StreamName &) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Fail(FailsBefore);
    return streamlog::StreamBounds{
        Offset(0), Offset(static_cast<std::int64_t>(Records.size()))};
  };
  Client.Read = [this, Fail](const StreamName &, Offset From, std::size_t Max,
                             Milliseconds) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Fail(FailsBefore);
    const auto End = static_cast<std::int64_t>(Records.size());
    streamlog::LogBatch Batch{{Offset(0), Offset(End)}, {}};
    for (std::int64_t I = From.value(); I < End && Batch.Records.size() < Max;
         ++I)
      Batch.Records.push_back(
          {Offset(I), Records[static_cast<std::size_t>(I)]});
    return Batch;
  };
  return Client;
}

Member memberOf(const std::string &Id) {
  Member Made;
  Made.Id = NodeId(Id);
  Made.State = MemberState::Ready;
  Made.At = {Region("r"), AvailabilityZone("z")};
  return Made;
}

Refusal refusalAt(std::int64_t Time) {
  Refusal Item;
  Item.Id = RefusalId("id" + std::to_string(Time));
  Item.At = WallTime(Time);
  Item.Caller = CallerId("council");
  Item.Service = ServiceName("commission-catalogue");
  Item.Reason = RefusalReason::SlotsFull;
  return Item;
}

/// Nodes of one zone. Calls between them can fail, and nodes can be killed.
struct Zone {
  explicit Zone(unsigned Seed) : Random(Seed) {
    Log.FailsBefore = [this] { return Outage || oneIn(20); };
    Log.FailsAfter = [this] { return oneIn(10); };
  }

  struct Node {
    std::shared_ptr<Collector> Own;
    std::unique_ptr<Shipper> Sender;
    std::int64_t Refused = 0;
    bool Finished = false;
  };

  bool oneIn(unsigned Odds) { return Random() % Odds == 0; }
  void start(const std::string &Id);
  void kill(const std::string &Id);
  bool finish(const std::string &Id);
  std::string call(const Member &Target, const std::string &Payload);

  std::mt19937 Random;
  FakeLog Log;
  bool Outage = false;
  std::int64_t Now = 1000000;
  std::map<std::string, Node> Nodes;
  std::vector<Member> Members;
  std::int64_t Killed = 0;
  std::int64_t RefusedByFinished = 0;
};

void Zone::start(const std::string &Id) {
  Node Made;
  const Incarnation IncarnationNumber(Now);
  Made.Own = std::make_shared<Collector>(Log.client(), AvailabilityZone("z"),
                                         NodeId(Id), IncarnationNumber);
  ShipperDependencies Dependencies;
  Dependencies.Collectors = [this] {
    return collectorOrder(Members, memberOf("x").At);
  };
  Dependencies.Call = [this](const Member &Target, const std::string &Payload) {
    return call(Target, Payload);
  };
  Made.Sender = std::make_unique<Shipper>(
      NodeId(Id), IncarnationNumber, WallTime(Now), Dependencies, Made.Own);
  Nodes[Id] = std::move(Made);
  Members.push_back(memberOf(Id));
}

void Zone::kill(const std::string &Id) {
  Nodes.erase(Id);
  Members.erase(
      std::remove_if(Members.begin(), Members.end(),
                     [&Id](const Member &Each) { return Each.Id.str() == Id; }),
      Members.end());
}

bool Zone::finish(const std::string &Id) {
  int Tries = 1000;
  const bool Done =
      Nodes[Id].Sender->finish(WallTime(Now), [&Tries] { return --Tries > 0; });
  if (Done)
    RefusedByFinished += Nodes[Id].Refused;
  kill(Id);
  return Done;
}

std::string Zone::call(const Member &Target, const std::string &Payload) {
  const auto It = Nodes.find(Target.Id.str());
  if (It == Nodes.end() || oneIn(8))
    throw peer::PeerUnavailable("not sent");
  const ShipRequest Request = decodeShipRequest(Payload);
  const ShipState State = Request.Batch ? It->second.Own->accept(*Request.Batch)
                                        : It->second.Own->stateOf(Request.Id);
  if (oneIn(8))
    throw peer::PeerUnavailable("answer lost");
  return encodeShipReply(State);
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(SilentLog);

// Guards against refusals that are lost or counted twice when responses of the
// log or of collectors are lost, collectors are killed, or the log is
// unavailable for a long time.
BOOST_AUTO_TEST_CASE(ShippedRefusalsAreCountedOnceOrInAGap) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    Zone Tested(Seed);
    for (const char *Id : {"a", "b", "c", "d"})
      Tested.start(Id);
    std::int64_t Lost = 0;
    for (int Step = 0; Step < 400; ++Step) {
      Tested.Now += 500;
      Tested.Outage = Step > 150 && Step < 250;
      for (auto &[Id, Node] : Tested.Nodes) {
        if (Tested.oneIn(2)) {
          Node.Sender->add(refusalAt(Tested.Now));
          ++Node.Refused;
        }
        if (Step % 4 != 0)
          continue;
        Node.Sender->tick(WallTime(Tested.Now), SteadyTime(Tested.Now));
        try {
          Node.Own->step();
        } catch (const streamlog::LogUnavailable &) {
          BOOST_TEST(Node.Sender->unshipped() >= 0);
        }
      }
      if (!Tested.oneIn(60))
        continue;
      const std::string Victim(1, static_cast<char>('a' + Tested.Random() % 4));
      Lost += Tested.Nodes[Victim].Refused;
      ++Tested.Killed;
      Tested.kill(Victim);
      Tested.start(Victim);
    }
    Tested.Outage = false;
    for (const char *Id : {"a", "b", "c", "d"})
      BOOST_TEST(Tested.finish(Id));

    const refusals::RefusalReport Report = refusals::buildReport(
        [&Tested] {
          Tested.Log.FailsBefore = [] { return false; };
          return readStoredBatches(Tested.Log.client()).Batches;
        }(),
        {}, WallTime(Tested.Now));
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(Report.Total >= Tested.RefusedByFinished);
      BOOST_TEST(Report.Total <= Tested.RefusedByFinished + Lost);
      BOOST_TEST(static_cast<std::int64_t>(Report.Gaps.size()) <=
                 Tested.Killed);
      if (Tested.Killed == 0)
        BOOST_TEST(Report.Total == Tested.RefusedByFinished);
    }
  }
}

// Guards against a batch that is reported as stored but is not in the log.
BOOST_AUTO_TEST_CASE(BatchIsStoredOnlyAfterItWasReadBack) {
  FakeLog Log;
  Collector Tested(Log.client(), AvailabilityZone("z"), NodeId("n"),
                   Incarnation(1));
  refusals::RefusalLedger Ledger =
      refusals::makeLedger(NodeId("m"), Incarnation(1), WallTime(0));
  const refusals::RefusalBatch Batch =
      *refusals::takeBatch(Ledger, WallTime(5), false);
  BOOST_TEST((Tested.stateOf(Batch.Id) == ShipState::Unknown));
  BOOST_TEST((Tested.accept(Batch) == ShipState::Pending));
  Log.FailsAfter = [] { return true; };
  BOOST_CHECK_THROW(Tested.step(), streamlog::LogUnavailable);
  BOOST_TEST((Tested.stateOf(Batch.Id) == ShipState::Pending));
  BOOST_TEST(Tested.step());
  BOOST_TEST((Tested.accept(Batch) == ShipState::Stored));
  BOOST_TEST(Log.Records.size() == 1);
}

// Guards against a crash or unbounded memory use on a malformed message.
BOOST_AUTO_TEST_CASE(DamagedMessagesAreRefused) {
  refusals::RefusalLedger Ledger =
      refusals::makeLedger(NodeId("m"), Incarnation(1), WallTime(0));
  for (int I = 0; I < 20; ++I)
    refusals::addRefusal(Ledger, refusalAt(I));
  const refusals::RefusalBatch Batch =
      *refusals::takeBatch(Ledger, WallTime(50), true);
  const std::string Valid = encodeShipRequest({Batch.Id, Batch});
  BOOST_TEST(decodeShipRequest(Valid).Batch->Total == 20);
  std::mt19937 Random(7);
  int Refused = 0;
  for (int I = 0; I < 20000; ++I) {
    std::string Damaged = Valid;
    for (unsigned Byte = 0; Byte <= Random() % 4; ++Byte)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    Damaged.resize(Random() % 3 == 0 ? Random() % Damaged.size()
                                     : Damaged.size());
    try {
      decodeShipRequest(Damaged);
    } catch (const CodecError &) {
      ++Refused;
    }
  }
  BOOST_TEST(Refused > 5000);
}

// Guards against a module that blocks requests, or stops without a final batch,
// while no peers are reachable.
BOOST_AUTO_TEST_CASE(ModuleShipsAFinalBatchWithoutPeers) {
  FakeLog Log;
  kernel::Kernel Kernel;
  Kernel.add(
      {"fakes",
       [&Log](kernel::ServiceRegistry &Registry) {
         namespace names = kernel::service_names;
         auto Settings = std::make_shared<settings::NodeSettings>();
         Settings->Id = NodeId("n");
         Registry.add(names::Settings, Settings);
         Registry.add(names::Log,
                      std::make_shared<streamlog::LogClient>(Log.client()));
         Registry.add(
             names::Members,
             std::make_shared<kernel::SnapshotStore<std::vector<Member>>>());
         auto Peers = std::make_shared<peer::PeerControl>();
         Peers->OnCall = [](const std::string &, peer::CallHandler) {};
         Registry.add(names::Peers, Peers);
       },
       {},
       {}});
  Kernel.add(makeRefusalLogModule());
  Kernel.start();
  const auto Sink = Kernel.registry().find<refusals::RefusalSink>(
      kernel::service_names::Refusals);
  std::vector<std::thread> Threads;
  for (int Thread = 0; Thread < 4; ++Thread)
    Threads.emplace_back([&Sink] {
      for (int I = 0; I < 5000; ++I)
        Sink->Add(refusalAt(I));
    });
  for (std::thread &Each : Threads)
    Each.join();
  const auto Status = Kernel.registry().find<RefusalStatus>(StatusName);
  BOOST_TEST(Status->Totals().at(0).Count == 20000);
  Kernel.stop();
  BOOST_TEST(Status->Unshipped() == 0);
  const refusals::RefusalReport Report = refusals::buildReport(
      readStoredBatches(Log.client()).Batches, {}, WallTime(INT64_MAX / 2));
  BOOST_TEST(Report.Total == 20000);
  BOOST_TEST(Report.Gaps.empty());
}
