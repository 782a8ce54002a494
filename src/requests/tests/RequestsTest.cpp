#define BOOST_TEST_MODULE Requests
#include "requests/Requests.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::requests;

namespace {

const VersionName V1("v1");
const VersionName V2("v2");

Member memberOf(const std::string &Id, const std::string &Zone,
                MemberState State = MemberState::Ready) {
  Member Item;
  Item.Id = NodeId(Id);
  Item.State = State;
  Item.At = {Region("r"), AvailabilityZone(Zone)};
  Item.Service = ServiceName("shop");
  Item.Group = GroupName("web");
  Item.Version = V1;
  return Item;
}

config::ConfigState stateWithShop() {
  config::ConfigState State;
  ServiceDocument Document;
  Document.Service = ServiceName("shop");
  Document.Groups[GroupName("web")] = {GroupName("web"), {V1}};
  for (const char *Path : {"/", "/orders", "/orders/scan"}) {
    Route Item;
    Item.Name = RouteName(Path);
    Item.Path = Path;
    Item.Group = GroupName("web");
    Document.Routes[Item.Name] = Item;
  }
  State.Documents[Document.Service].Document = Document;
  return State;
}

struct SelectionSetup {
  GroupView Group;
  moves::StoppedMoveSet StoppedMoves;
  EjectionTable Ejections;
  LoadTable Load;
  std::set<NodeId> Excluded;
  SteadyTime Now{1000};
  RequestClass Class = RequestClass::Repeatable;

  void add(const std::string &Id, Distance TargetDistance,
           const VersionName &Version) {
    Member Item = memberOf(Id, "z");
    Item.Version = Version;
    Group.ByVersion[Version].push_back({Item, TargetDistance});
    Group.Share.Stable = V1;
  }

  std::string pick(const std::string &Id) const {
    const RequestId Request(Id);
    const auto Found =
        selectUpstream(Group, {Request, Class, StoppedMoves, Ejections, Load,
                               Excluded, Now, 7});
    return Found ? Found->Target.Id.str() : "";
  }

  int countOf(const std::string &Prefix) const {
    int Count = 0;
    for (int I = 0; I < 10000; ++I)
      Count += pick("r" + std::to_string(I)).rfind(Prefix, 0) == 0 ? 1 : 0;
    return Count;
  }
};

} // namespace

// Guards against a request for /ordersheet that matches the prefix /orders, and
// against a short prefix that hides a longer one.
BOOST_AUTO_TEST_CASE(LongestPrefixAtASegmentWins) {
  const RoutingView View = buildRoutingView(stateWithShop(), {}, {});
  BOOST_TEST(findRoute(View, "shop:80", "/orders/7?x=/orders/scan")
                 .Found->Name.str() == "/orders");
  BOOST_TEST(findRoute(View, "shop", "/orders/scan").Found->Name.str() ==
             "/orders/scan");
  BOOST_TEST(findRoute(View, "shop", "/ordersheet").Found->Name.str() == "/");
  BOOST_TEST(findRoute(View, "other", "/").Service == nullptr);
}

// Guards against requests to members that are leaving, and against a group
// without candidates when a partition makes most of its members suspect.
BOOST_AUTO_TEST_CASE(ViewKeepsSuspectsOnlyWhenMostAreSuspect) {
  const auto CountWith = [](std::vector<Member> Members) {
    const RoutingView View = buildRoutingView(
        stateWithShop(), Members, {Region("r"), AvailabilityZone("a")});
    return View.Services.at(ServiceName("shop"))
        .Groups.at(GroupName("web"))
        .ByVersion.at(V1)
        .size();
  };
  const Member Ready = memberOf("n1", "a");
  const Member Suspect = memberOf("n2", "b", MemberState::Suspect);
  const Member Suspect2 = memberOf("n3", "b", MemberState::Suspect);
  const Member Draining = memberOf("n4", "b", MemberState::Draining);
  BOOST_TEST(CountWith({Ready, Suspect, Draining}) == 1U);
  BOOST_TEST(CountWith({Ready, Suspect, Suspect2, Draining}) == 3U);
}

