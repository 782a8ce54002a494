#define BOOST_TEST_MODULE Membership
#include "membership/Membership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace lycheethread;
using namespace lycheethread::membership;

namespace {

Member makeMember(int Number, const std::string &Zone,
                  const std::string &In = "west") {
  Member Made;
  Made.Id = NodeId("node-" + std::to_string(Number));
  Made.IncarnationNumber = Incarnation(100);
  Made.State = MemberState::Ready;
  Made.Control = {"127.0.0.1", static_cast<std::uint16_t>(1000 + Number)};
  Made.At = {Region(In), AvailabilityZone(Zone)};
  Made.Service = ServiceName("service-" + std::to_string(Number));
  return Made;
}

constexpr SteadyTime Start(1000000);

MemberTable makeTable() {
  return makeMemberTable(makeMember(0, "zone-a"), Start, 7);
}

void add(MemberTable &Table, const Member &Item) {
  mergeMembers(Table, {{Item, false}}, Start);
}

MemberState stateOf(const MemberTable &Table, int Number, SteadyTime Now) {
  const NodeId Id("node-" + std::to_string(Number));
  for (const Member &Each : visibleMembers(Table, Now))
    if (Each.Id == Id)
      return Each.State;
  return MemberState::Dead;
}

/// Runs the table without any replies from other nodes.
SteadyTime runSilent(MemberTable &Table, SteadyTime From, Milliseconds Length) {
  SteadyTime Now = From;
  for (; elapsed(From, Now) < Length; Now = after(Now, Milliseconds(50)))
    tick(Table, Now);
  return Now;
}

Message pingFrom(const Member &Sender, std::vector<Update> Updates) {
  Message Ping;
  Ping.From = Sender.Id;
  Ping.IncarnationNumber = Sender.IncarnationNumber;
  Ping.RegionName = Sender.At.RegionName;
  Ping.Number = Sequence(1);
  Ping.Updates = std::move(Updates);
  return Ping;
}

} // namespace

// Guards against a live node that is declared dead because one link was slow.
BOOST_AUTO_TEST_CASE(SuspicionOfThisNodeIsRefuted) {
  MemberTable Table = makeTable();
  const Member Other = makeMember(1, "zone-b");
  add(Table, Other);
  const Actions Result = handleMessage(
      Table, pingFrom(Other, {{Table.Self, true}}), Other.Control, Start);
  BOOST_TEST(Table.Self.IncarnationNumber == Incarnation(101));
  BOOST_TEST_REQUIRE(Result.Sends.size() == 1U);
  const auto &Updates = Result.Sends[0].Content.Updates;
  BOOST_TEST(std::any_of(Updates.begin(), Updates.end(), [](const Update &U) {
    return U.MemberInfo.IncarnationNumber == Incarnation(101) && !U.Suspected;
  }));
}

// Guards against a restarted node whose clock went backwards: its updates would
// be ignored as old while the others keep its former incarnation.
BOOST_AUTO_TEST_CASE(RestartWithALowerIncarnationEndsUpHigher) {
  MemberTable Table = makeTable();
  Update Former{Table.Self, false};
  Former.MemberInfo.IncarnationNumber = Incarnation(500);
  Former.MemberInfo.State = MemberState::Left;
  mergeMembers(Table, {Former}, Start);
  BOOST_TEST(Table.Self.IncarnationNumber == Incarnation(501));
  BOOST_TEST((Table.Self.State == MemberState::Ready));
}

// Guards against a failed node that stays listed, and against an old update
// that restores a node after its removal.
BOOST_AUTO_TEST_CASE(SilentMemberIsRemovedAndNotRestoredByOldUpdate) {
  MemberTable Table = makeTable();
  for (int Number = 1; Number <= 5; ++Number)
    add(Table, makeMember(Number, "zone-" + std::to_string(Number)));
  SteadyTime Now = runSilent(Table, Start, Milliseconds(12000));
  BOOST_TEST((stateOf(Table, 1, Now) == MemberState::Dead));
  Now = runSilent(Table, after(Now, EndedMemberRetention), Milliseconds(2000));
  BOOST_TEST(Table.Others.empty());
  mergeMembers(Table, {{makeMember(1, "zone-1"), false}}, Now);
  BOOST_TEST(Table.Others.empty());
  Member Restarted = makeMember(1, "zone-1");
  Restarted.IncarnationNumber = Incarnation(101);
  mergeMembers(Table, {{Restarted, false}}, Now);
  BOOST_TEST((stateOf(Table, 1, Now) == MemberState::Ready));
}

