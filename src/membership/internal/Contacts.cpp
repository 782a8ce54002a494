#include "distribution/Distribution.h"
#include "membership/internal/Internal.h"

#include <algorithm>

namespace lycheethread::membership {

namespace {

constexpr int MaxDoublings = 5;

bool isLiveMember(const MemberTable &Table, const Endpoint &At) {
  if (Table.Self.Control == At)
    return true;
  return std::any_of(Table.Others.begin(), Table.Others.end(),
                     [&](const auto &Item) {
                       return Item.second.Last.MemberInfo.Control == At &&
                              !hasEnded(Item.second.Last);
                     });
}

/// Returns whether the table knows this incarnation of the node or a later one.
/// Nodes that are known to have left or died count as known, so that they are
/// not contacted.
bool isKnown(const MemberTable &Table, const NodeId &MemberId,
             Incarnation IncarnationNumber) {
  if (MemberId == Table.Self.Id)
    return true;
  const auto Known = Table.Others.find(MemberId);
  if (Known != Table.Others.end())
    return Known->second.Last.MemberInfo.IncarnationNumber >= IncarnationNumber;
  const auto Removed = Table.Tombstones.find(MemberId);
  return Removed != Table.Tombstones.end() &&
         Removed->second.IncarnationNumber >= IncarnationNumber;
}

bool isSettled(const MemberTable &Table, const Contact &Item) {
  return Item.IsSeed ? isLiveMember(Table, Item.At)
                     : isKnown(Table, Item.Id, Item.IncarnationNumber);
}

bool isExhausted(const Contact &Item) {
  return !Item.IsSeed && Item.Attempts >= JoinContactAttempts;
}

// Exponential backoff with jitter: uniform in the upper half of the doubled
// delay, so that nodes that started together do not retry in step.
Milliseconds contactDelay(int Attempts, std::uint64_t &Seed) {
  const int Doublings = std::clamp(Attempts, 0, MaxDoublings);
  const Milliseconds Ceiling = std::min(
      MaxContactDelay, MinContactDelay * (std::int64_t{1} << Doublings));
  const std::int64_t Half = Ceiling.count() / 2;
  const auto Jitter = static_cast<std::int64_t>(
      distribution::randomBelow(Seed, static_cast<std::size_t>(Half)));
  return Milliseconds(Half + Jitter);
}

} // namespace

ContactList makeContactList(const std::vector<Endpoint> &Seeds,
                            SteadyTime Now) {
  ContactList List;
  List.NextAt = after(Now, InitialContactDelay);
  for (const Endpoint &At : Seeds) {
    if (List.Contacts.size() >= MaxContacts)
      break;
    Contact Seed;
    Seed.At = At;
    Seed.IsSeed = true;
    Seed.NextAt = List.NextAt;
    List.Contacts.push_back(std::move(Seed));
  }
  return List;
}

void onJoinRecord(ContactList &List, const MemberTable &Table,
                  const Member &Joined, SteadyTime Now) {
  if (Joined.Id.empty() || Joined.Control.Port == 0 ||
      isKnown(Table, Joined.Id, Joined.IncarnationNumber))
    return;
  const auto Known = std::find_if(List.Contacts.begin(), List.Contacts.end(),
                                  [&](const Contact &Item) {
                                    return !Item.IsSeed && Item.Id == Joined.Id;
                                  });
  if (Known != List.Contacts.end()) {
    if (Known->IncarnationNumber >= Joined.IncarnationNumber)
      return;
    List.Contacts.erase(Known);
  }
  if (List.Contacts.size() >= MaxContacts)
    return;
  Contact Fresh;
  Fresh.At = Joined.Control;
  Fresh.Id = Joined.Id;
  Fresh.IncarnationNumber = Joined.IncarnationNumber;
  // Gossip about a regular join arrives before this time.
  Fresh.NextAt = after(Now, InitialContactDelay);
  List.Contacts.push_back(std::move(Fresh));
}

std::optional<Endpoint> nextContact(ContactList &List, MemberTable &Table,
                                    SteadyTime Now) {
  if (Now < List.NextAt)
    return std::nullopt;
  List.NextAt = after(Now, ContactInterval);
  Contact *Due = nullptr;
  for (Contact &Item : List.Contacts) {
    if (Now < Item.NextAt || isExhausted(Item))
      continue;
    if (isSettled(Table, Item)) {
      // If the seed fails later, its backoff starts from the beginning.
      Item.Attempts = Item.IsSeed ? 0 : JoinContactAttempts;
      continue;
    }
    if (Due == nullptr || Item.NextAt < Due->NextAt)
      Due = &Item;
  }
  std::optional<Endpoint> Chosen;
  if (Due != nullptr) {
    Chosen = Due->At;
    Due->NextAt = after(Now, contactDelay(Due->Attempts, Table.Seed));
    ++Due->Attempts;
  }
  List.Contacts.erase(
      std::remove_if(List.Contacts.begin(), List.Contacts.end(), isExhausted),
      List.Contacts.end());
  return Chosen;
}

void onContactReply(ContactList &List, const Endpoint &From, SteadyTime Now) {
  for (Contact &Item : List.Contacts) {
    if (!(Item.At == From))
      continue;
    Item.Attempts = Item.IsSeed ? 0 : JoinContactAttempts;
    Item.NextAt = after(Now, RepliedContactDelay);
  }
}

} // namespace lycheethread::membership