// Guards against traffic that crosses zones while a nearer member is usable.
BOOST_AUTO_TEST_CASE(NearestTierIsUsedAndExcludedMembersAreNot) {
  SelectionSetup P;
  P.add("near", Distance::SameZone, V1);
  P.add("mid", Distance::SameRegion, V1);
  P.add("far", Distance::OtherRegion, V1);
  BOOST_TEST(P.countOf("near") == 10000);
  P.Excluded = {NodeId("near")};
  BOOST_TEST(P.countOf("mid") == 10000);
  P.Excluded = {NodeId("near"), NodeId("mid"), NodeId("far")};
  BOOST_TEST(P.pick("r").empty());
}

// Guards against a loaded member that gets as many requests as an idle one.
BOOST_AUTO_TEST_CASE(LessLoadedOfTwoIsPicked) {
  SelectionSetup P;
  for (const char *Id : {"a", "b", "c"})
    P.add(Id, Distance::SameZone, V1);
  P.Load.InProgress[NodeId("b")] = 5;
  BOOST_TEST(P.countOf("b") == 0);
  BOOST_TEST(P.countOf("a") > 3000);
}

// Guards against a new version that gets more than its share, or that gets
// requests although the move is stopped.
BOOST_AUTO_TEST_CASE(ShareAndBrakeLimitTheNewVersion) {
  SelectionSetup P;
  P.add("old", Distance::SameZone, V1);
  P.add("new", Distance::SameZone, V2);
  P.Group.Share.InProgress = MoveId("shop/web/2");
  P.Group.Share.Candidate = V2;
  P.Group.Share.CandidateShare = Permille(10);
  BOOST_TEST(P.countOf("new") > 60);
  BOOST_TEST(P.countOf("new") < 140);
  P.Group.Share.CandidateShare = Permille(1000);
  BOOST_TEST(P.countOf("new") == 10000);
  P.StoppedMoves.Stopped.insert(MoveId("shop/web/2"));
  BOOST_TEST(P.countOf("new") == 0);
}

// Guards against once-only requests and uploads that try out a new version:
// these classes follow their own share, which rises later.
BOOST_AUTO_TEST_CASE(OnceOnlyRequestsFollowTheGuardedShare) {
  SelectionSetup P;
  P.add("old", Distance::SameZone, V1);
  P.add("new", Distance::SameZone, V2);
  P.Group.Share.Candidate = V2;
  P.Group.Share.InProgress = MoveId("shop/g/2");
  P.Group.Share.CandidateShare = Permille(1000);
  P.Group.Share.NonRetryableShare = Permille(0);
  BOOST_TEST(P.countOf("new") == 10000);
  P.Class = RequestClass::OnceOnly;
  BOOST_TEST(P.countOf("new") == 0);
  P.Class = RequestClass::Upload;
  BOOST_TEST(P.countOf("new") == 0);
}

// Guards against ejections that never end, that do not grow, or that cover a
// whole group.
BOOST_AUTO_TEST_CASE(EjectionDoublesAndSparesHalfOfTheGroup) {
  SelectionSetup P;
  for (const char *Id : {"a", "b"})
    P.add(Id, Distance::SameZone, V1);
  for (int I = 0; I < 3; ++I)
    recordConnectFailure(P.Ejections, NodeId("a"), P.Now);
  BOOST_TEST(P.countOf("a") == 0);
  BOOST_TEST(elapsed(P.Now, P.Ejections.Members[NodeId("a")].Until).count() ==
             1000);
  ejectAfterCrash(P.Ejections, NodeId("b"), P.Now);
  BOOST_TEST(P.countOf("a") > 4000);
  P.Now = SteadyTime(60000);
  for (int I = 0; I < 12; ++I)
    ejectAfterCrash(P.Ejections, NodeId("a"), SteadyTime(60000 + I * 40000));
  BOOST_TEST(elapsed(SteadyTime(60000 + 11 * 40000),
                     P.Ejections.Members[NodeId("a")].Until)
                 .count() == 30000);
  resetEjection(P.Ejections, NodeId("a"));
  BOOST_TEST(P.Ejections.Members.count(NodeId("a")) == 0U);
}