// Guards against declaring all members of a partitioned availability zone dead.
// Each member must be ready again after its first message.
BOOST_AUTO_TEST_CASE(CutZoneStaysSuspect) {
  MemberTable Table = makeTable();
  for (int Number = 1; Number <= 4; ++Number)
    add(Table, makeMember(Number, "zone-b"));
  const SteadyTime Now = runSilent(Table, Start, Milliseconds(30000));
  for (int Number = 1; Number <= 4; ++Number)
    BOOST_TEST((stateOf(Table, Number, Now) == MemberState::Suspect));
  Member Back = makeMember(2, "zone-b");
  Back.IncarnationNumber = Incarnation(101);
  handleMessage(Table, pingFrom(Back, {{Back, false}}), Back.Control, Now);
  BOOST_TEST((stateOf(Table, 2, Now) == MemberState::Ready));
}

// Guards against losing most members of a service when one zone fails.
BOOST_AUTO_TEST_CASE(AtMostHalfOfAServiceIsDeclaredDeadInOneZone) {
  MemberTable Table = makeTable();
  for (int Number = 1; Number <= 9; ++Number) {
    Member Made = makeMember(Number, "zone-b");
    if (Number <= 3)
      Made.Service = ServiceName("small");
    add(Table, Made);
  }
  std::vector<Update> Suspicions;
  for (int Number = 1; Number <= 3; ++Number) {
    Suspicions.push_back({makeMember(Number, "zone-b"), true});
    Suspicions.back().MemberInfo.Service = ServiceName("small");
  }
  Table.NextProbeAt = after(Start, Milliseconds(100000));
  mergeMembers(Table, Suspicions, Start);
  const SteadyTime Now = runSilent(Table, Start, Milliseconds(5000));
  for (int Number = 1; Number <= 3; ++Number)
    BOOST_TEST((stateOf(Table, Number, Now) == MemberState::Suspect));
}

// Guards against a partition between the regions that empties the member list.
BOOST_AUTO_TEST_CASE(UnreachableRegionIsSuspectAsAWhole) {
  MemberTable Table = makeTable();
  for (int Number = 1; Number <= 4; ++Number)
    add(Table, makeMember(Number, "zone-e", "east"));
  const SteadyTime Now = runSilent(Table, Start, Milliseconds(20000));
  BOOST_TEST(isUnreachable(Table, Region("east"), Now));
  for (int Number = 1; Number <= 4; ++Number)
    BOOST_TEST((stateOf(Table, Number, Now) == MemberState::Suspect));
}

// Guards against a suspected draining member that receives requests again.
BOOST_AUTO_TEST_CASE(SuspectThatDrainsStaysDraining) {
  MemberTable Table = makeTable();
  Member Leaving = makeMember(1, "zone-b");
  Leaving.State = MemberState::Draining;
  mergeMembers(Table, {{Leaving, true}}, Start);
  BOOST_TEST((stateOf(Table, 1, Start) == MemberState::Draining));
}

// Guards against datagrams above the size limit when many members changed.
BOOST_AUTO_TEST_CASE(PiggybackIsBounded) {
  MemberTable Table = makeTable();
  for (int Number = 1; Number <= 100; ++Number) {
    Member Made = makeMember(Number, "zone-b");
    Made.Group = GroupName(std::string(100, 'g'));
    add(Table, Made);
  }
  const Member Sender = makeMember(1, "zone-b");
  const Actions Result =
      handleMessage(Table, pingFrom(Sender, {}), Sender.Control, Start);
  BOOST_TEST_REQUIRE(Result.Sends.size() == 1U);
  const std::size_t Count = Result.Sends[0].Content.Updates.size();
  BOOST_TEST(Count > 0U);
  BOOST_TEST(Count * 164U <= UpdateBytes);
}

// Guards against announcing a node as ready because its upstream is, although
// the node has no configuration yet, and against a drain that is reverted.
BOOST_AUTO_TEST_CASE(NodeIsReadyOnlyWhenItServes) {
  const auto Ready = MemberState::Ready;
  const auto Starting = MemberState::Starting;
  const auto Draining = MemberState::Draining;
  BOOST_TEST((stateToAnnounce(false, Ready) == Starting));
  BOOST_TEST((stateToAnnounce(true, Ready) == Ready));
  BOOST_TEST((stateToAnnounce(true, std::nullopt) == Ready));
  BOOST_TEST((stateToAnnounce(true, Starting) == Starting));
  BOOST_TEST((stateToAnnounce(false, Draining) == Draining));
  BOOST_TEST((stateToAnnounce(true, Draining) == Draining));
}

