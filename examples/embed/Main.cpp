/// Example that embeds the decision libraries of lycheethread without the
/// daemon, and therefore without sockets, threads or a clock. The arguments are
/// service documents; the last document uses groups of the preceding ones.
#include "decisions/Decisions.h"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace lycheethread;

namespace {

// Fixed points in time instead of the clock that a real program would pass.
constexpr WallTime Noon{1'796'472'000'000};
constexpr SteadyTime Start{0};
const Location LocalZone{Region("oberbayern"), AvailabilityZone("eichstaett")};

void publish(config::ConfigState &State, const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  const ServiceDocument Document = parseDocument(Path, Text.str()).Document;
  const RecordHeader Header{NodeId("publish-" + Document.Service.str()),
                            Incarnation(1), Sequence(1), Noon};
  config::foldRecord(
      State, State.Position,
      {Header,
       PublishRecord{Document.Service, Document.BaseRevision, Text.str()}});
  const config::PublishResult *Verdict =
      config::findPublishResult(State, Header);
  std::cout << "publish " << Document.Service << ": "
            << (Verdict->Accepted ? "accepted" : "refused") << ", revision "
            << Verdict->InForce << "\n";
}

membership::Update readyMember(const std::string &Id,
                               const std::string &Address,
                               const std::string &Zone) {
  Member MemberInfo;
  MemberInfo.Id = NodeId(Id);
  MemberInfo.IncarnationNumber = Incarnation(1);
  MemberInfo.State = MemberState::Ready;
  MemberInfo.Hop = MemberInfo.Control = {Address, 8081};
  MemberInfo.At = {LocalZone.RegionName, AvailabilityZone(Zone)};
  MemberInfo.Service = ServiceName("commission-catalogue");
  MemberInfo.Group = GroupName("workshop");
  MemberInfo.Version = VersionName("v1");
  return {MemberInfo, false};
}

void printSelection(const requests::RoutingView &View,
                    const std::string &Path) {
  const requests::RouteMatch Match =
      requests::findRoute(View, "commission-catalogue", Path);
  const requests::GroupView &Group =
      Match.Service->Groups.at(Match.Found->Group);
  const RequestId Id("r1");
  const moves::StoppedMoveSet StoppedMoves;
  const requests::EjectionTable Ejections;
  const requests::LoadTable Load;
  const std::set<NodeId> Excluded;
  const requests::SelectionInput Input{
      Id, Match.Found->Class, StoppedMoves, Ejections, Load, Excluded, Start};
  const auto Chosen = requests::selectUpstream(Group, Input);
  std::cout << "route " << Path << ": " << Match.Found->Name << " to "
            << (Chosen ? Chosen->Target.Id.str() : "no upstream") << "\n";
}

void printAdmission(requests::AdmissionState &State,
                    const ServiceLimits &Limits, std::int64_t Ticket,
                    const std::string &Caller) {
  const requests::AdmitDecision Verdict =
      requests::admit(State, Limits,
                      {Ticket, CallerId(Caller), RequestClass::Repeatable,
                       after(Start, Milliseconds(2000))},
                      Start);
  std::cout << "request of " << Caller << ": ";
  if (Verdict.Action != requests::AdmitAction::Refuse)
    std::cout << "admitted\n";
  else
    std::cout << "refused, " << toString(Verdict.Reason) << ", not executed\n";
}

} // namespace

int main(int Argc, char **Argv) {
  config::ConfigState State;
  for (int I = 1; I < Argc; ++I)
    publish(State, Argv[I]);

  auto Table = membership::makeMemberTable(
      readyMember("workshop-1", "10.1.1.11", "eichstaett").MemberInfo, Start,
      /*Seed=*/1);
  membership::mergeMembers(
      Table, {readyMember("workshop-2", "10.1.2.11", "ingolstadt")}, Start);
  const auto Members = membership::visibleMembers(Table, Start);
  std::cout << "members: " << Members.size() << "\n";
  const auto View = requests::buildRoutingView(State, Members, LocalZone);
  printSelection(View, "/orders/17");

  const ServiceLimits Limits{/*Slots=*/2, /*Connections=*/110, /*Queue=*/0};
  requests::AdmissionState Upstream;
  printAdmission(Upstream, Limits, 1, "council");
  printAdmission(Upstream, Limits, 2, "council");
}