// Guards against retries that execute a request twice, and against retry
// storms.
BOOST_AUTO_TEST_CASE(RetryNeedsProofOrARepeatableClassAndBudget) {
  RetryBudget Budget;
  FailedAttempt Failed;
  Failed.TimeLeft = Milliseconds(100);
  BOOST_TEST(decideRetry(Budget, Failed));
  Failed.Class = RequestClass::OnceOnly;
  BOOST_TEST(!decideRetry(Budget, Failed));
  Failed.ExecutionStatus = Executed::No;
  BOOST_TEST(decideRetry(Budget, Failed));
  Failed.FromLaterHop = true;
  BOOST_TEST(!decideRetry(Budget, Failed));
  Failed.FromLaterHop = false;
  Failed.Attempt = 2;
  BOOST_TEST(!decideRetry(Budget, Failed));
  Failed.Attempt = 1;
  Failed.Reason = RefusalReason::CrashSuspect;
  BOOST_TEST(!decideRetry(Budget, Failed));
  Failed.Reason = RefusalReason::Shed;
  int Granted = 0;
  while (decideRetry(Budget, Failed))
    ++Granted;
  BOOST_TEST(Granted == 8);
  for (int I = 0; I < 10; ++I)
    recordOriginal(Budget, ServiceLimits());
  BOOST_TEST(decideRetry(Budget, Failed));
  BOOST_TEST(!decideRetry(Budget, Failed));
}

// Guards against reporting "not executed" for a request that may have been
// executed.
BOOST_AUTO_TEST_CASE(ExecutionStatusFollowsTheProgress) {
  BOOST_TEST((deduceExecuted({false, false, false}) == Executed::No));
  BOOST_TEST((deduceExecuted({true, false, false}) == Executed::Unknown));
  BOOST_TEST((deduceExecuted({true, true, true}) == Executed::No));
  BOOST_TEST((deduceExecuted({true, false, true}) == Executed::Yes));
}

// Guards against two executions for one key, and against outcomes with the
// token of another claim.
BOOST_AUTO_TEST_CASE(FirstClaimWinsAndRepeatsGetTheOutcome) {
  ClaimTable Table;
  const IdempotencyKey Key("k");
  const ClaimEntry First{ClaimKind::Claim, Key, "t1", "p", {}};
  const ClaimEntry Second{ClaimKind::Claim, Key, "t2", "p", {}};
  foldClaim(Table, Offset(4), First);
  foldClaim(Table, Offset(5), Second);
  BOOST_TEST((resolveClaim(Table, First).Action == ClaimAction::Execute));
  BOOST_TEST((resolveClaim(Table, Second).Action == ClaimAction::Unknown));
  foldClaim(Table, Offset(6),
            {ClaimKind::Outcome, Key, "t2", "p", {200, "", "forged"}});
  BOOST_TEST((resolveClaim(Table, Second).Action == ClaimAction::Unknown));
  foldClaim(Table, Offset(7),
            {ClaimKind::Outcome, Key, "t1", "p", {201, "", "done"}});
  foldClaim(Table, Offset(8), {ClaimKind::Release, Key, "t1", "p", {}});
  const ClaimDecision Repeat = resolveClaim(Table, Second);
  BOOST_TEST((Repeat.Action == ClaimAction::Replay));
  BOOST_TEST(*Repeat.Answer.Body == "done");
  const ClaimEntry Other{ClaimKind::Claim, Key, "t3", "other", {}};
  BOOST_TEST((resolveClaim(Table, Other).Action == ClaimAction::KeyReused));
}