// Guards against a seed that is never contacted again, and against contacting a
// seed without backoff or although it is a member.
BOOST_AUTO_TEST_CASE(UnknownSeedIsContactedWithBackOff) {
  MemberTable Table = makeTable();
  const Member Seed = makeMember(1, "zone-b");
  ContactList List = makeContactList({Seed.Control, Table.Self.Control}, Start);
  int Contacts = 0;
  SteadyTime Now = Start;
  for (; elapsed(Start, Now) < Milliseconds(600000);
       Now = after(Now, Milliseconds(100)))
    if (const auto At = nextContact(List, Table, Now)) {
      BOOST_TEST((*At == Seed.Control));
      ++Contacts;
    }
  // 600 s with delays of 16 to 32 s, and 6 attempts with shorter delays.
  BOOST_TEST(Contacts >= 20);
  BOOST_TEST(Contacts <= 45);
  add(Table, Seed);
  Now = after(Now, MaxContactDelay);
  BOOST_TEST(!nextContact(List, Table, Now).has_value());
}

// Guards against groups that stay separate although one has read a join record
// of the other, and against contacting nodes that are already known.
BOOST_AUTO_TEST_CASE(JoinRecordOfAnUnknownNodeIsContacted) {
  MemberTable Table = makeTable();
  const Member Known = makeMember(1, "zone-b");
  const Member Unknown = makeMember(2, "zone-b");
  add(Table, Known);
  ContactList List = makeContactList({}, Start);
  onJoinRecord(List, Table, Known, Start);
  onJoinRecord(List, Table, Table.Self, Start);
  onJoinRecord(List, Table, Unknown, Start);
  int Contacts = 0;
  for (SteadyTime Now = Start; elapsed(Start, Now) < Milliseconds(100000);
       Now = after(Now, Milliseconds(100)))
    if (const auto At = nextContact(List, Table, Now)) {
      BOOST_TEST((*At == Unknown.Control));
      ++Contacts;
    }
  BOOST_TEST(Contacts == JoinContactAttempts);
}

// Guards against a merge of two groups that reaches only one of them.
BOOST_AUTO_TEST_CASE(MergeSendsMissingMembersToTheOtherGroup) {
  MemberTable Table = makeTable();
  const Member Near = makeMember(1, "zone-b");
  const Member Far = makeMember(2, "zone-b");
  add(Table, Near);
  const Actions Result =
      mergeForeignView(Table, Far.Control, {{Far, false}}, Start);
  BOOST_TEST(Table.Others.count(Far.Id) == 1U);
  BOOST_TEST_REQUIRE(Result.Sends.size() == 1U);
  BOOST_TEST((Result.Sends[0].To == Far.Control));
  MemberTable Other = makeMemberTable(Far, Start, 9);
  handleMessage(Other, Result.Sends[0].Content, Table.Self.Control, Start);
  BOOST_TEST(Other.Others.count(Near.Id) == 1U);
  BOOST_TEST(Other.Others.count(Table.Self.Id) == 1U);
}

// Guards against two nodes of one region that started at the same moment and
// know only members of the other region: no member of their own region would
// introduce them to each other.
BOOST_AUTO_TEST_CASE(SyncsWithARegionThatKnowsMoreOfThisOne) {
  MemberTable Table = makeTable();
  const Member Far = makeMember(1, "zone-e", "east");
  add(Table, Far);
  Message Ping = pingFrom(Far, {});
  Ping.Digest = Table.Regions[Far.At.RegionName].Digest;
  const std::uint64_t Same = Table.Regions[Table.Self.At.RegionName].Digest;
  Ping.Regions = {{Table.Self.At.RegionName, Milliseconds(0), Same}};
  const SteadyTime Late = after(Start, 2 * DigestMismatchTimeout);
  BOOST_TEST(!handleMessage(Table, Ping, Far.Control, Start).SyncWith);
  BOOST_TEST(!handleMessage(Table, Ping, Far.Control, Late).SyncWith);
  Ping.Regions.front().Digest = Same + 1;
  BOOST_TEST(!handleMessage(Table, Ping, Far.Control, Late).SyncWith);
  const SteadyTime Later = after(Late, 2 * DigestMismatchTimeout);
  const auto Result = handleMessage(Table, Ping, Far.Control, Later).SyncWith;
  BOOST_TEST((Result == Far.Control));
}
