#define BOOST_TEST_MODULE MoveOwner
#include "moveowner/internal/MoveOwner.h"
#include "moveowner/internal/OutcomeCodec.h"
#include "moves/tests/MoveFixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <variant>

using namespace lycheethread;
using namespace lycheethread::moveowner;
using namespace lycheethread::moves::test;
using moves::MoveStatus;

namespace {

enum class LogMode { Up, Down, LosesAnswers };

/// A control stream and a rumour channel that several nodes share. Time stands
/// still unless a test moves it.
struct Platform {
  std::vector<Record> Records;
  std::vector<Record> Encoded;
  LogMode Mode = LogMode::Up;
  std::int64_t Now = Start;
  std::vector<std::string> StoppedMoves;
  std::vector<Member> Members;
};

/// One node that folds the stream when told to.
struct Node {
  Platform &Shared;
  Member Self;
  std::int64_t Paused = 0;
  config::ConfigState State;
  MoveOwnerDependencies Ports;
  std::unique_ptr<MoveOwner> Owner;
  std::vector<proxy::ServiceOutcomes> LastHop;
  std::vector<proxy::ServiceOutcomes> Entry;

  Node(Platform &Shared, const std::string &Name) : Shared(Shared) {
    Self.Id = NodeId(Name);
    Self.Service = Desk;
    Self.State = MemberState::Ready;
    Shared.Members.push_back(Self);
    config::AcceptedDocument Accepted;
    Accepted.Document = documentWith(planUntil(100));
    State.LogTime = WallTime(Start);
    moves::applyDocument(State.Moves, Accepted.Document, Revision(1),
                         State.LogTime);
    State.Documents[Desk] = Accepted;
    setPorts();
    Owner = std::make_unique<MoveOwner>(Ports);
  }

  void setPorts() {
    Ports.Config =
        std::make_shared<kernel::SnapshotStore<config::ConfigState>>();
    Ports.Members =
        std::make_shared<kernel::SnapshotStore<std::vector<Member>>>();
    Ports.StoppedMoves =
        std::make_shared<kernel::SnapshotStore<moves::StoppedMoveSet>>();
    Ports.Peers = std::make_shared<peer::PeerControl>();
    Ports.Peers->Self = [this] { return Self; };
    Ports.Peers->Broadcast = [this](const std::string &,
                                    const std::string &Text) {
      Shared.StoppedMoves.push_back(Text);
    };
    Ports.Log = std::make_shared<streamlog::LogClient>();
    Ports.Log->Append = [this](const StreamName &, const std::string &) {
      return append();
    };
    Ports.Encode = [this](const Record &Item) {
      Shared.Encoded.push_back(Item);
      return std::string();
    };
    Ports.LastHop = std::make_shared<proxy::OutcomeAccumulator>();
    Ports.LastHop->Take = [this] { return std::exchange(LastHop, {}); };
    Ports.Entry = std::make_shared<proxy::OutcomeAccumulator>();
    Ports.Entry->Take = [this] { return std::exchange(Entry, {}); };
    Ports.WallNow = [this] { return WallTime(Shared.Now); };
    Ports.SteadyNow = [this] { return SteadyTime(Shared.Now); };
    Ports.PostToLog = [](const std::function<void()> &Job) {
      Job();
      return true;
    };
    Ports.PostToPeers = Ports.PostToLog;
  }

  Offset append() {
    if (Shared.Mode == LogMode::Down)
      throw streamlog::LogUnavailable("down");
    Shared.Records.push_back(Shared.Encoded.back());
    if (Shared.Mode == LogMode::LosesAnswers)
      throw streamlog::LogUnavailable("no answer");
    return Offset(static_cast<std::int64_t>(Shared.Records.size()) - 1);
  }