// Guards against a key that stays claimed although nothing was executed.
BOOST_AUTO_TEST_CASE(ReleaseOpensTheKeyForALaterClaim) {
  ClaimTable Table;
  const IdempotencyKey Key("k");
  foldClaim(Table, Offset(1), {ClaimKind::Claim, Key, "t1", "p", {}});
  foldClaim(Table, Offset(2), {ClaimKind::Release, Key, "t1", "p", {}});
  const ClaimEntry Next{ClaimKind::Claim, Key, "t2", "p", {}};
  foldClaim(Table, Offset(3), Next);
  BOOST_TEST((resolveClaim(Table, Next).Action == ClaimAction::Execute));
}

// Guards against a request that keeps crashing upstreams, and against a
// quarantine after a single crash that was reported twice.
BOOST_AUTO_TEST_CASE(TwoCrashesQuarantineForTenMinutes) {
  SuspectTable Table;
  const Fingerprint RequestFingerprint("f");
  recordCrashSuspect(Table, RequestFingerprint, CrashId("n1/1"),
                     SuspectWeight::NeverAnswered, SteadyTime(0));
  recordCrashSuspect(Table, RequestFingerprint, CrashId("n1/1"),
                     SuspectWeight::NeverAnswered, SteadyTime(5));
  BOOST_TEST(!isQuarantined(Table, RequestFingerprint, SteadyTime(6)));
  recordCrashSuspect(Table, RequestFingerprint, CrashId("n2/1"),
                     SuspectWeight::NeverAnswered, SteadyTime(10));
  BOOST_TEST(isQuarantined(Table, RequestFingerprint, SteadyTime(600009)));
  BOOST_TEST(!isQuarantined(Table, RequestFingerprint, SteadyTime(600010)));
}

// Guards against requests to a draining upstream that sheds all of them, and
// against the ejection of an overloaded one that sheds only some.
BOOST_AUTO_TEST_CASE(EjectsAnUpstreamThatOnlySheds) {
  EjectionTable Table;
  const NodeId A("a");
  for (int I = 0; I < 20; ++I)
    recordShedRequest(Table, A, SteadyTime(1000 + I * 40));
  resetEjection(Table, A);
  for (int I = 0; I < 20; ++I)
    recordShedRequest(Table, A, SteadyTime(1900 + I * 40));
  BOOST_TEST(Table.Members[A].Until.value() == 0);
  recordShedRequest(Table, A, SteadyTime(2900));
  BOOST_TEST(Table.Members[A].Until.value() == 3900);
  recordShedRequest(Table, A, SteadyTime(3000));
  BOOST_TEST(Table.Members[A].Until.value() == 3900);
  recordShedRequest(Table, A, SteadyTime(3900));
  BOOST_TEST(Table.Members[A].Until.value() == 5900);
}

// Guards against the quarantine of a frequently read page that is in progress
// whenever another request crashes an upstream.
BOOST_AUTO_TEST_CASE(AnsweredRequestIsQuarantinedOnlyAfterFourCrashes) {
  AnsweredTable Answered;
  SuspectTable Table;
  const Fingerprint Page("page");
  BOOST_TEST((crashWeight(Answered, Page, SteadyTime(0)) ==
              SuspectWeight::NeverAnswered));
  recordAnswered(Answered, Page, SteadyTime(0));
  for (int I = 0; I < 4; ++I) {
    BOOST_TEST(!isQuarantined(Table, Page, SteadyTime(I)));
    recordCrashSuspect(Table, Page, CrashId("n/" + std::to_string(I)),
                       crashWeight(Answered, Page, SteadyTime(I)),
                       SteadyTime(I));
  }
  BOOST_TEST(isQuarantined(Table, Page, SteadyTime(5)));
  BOOST_TEST((crashWeight(Answered, Page, SteadyTime(600000)) ==
              SuspectWeight::NeverAnswered));
}
