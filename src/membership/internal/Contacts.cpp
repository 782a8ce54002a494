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

/// Whether the table has news of this life of the node or of a later one.
bool hasNewsOf(const MemberTable &Table, const NodeId &MemberId,
               Incarnation IncarnationNumber) {
  if (MemberId == Table.Self.Id)
    return true;
  const auto Known = Table.Others.find(MemberId);
  if (Known != Table.Others.end())
    return Known->second.Last.MemberInfo.IncarnationNumber >= IncarnationNumber;
  const auto Ended = Table.Ended.find(MemberId);
  return Ended != Table.Ended.end() &&
         Ended->second.IncarnationNumber >= IncarnationNumber;
}

bool isSettled(const MemberTable &Table, const Contact &Item) {
  return Item.IsSeed ? isLiveMember(Table, Item.At)
                     : hasNewsOf(Table, Item.MemberId, Item.IncarnationNumber);
}

bool isExhausted(const Contact &Item) {
  return !Item.IsSeed && Item.Attempts >= JoinContactAttempts;
}

// Uniform in the upper half of the doubled delay, so that nodes that started
// together do not ask together.
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
  ContactList Book;
  Book.NextAt = after(Now, InitialContactDelay);
  for (const Endpoint &At : Seeds) {
    if (Book.Contacts.size() >= MaxContacts)
      break;
    Contact Seed;
    Seed.At = At;
    Seed.IsSeed = true;
    Seed.NextAt = Book.NextAt;
    Book.Contacts.push_back(std::move(Seed));
  }
  return Book;
}

void onJoinRecord(ContactList &Book, const MemberTable &Table,
                  const Member &Joined, SteadyTime Now) {
  if (Joined.Id.empty() || Joined.Control.Port == 0 ||
      hasNewsOf(Table, Joined.Id, Joined.IncarnationNumber))
    return;
  const auto Known = std::find_if(
      Book.Contacts.begin(), Book.Contacts.end(), [&](const Contact &Item) {
        return !Item.IsSeed && Item.MemberId == Joined.Id;
      });
  if (Known != Book.Contacts.end()) {
    if (Known->IncarnationNumber >= Joined.IncarnationNumber)
      return;
    Book.Contacts.erase(Known);
  }
  if (Book.Contacts.size() >= MaxContacts)
    return;
  Contact Fresh;
  Fresh.At = Joined.Control;
  Fresh.MemberId = Joined.Id;
  Fresh.IncarnationNumber = Joined.IncarnationNumber;
  // The rumour of a regular join is faster than this.
  Fresh.NextAt = after(Now, InitialContactDelay);
  Book.Contacts.push_back(std::move(Fresh));
}

std::optional<Endpoint> nextContact(ContactList &Book, MemberTable &Table,
                                    SteadyTime Now) {
  if (Now < Book.NextAt)
    return std::nullopt;
  Book.NextAt = after(Now, ContactInterval);
  Contact *Due = nullptr;
  for (Contact &Item : Book.Contacts) {
    if (Now < Item.NextAt || isExhausted(Item))
      continue;
    if (isSettled(Table, Item)) {
      // A seed that ends later is looked for again from the start.
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
  Book.Contacts.erase(
      std::remove_if(Book.Contacts.begin(), Book.Contacts.end(), isExhausted),
      Book.Contacts.end());
  return Chosen;
}

void onContactReply(ContactList &Book, const Endpoint &From, SteadyTime Now) {
  for (Contact &Item : Book.Contacts) {
    if (!(Item.At == From))
      continue;
    Item.Attempts = Item.IsSeed ? 0 : JoinContactAttempts;
    Item.NextAt = after(Now, RepliedContactDelay);
  }
}

} // namespace lycheethread::membership