  void fold() {
    auto At = static_cast<std::size_t>(State.Position.value());
    for (; At < Shared.Records.size(); ++At) {
      const Record &Item = Shared.Records[At];
      State.LogTime = std::max(State.LogTime, Item.Header.WrittenAt);
      moves::foldMoveRecord(State.Moves, Item, State.LogTime);
    }
    State.Position = Offset(static_cast<std::int64_t>(At));
  }

  void tick() {
    fold();
    Ports.Config->store(std::make_shared<const config::ConfigState>(State));
    Ports.Members->store(
        std::make_shared<const std::vector<Member>>(Shared.Members));
    Owner->tick();
  }

  void report(const std::string &Version, std::int64_t Requests,
              std::int64_t Failures) {
    RouteOutcomes Seen;
    Seen.Group = Main;
    Seen.Route = RouteName("tickets");
    Seen.Version = VersionName(Version);
    Seen.Requests = Requests;
    Seen.Failures = Failures;
    Seen.Latency[4] = Requests;
    Owner->handleOutcomeReport(
        encodeReport({Desk, {NodeId("hop"), Milliseconds(60'000), {Seen}}}));
  }

  bool running() const { return State.Moves.Running.count(FirstMove) != 0; }
  const moves::Move &move() const { return State.Moves.Running.at(FirstMove); }
  bool braked() const {
    return Ports.StoppedMoves->load()->Stopped.count(FirstMove) != 0;
  }
};

/// Runs the nodes in steps of 500 ms.
void run(Platform &Shared, const std::vector<Node *> &Nodes,
         std::int64_t Seconds) {
  for (std::int64_t I = 0; I < Seconds * 2; ++I) {
    for (Node *One : Nodes)
      One->tick();
    Shared.Now += 500;
  }
}

/// The node that holds the lease.
Node &holder(Node &A, Node &B) {
  const auto &Leases = A.State.Moves.Leases;
  const auto Found = Leases.find(moves::leaseSubject(Desk));
  return Found->second.Holder == NodeId(A.Self.Id.str() + "/moves") ? A : B;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MoveOwnerSuite)

// Guards against a good move that does not end, and against lost answers that
// stop it: reading back must be enough.
BOOST_AUTO_TEST_CASE(AGoodMoveFinishesAlthoughAnswersAreLost) {
  Platform Shared;
  Shared.Mode = LogMode::LosesAnswers;
  Node A(Shared, "a");
  Node B(Shared, "b");
  for (int I = 0; I < 99 && (I < 5 || A.running()); ++I) {
    Node &First = A.State.Moves.Leases.empty() ? A : holder(A, B);
    First.report("v1", 1000, 1);
    First.report("v2", A.running() && A.move().StepsTaken > 0 ? 200 : 0, 0);
    run(Shared, {&A, &B}, 1);
  }
  BOOST_REQUIRE(!A.running());
  BOOST_TEST((A.State.Moves.Ended.back().Status == MoveStatus::Finished));
}

// Guards against a version that fails and keeps its share, and against an undo
// that is written before the traffic is stopped.
BOOST_AUTO_TEST_CASE(ABadVersionIsBrakedAndUndone) {
  Platform Shared;
  Node A(Shared, "a");
  run(Shared, {&A}, 2);
  for (int I = 0; I < 10 && A.running(); ++I) {
    A.report("v1", 1000, 1);
    A.report("v2", 20, 15);
    run(Shared, {&A}, 1);
  }
  BOOST_TEST(!A.running());
  BOOST_TEST(!Shared.StoppedMoves.empty());
  BOOST_TEST((A.State.Moves.Ended.back().Status == MoveStatus::Undone));
}

// Guards against a bad version that goes on while the log is down.
BOOST_AUTO_TEST_CASE(WithTheLogDownTheBrakeStillStopsTraffic) {
  Platform Shared;
  Node A(Shared, "a");
  Node B(Shared, "b");
  run(Shared, {&A, &B}, 2);
  Node &First = holder(A, B);
  Node &Other = &First == &A ? B : A;
  Shared.Mode = LogMode::Down;
  for (int I = 0; I < 10; ++I) {
    First.report("v1", 1000, 1);
    First.report("v2", 20, 15);
    run(Shared, {&A, &B}, 1);
  }
  BOOST_TEST(First.braked());
  BOOST_TEST(!Other.braked());
  BOOST_REQUIRE(!Shared.StoppedMoves.empty());
  Other.Owner->handleStopNotice(Shared.StoppedMoves.front());
  run(Shared, {&Other}, 1);
  BOOST_TEST(Other.braked());
  BOOST_TEST(First.move().Share == Permille(10));
}

// Guards against an outage across the deadline: every node stops by its own
// clock, and one end reaches the log afterwards.
BOOST_AUTO_TEST_CASE(ALogOutageAcrossTheDeadlineEndsUndone) {
  Platform Shared;
  Node A(Shared, "a");
  Node B(Shared, "b");
  run(Shared, {&A, &B}, 3);
  Shared.Mode = LogMode::Down;
  run(Shared, {&A, &B}, 100);
  BOOST_TEST(A.braked());
  BOOST_TEST(B.braked());
  BOOST_TEST(A.running());
  Shared.Mode = LogMode::Up;
  run(Shared, {&A, &B}, 4);
  A.fold();
  B.fold();
  BOOST_TEST((A.State.Moves.Ended.back().Status == MoveStatus::Undone));
  BOOST_TEST(A.State.Moves.Ended.back().Reason ==
             B.State.Moves.Ended.back().Reason);
}

// Guards against a frozen owner that resumes with its old view and raises the
// share after another node took over.
BOOST_AUTO_TEST_CASE(AFrozenOwnerDoesNoHarmWhenItResumes) {
  Platform Shared;
  Node A(Shared, "a");
  Node B(Shared, "b");
  run(Shared, {&A, &B}, 3);
  Node &Frozen = holder(A, B);
  Node &Next = &Frozen == &A ? B : A;
  Shared.Members = {Next.Self};
  run(Shared, {&Next}, 20);
  BOOST_TEST(&holder(Next, Frozen) == &Next);
  const auto Before = Shared.Records.size();
  Shared.Members = {Frozen.Self, Next.Self};
  // The frozen node has not read anything since.
  Frozen.Owner->tick();
  for (std::size_t I = Before; I < Shared.Records.size(); ++I)
    BOOST_TEST(std::holds_alternative<LeaseRecord>(Shared.Records[I].Body));
  Next.fold();
  BOOST_TEST(&holder(Next, Frozen) == &Next);
}

// Guards against records of one process that claim several lives, because the
// member's incarnation rises with each state that it announces.
BOOST_AUTO_TEST_CASE(AnAnnouncedStateDoesNotChangeTheLifeOfTheRecords) {
  Platform Shared;
  Node A(Shared, "a");
  const Incarnation First = A.Self.IncarnationNumber;
  run(Shared, {&A}, 2);
  A.Self.IncarnationNumber = Incarnation(First.value() + 1);
  run(Shared, {&A}, 10);
  BOOST_REQUIRE(Shared.Records.size() > 2U);
  for (const Record &Item : Shared.Records)
    BOOST_TEST(Item.Header.IncarnationNumber == First);
}

// Guards against an entry node that keeps sending to a version which fails
// each of its requests until the owner has decided.
BOOST_AUTO_TEST_CASE(AnEntryNodeStopsByItself) {
  Platform Shared;
  Node A(Shared, "a");
  run(Shared, {&A}, 2);
  RouteOutcomes Seen;
  Seen.Group = Main;
  Seen.Route = RouteName("tickets");
  Seen.Version = VersionName("v2");
  Seen.Requests = 5;
  Seen.Failures = 5;
  A.Entry = {{Desk, {Seen}}};
  run(Shared, {&A}, 1);
  BOOST_TEST(A.braked());
  BOOST_TEST(Shared.StoppedMoves.empty());
}

BOOST_AUTO_TEST_SUITE_END()
