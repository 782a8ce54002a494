// Measures processor time and memory of the decision functions at several
// sizes; docs/CAPACITY.md derives its growth rates from them. Takes no options.

#include "decisions/Decisions.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <string>

using namespace lycheethread;

namespace {

constexpr int GroupsPerDocument = 2;
constexpr int RoutesPerDocument = 10;
constexpr SteadyTime Start{1000000};

double averageMicroseconds(int Repeats, const std::function<void()> &Work) {
  const auto StartTime = std::chrono::steady_clock::now();
  for (int Index = 0; Index < Repeats; ++Index)
    Work();
  const std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - StartTime;
  return Elapsed.count() / Repeats;
}

/// Returns the memory allocated by the program, without free memory that the
/// allocator retains.
double usedKilobytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1024;
}

std::string documentText(int Number) {
  std::string Text = "[service]\nname = service-" + std::to_string(Number) +
                     "\nteam = team\nbuilds_on = 0\n";
  for (int Index = 0; Index < GroupsPerDocument; ++Index)
    Text += "[upstreams.group-" + std::to_string(Index) + "]\nversions = v1\n";
  for (int Index = 0; Index < RoutesPerDocument; ++Index)
    Text += "[route.route-" + std::to_string(Index) + "]\npath = /path/" +
            std::to_string(Index) + "\nclass = repeatable\nupstreams = group-" +
            std::to_string(Index % GroupsPerDocument) + "\ntimeout_ms = 2000\n";
  return Text;
}

config::ConfigState makeState(int Documents) {
  config::ConfigState State;
  for (int Index = 0; Index < Documents; ++Index) {
    Record Item;
    Item.Header = {NodeId("operator-" + std::to_string(Index)), Incarnation(1),
                   Sequence(1), WallTime(1800000000000 + Index)};
    Item.Body = PublishRecord{ServiceName("service-" + std::to_string(Index)),
                              Revision(0), documentText(Index)};
    config::foldRecord(State, State.Position, Item);
  }
  return State;
}

Member makeMember(int Number, int Services) {
  Member Item;
  Item.Id = NodeId("node-" + std::to_string(Number));
  Item.IncarnationNumber = Incarnation(1);
  Item.State = MemberState::Ready;
  Item.Hop = {"10.0.0.1", static_cast<std::uint16_t>(1000 + Number)};
  Item.Control = {"10.0.0.1", static_cast<std::uint16_t>(20000 + Number)};
  Item.At = {Region("region-" + std::to_string(Number % 2)),
             AvailabilityZone("zone-" + std::to_string(Number % 8))};
  Item.Service = ServiceName("service-" + std::to_string(Number % Services));
  Item.Group = GroupName("group-" + std::to_string(Number % GroupsPerDocument));
  Item.Version = VersionName("v1");
  return Item;
}

void measureFold(int Documents) {
  const double Before = usedKilobytes();
  const auto StartTime = std::chrono::steady_clock::now();
  config::ConfigState State = makeState(Documents);
  const std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - StartTime;
  const double UsedMemory = usedKilobytes() - Before;
  std::size_t Bytes = 0;
  const double Checkpoint = averageMicroseconds(5, [&] {
    Bytes = 0;
    for (const std::string &Part : config::makeCheckpoint(State))
      Bytes += Part.size();
  });
  config::ConfigState Copied;
  const double Copy = averageMicroseconds(5, [&] { Copied = State; });
  std::printf("fold        %5d documents of %zu B (%zu accepted): %.1f us a "
              "document, %.0f KB of memory, checkpoint %zu B in %.0f us, "
              "copy %.0f us\n",
              Documents, documentText(0).size(), State.Documents.size(),
              Elapsed.count() / Documents, UsedMemory, Bytes, Checkpoint, Copy);
}

void measureView(int Members) {
  const int Documents = std::max(2, Members * 120 / 1000);
  const config::ConfigState State = makeState(Documents);
  std::vector<Member> MemberList;
  for (int Index = 0; Index < Members; ++Index)
    MemberList.push_back(makeMember(Index, Documents));
  const double Build = averageMicroseconds(10, [&] {
    requests::buildRoutingView(State, MemberList, {Region("region-0"), {}});
  });
  std::printf("view        %5d members, %d documents: %.0f us a build\n",
              Members, Documents, Build);
}

void measureMembership(int Members) {
  const double Before = usedKilobytes();
  membership::MemberTable Table =
      membership::makeMemberTable(makeMember(0, 120), Start, 1);
  std::vector<membership::Update> Updates;
  for (int Index = 1; Index < Members; ++Index) {
    membership::Update Item;
    Item.MemberInfo = makeMember(Index, 120);
    Updates.push_back(Item);
  }
  const double Merge = averageMicroseconds(
      1, [&] { membership::mergeMembers(Table, Updates, Start); });
  SteadyTime Now = Start;
  constexpr int Ticks = 200;
  const double Tick = averageMicroseconds(Ticks, [&] {
    Now = after(Now, Milliseconds(50));
    membership::tick(Table, Now);
  });
  const double Visible =
      averageMicroseconds(20, [&] { membership::visibleMembers(Table, Now); });
  std::printf("membership  %5d members: %.0f KB of memory, merge %.0f us, tick "
              "%.1f us (20 a second), list %.0f us\n",
              Members, usedKilobytes() - Before, Merge, Tick, Visible);
}

void measureRefusals(int Callers) {
  refusals::RefusalLedger Ledger =
      refusals::makeLedger(NodeId("node-1"), Incarnation(1), WallTime(1));
  Refusal Item;
  Item.Service = ServiceName("service-1");
  Item.Route = RouteName("route-1");
  Item.Reason = RefusalReason::CallerLimit;
  int Next = 0;
  const double Add = averageMicroseconds(200000, [&] {
    Item.Id = RefusalId("node-1-" + std::to_string(Next));
    Item.Caller = CallerId("caller-" + std::to_string(Next++ % Callers));
    Item.At = WallTime(Next);
    refusals::addRefusal(Ledger, Item);
  });
  const auto Batch = refusals::takeBatch(Ledger, WallTime(Next), false);
  std::printf("refusals    %5d callers: %.2f us a refusal\n", Callers, Add);
}

} // namespace

int main() {
  for (const int Documents : {30, 120, 480})
    measureFold(Documents);
  for (const int Members : {100, 300, 1000, 2000})
    measureMembership(Members);
  for (const int Members : {100, 300, 1000, 2000})
    measureView(Members);
  for (const int Callers : {10, 100, 1000})
    measureRefusals(Callers);
  return 0;
}
