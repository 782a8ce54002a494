#include "requests/Requests.h"

#include <algorithm>
#include <string_view>

namespace lycheethread::requests {

namespace {

Distance distanceFrom(const Location &Self, const Location &Other) {
  if (Other.RegionName != Self.RegionName)
    return Distance::OtherRegion;
  return Other.Zone == Self.Zone ? Distance::SameZone : Distance::SameRegion;
}

bool isUsable(const Member &Item, bool WithSuspects) {
  return Item.State == MemberState::Ready ||
         (WithSuspects && Item.State == MemberState::Suspect);
}

std::vector<const Member *> membersOf(const std::vector<Member> &Members,
                                      const ServiceName &Service,
                                      const GroupName &Group) {
  std::vector<const Member *> Found;
  for (const Member &Item : Members)
    if (Item.Service == Service && Item.Group == Group)
      Found.push_back(&Item);
  return Found;
}

bool hasMoreSuspectThanReady(const std::vector<const Member *> &Members) {
  std::size_t Ready = 0;
  std::size_t Suspects = 0;
  for (const Member *Item : Members) {
    Ready += Item->State == MemberState::Ready ? 1 : 0;
    Suspects += Item->State == MemberState::Suspect ? 1 : 0;
  }
  return Suspects > Ready;
}

void addCandidates(GroupView &View, const UpstreamGroup &Group,
                   const std::vector<const Member *> &Members,
                   const Location &Self) {
  const bool WithSuspects = hasMoreSuspectThanReady(Members);
  for (const VersionName &Version : Group.Versions) {
    std::vector<Candidate> &List = View.ByVersion[Version];
    for (const Member *Item : Members)
      if (Item->Version == Version && isUsable(*Item, WithSuspects))
        List.push_back({*Item, distanceFrom(Self, Item->At)});
    std::sort(List.begin(), List.end(),
              [](const Candidate &L, const Candidate &R) {
                return L.Target.Id < R.Target.Id;
              });
  }
}

std::vector<Route> sortedRoutes(const ServiceDocument &Document) {
  std::vector<Route> Routes;
  for (const auto &[Name, Item] : Document.Routes)
    Routes.push_back(Item);
  std::stable_sort(Routes.begin(), Routes.end(),
                   [](const Route &L, const Route &R) {
                     return L.Path.size() > R.Path.size();
                   });
  return Routes;
}

} // namespace

RoutingView buildRoutingView(const config::ConfigState &State,
                             const std::vector<Member> &Members,
                             const Location &Self) {
  RoutingView View;
  View.ConfigPosition = State.Position;
  View.Self = Self;
  for (const auto &[Name, Accepted] : State.Documents) {
    const ServiceDocument &Document = Accepted.Document;
    ServiceView &Service = View.Services[Name];
    Service.Limits = Document.Limits;
    Service.Routes = sortedRoutes(Document);
    Service.Resources = Document.Resources;
    for (const auto &[Group, Listed] : Document.Groups) {
      GroupView &Seen = Service.Groups[Group];
      Seen.Share = moves::trafficSplitOf(State.Moves, Document, Group);
      addCandidates(Seen, Listed, membersOf(Members, Name, Group), Self);
    }
  }
  return View;
}

} // namespace lycheethread::requests
