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

/// Control stream and rumour channel that several nodes share. Time advances
/// only when a test changes it.
struct Platform {
  std::vector<Record> Records;
  std::vector<Record> Encoded;
  LogMode Mode = LogMode::Up;
  std::int64_t Now = Start;
  std::vector<std::string> StopNotices;
  std::vector<Member> Members;
};

/// Node that folds the control stream when the test calls fold() or tick().
struct Node {
  Platform &Shared;
  Member Self;
  std::int64_t Paused = 0;
  config::ConfigState State;
  MoveOwnerDependencies Dependencies;
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
    setDependencies();
    Owner = std::make_unique<MoveOwner>(Dependencies);
  }

  void setDependencies() {
    Dependencies.Config =
        std::make_shared<kernel::SnapshotStore<config::ConfigState>>();
    Dependencies.Members =
        std::make_shared<kernel::SnapshotStore<std::vector<Member>>>();
    Dependencies.StoppedMoves =
        std::make_shared<kernel::SnapshotStore<moves::StoppedMoveSet>>();
    Dependencies.Peers = std::make_shared<peer::PeerControl>();
    Dependencies.Peers->Self = [this] { return Self; };
    Dependencies.Peers->Broadcast = [this](const std::string &,
                                           const std::string &Text) {
      Shared.StopNotices.push_back(Text);
    };
    Dependencies.Log = std::make_shared<streamlog::LogClient>();
    Dependencies.Log->Append = [this](const StreamName &, const std::string &) {
      return append();
    };
    Dependencies.Encode = [this](const Record &Item) {
      Shared.Encoded.push_back(Item);
      return std::string();
    };
    Dependencies.LastHop = std::make_shared<proxy::OutcomeAccumulator>();
    Dependencies.LastHop->Take = [this] { return std::exchange(LastHop, {}); };
    Dependencies.Entry = std::make_shared<proxy::OutcomeAccumulator>();
    Dependencies.Entry->Take = [this] { return std::exchange(Entry, {}); };
    Dependencies.WallNow = [this] { return WallTime(Shared.Now); };
    Dependencies.SteadyNow = [this] { return SteadyTime(Shared.Now); };
    Dependencies.PostToLog = [](const std::function<void()> &Job) {
      Job();
      return true;
    };
    Dependencies.PostToPeers = Dependencies.PostToLog;
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
    Dependencies.Config->store(
        std::make_shared<const config::ConfigState>(State));
    Dependencies.Members->store(
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
  bool isStopped() const {
    return Dependencies.StoppedMoves->load()->Stopped.count(FirstMove) != 0;
  }
};

/// Runs the nodes in steps of 500 ms.
void run(Platform &Shared, const std::vector<Node *> &Nodes,
         std::int64_t Seconds) {
  for (std::int64_t I = 0; I < Seconds * 2; ++I) {
    for (Node *Each : Nodes)
      Each->tick();
    Shared.Now += 500;
  }
}

/// Returns the node that holds the lease.
Node &holder(Node &A, Node &B) {
  const auto &Leases = A.State.Moves.Leases;
  const auto Found = Leases.find(moves::leaseSubject(Desk));
  return Found->second.Holder == NodeId(A.Self.Id.str() + "/moves") ? A : B;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MoveOwnerSuite)

// Guards against a good move that does not finish, also when the responses to
// appends are lost and records are only read back.
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

// Guards against a failing version that keeps its share, and against an undo
// record that is written before the traffic is stopped.
BOOST_AUTO_TEST_CASE(ABadVersionIsStoppedAndUndone) {
  Platform Shared;
  Node A(Shared, "a");
  run(Shared, {&A}, 2);
  for (int I = 0; I < 10 && A.running(); ++I) {
    A.report("v1", 1000, 1);
    A.report("v2", 20, 15);
    run(Shared, {&A}, 1);
  }
  BOOST_TEST(!A.running());
  BOOST_TEST(!Shared.StopNotices.empty());
  BOOST_TEST((A.State.Moves.Ended.back().Status == MoveStatus::Undone));
}

// Guards against a bad version that keeps its traffic while the log is down.
BOOST_AUTO_TEST_CASE(ARumourStopsTrafficWhileTheLogIsDown) {
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
  BOOST_TEST(First.isStopped());
  BOOST_TEST(!Other.isStopped());
  BOOST_REQUIRE(!Shared.StopNotices.empty());
  Other.Owner->handleStopNotice(Shared.StopNotices.front());
  run(Shared, {&Other}, 1);
  BOOST_TEST(Other.isStopped());
  BOOST_TEST(First.move().Share == Permille(10));
}

// Guards against a move that continues after a log outage across the deadline:
// every node stops it by its own clock, and one end record reaches the log
// afterwards.
BOOST_AUTO_TEST_CASE(ALogOutageAcrossTheDeadlineEndsUndone) {
  Platform Shared;
  Node A(Shared, "a");
  Node B(Shared, "b");
  run(Shared, {&A, &B}, 3);
  Shared.Mode = LogMode::Down;
  run(Shared, {&A, &B}, 100);
  BOOST_TEST(A.isStopped());
  BOOST_TEST(B.isStopped());
  BOOST_TEST(A.running());
  Shared.Mode = LogMode::Up;
  run(Shared, {&A, &B}, 4);
  A.fold();
  B.fold();
  BOOST_TEST((A.State.Moves.Ended.back().Status == MoveStatus::Undone));
  BOOST_TEST(A.State.Moves.Ended.back().Reason ==
             B.State.Moves.Ended.back().Reason);
}

// Guards against a suspended owner that resumes with outdated state and raises
// the share after another node has taken over.
BOOST_AUTO_TEST_CASE(ASuspendedOwnerDoesNoHarmWhenItResumes) {
  Platform Shared;
  Node A(Shared, "a");
  Node B(Shared, "b");
  run(Shared, {&A, &B}, 3);
  Node &Suspended = holder(A, B);
  Node &Next = &Suspended == &A ? B : A;
  Shared.Members = {Next.Self};
  run(Shared, {&Next}, 20);
  BOOST_TEST(&holder(Next, Suspended) == &Next);
  const auto Before = Shared.Records.size();
  Shared.Members = {Suspended.Self, Next.Self};
  // The suspended node has not folded any newer record.
  Suspended.Owner->tick();
  for (std::size_t I = Before; I < Shared.Records.size(); ++I)
    BOOST_TEST(std::holds_alternative<LeaseRecord>(Shared.Records[I].Body));
  Next.fold();
  BOOST_TEST(&holder(Next, Suspended) == &Next);
}

// Guards against records of one process with several incarnations: the member's
// incarnation increases with each state that it announces.
BOOST_AUTO_TEST_CASE(AnAnnouncedStateDoesNotChangeTheIncarnationOfRecords) {
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

// Guards against an entry node that keeps sending to a version until the owner
// decides although each of its requests fails.
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
  BOOST_TEST(A.isStopped());
  BOOST_TEST(Shared.StopNotices.empty());
}

BOOST_AUTO_TEST_SUITE_END()
