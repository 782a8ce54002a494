#include "distribution/Distribution.h"
#include "membership/internal/Internal.h"

#include <algorithm>
#include <set>

namespace lycheethread::membership {

namespace {

std::size_t maxEncodedSize(const Update &Item) {
  // Upper bound for the field headers and numbers in the compact encoding.
  constexpr std::size_t Overhead = 64;
  const Member &MemberInfo = Item.MemberInfo;
  return Overhead + MemberInfo.Id.str().size() + MemberInfo.Hop.Address.size() +
         MemberInfo.Control.Address.size() +
         MemberInfo.At.RegionName.str().size() +
         MemberInfo.At.Zone.str().size() + MemberInfo.Service.str().size() +
         MemberInfo.Group.str().size() + MemberInfo.Version.str().size();
}

/// The updates of one datagram, bounded in count and bytes.
struct UpdateBatch {
  std::vector<Update> Items;
  std::size_t Bytes = 0;

  bool add(const Update &Item) {
    for (const Update &Other : Items)
      if (Other.MemberInfo.Id == Item.MemberInfo.Id)
        return true;
    const std::size_t Size = maxEncodedSize(Item);
    if (Items.size() >= MaxUpdates || Bytes + Size > UpdateBytes)
      return false;
    Items.push_back(Item);
    Bytes += Size;
    return true;
  }
};

// Adds the updates that were sent least often first, so that old updates do not
// delay new ones.
void addPiggyback(MemberTable &Table, bool CrossRegion, UpdateBatch &Batch) {
  int &SelfLeft = CrossRegion ? Table.SelfCrossSendsLeft : Table.SelfSendsLeft;
  if (SelfLeft > 0 && Batch.add({Table.Self, false}))
    --SelfLeft;
  std::vector<std::pair<int, MemberEntry *>> Due;
  for (auto &Item : Table.Others) {
    MemberEntry &Each = Item.second;
    const int Left = CrossRegion ? Each.CrossSendsLeft : Each.SendsLeft;
    if (Left > 0)
      Due.emplace_back(-Left, &Each);
  }
  const std::size_t Wanted = std::min(MaxUpdates, Due.size());
  std::partial_sort(
      Due.begin(), Due.begin() + static_cast<std::ptrdiff_t>(Wanted), Due.end(),
      [](const auto &L, const auto &R) { return L.first < R.first; });
  for (std::size_t At = 0; At < Wanted; ++At) {
    MemberEntry &Each = *Due[At].second;
    if (!Batch.add(Each.Last))
      return;
    --(CrossRegion ? Each.CrossSendsLeft : Each.SendsLeft);
  }
}

bool crossesRegion(const MemberTable &Table, const Message &Received) {
  return Received.RegionName != Table.Self.At.RegionName;
}

// Adds this node's state of the sender if the sender must refute or correct it:
// a suspicion, an end, or another incarnation.
void addUpdateAboutSender(const MemberTable &Table, const Message &Received,
                          Message &Answer) {
  const auto It = Table.Others.find(Received.From);
  if (It != Table.Others.end()) {
    const Update &Last = It->second.Last;
    if (Last.Suspected || hasEnded(Last) ||
        Last.MemberInfo.IncarnationNumber > Received.IncarnationNumber)
      Answer.Updates.insert(Answer.Updates.begin(), Last);
    else if (Last.MemberInfo.IncarnationNumber == Received.IncarnationNumber)
      return;
  }
  Update Missing;
  Missing.MemberInfo.Id = Received.From;
  Missing.MemberInfo.At.RegionName = Received.RegionName;
  Missing.MemberInfo.State = MemberState::Dead;
  const auto Removed = Table.Tombstones.find(Received.From);
  if (Removed != Table.Tombstones.end())
    Missing.MemberInfo.IncarnationNumber = Removed->second.IncarnationNumber;
  if (It == Table.Others.end() ||
      It->second.Last.MemberInfo.IncarnationNumber < Received.IncarnationNumber)
    Answer.Updates.insert(Answer.Updates.begin(), Missing);
}

void answerPing(MemberTable &Table, const Message &Received,
                const Endpoint &Source, SteadyTime Now, Actions &Out) {
  Message Answer = composeMessage(Table, MessageKind::Ack, Received.Number,
                                  nullptr, crossesRegion(Table, Received), Now);
  addUpdateAboutSender(Table, Received, Answer);
  Out.Sends.push_back({Source, Received.RegionName, std::move(Answer)});
}

void relayPing(MemberTable &Table, const Message &Received,
               const Endpoint &Source, SteadyTime Now, Actions &Out) {
  constexpr std::size_t MaxRelays = 256;
  if (Table.Relays.size() >= MaxRelays || Received.Target.Port == 0)
    return;
  for (const auto &Item : Table.Others) {
    const Member &MemberInfo = Item.second.Last.MemberInfo;
    // Only members are pinged, so that the node cannot be used to send traffic
    // to arbitrary endpoints.
    if (!(MemberInfo.Control == Received.Target))
      continue;
    Table.LastNumber = Table.LastNumber.next();
    Table.Relays[Table.LastNumber] = {Source, Received.Number, Now};
    send(Out, MemberInfo,
         composeMessage(
             Table, MessageKind::Ping, Table.LastNumber, &Item.second,
             MemberInfo.At.RegionName != Table.Self.At.RegionName, Now));
    return;
  }
}

void handleAck(MemberTable &Table, const Message &Received, SteadyTime Now,
               Actions &Out) {
  const auto Relayed = Table.Relays.find(Received.Number);
  if (Relayed != Table.Relays.end()) {
    Message Answer = composeMessage(
        Table, MessageKind::Ack, Relayed->second.Number, nullptr, false, Now);
    Out.Sends.push_back(
        {Relayed->second.Origin, Table.Self.At.RegionName, std::move(Answer)});
    Table.Relays.erase(Relayed);
    return;
  }
  const auto It = Table.Probes.find(Received.Number);
  if (It == Table.Probes.end())
    return;
  if (It->second.CrossRegion)
    Table.Regions[Received.RegionName].LastContact = Now;
  Table.Probes.erase(It);
}

/// Returns whether the digests of one region have differed for
/// DigestMismatchTimeout.
bool isMismatchPersistent(MemberTable &Table, const Region &In,
                          std::uint64_t Digest, SteadyTime Now) {
  const auto It = Table.Regions.find(In);
  if (It == Table.Regions.end())
    return false;
  RegionView &View = It->second;
  if (View.Digest == Digest || View.LastDigestMatch == SteadyTime()) {
    View.LastDigestMatch = Now;
    return false;
  }
  return elapsed(View.LastDigestMatch, Now) >= DigestMismatchTimeout;
}

void compareDigests(MemberTable &Table, const Message &Received,
                    const Endpoint &Source, SteadyTime Now, Actions &Out) {
  bool Differs =
      isMismatchPersistent(Table, Received.RegionName, Received.Digest, Now);
  // Digests of other regions are compared only between nodes of the same
  // region, because each region learns of the others in its own way. The
  // sender's digest of this node's region is always compared: two nodes of this
  // region that started at the same moment may know only members of the other
  // region.
  for (const RegionAge &Item : Received.Regions)
    if (!crossesRegion(Table, Received) ||
        Item.RegionName == Table.Self.At.RegionName)
      Differs =
          isMismatchPersistent(Table, Item.RegionName, Item.Digest, Now) ||
          Differs;
  if (!Differs || Now < Table.NextSyncAt)
    return;
  const auto Known = Table.Others.find(Received.From);
  Out.SyncWith = Known == Table.Others.end()
                     ? Source
                     : Known->second.Last.MemberInfo.Control;
  const auto Jitter = static_cast<std::int64_t>(distribution::randomBelow(
      Table.Seed, static_cast<std::size_t>(SyncInterval.count())));
  Table.NextSyncAt = after(Now, SyncInterval + Milliseconds(Jitter));
}

} // namespace

Message composeMessage(MemberTable &Table, MessageKind Kind, Sequence Number,
                       const MemberEntry *To, bool CrossRegion,
                       SteadyTime Now) {
  Message Content;
  Content.Kind = Kind;
  Content.From = Table.Self.Id;
  Content.IncarnationNumber = Table.Self.IncarnationNumber;
  Content.RegionName = Table.Self.At.RegionName;
  Content.Number = Number;
  Content.Position = Table.Self.ConfigPosition;
  Content.Digest = Table.Regions[Table.Self.At.RegionName].Digest;
  for (const auto &Item : Table.Regions)
    if (Item.first != Table.Self.At.RegionName)
      Content.Regions.push_back({Item.first,
                                 elapsed(Item.second.LastContact, Now),
                                 Item.second.Digest});
  UpdateBatch Batch;
  if (To != nullptr && (To->Last.Suspected || hasEnded(To->Last)))
    Batch.add(To->Last);
  addPiggyback(Table, CrossRegion, Batch);
  Content.Updates = std::move(Batch.Items);
  return Content;
}

void send(Actions &Out, const Member &To, Message Content) {
  Out.Sends.push_back({To.Control, To.At.RegionName, std::move(Content)});
}

void mergeRegionAges(MemberTable &Table, const std::vector<RegionAge> &Ages,
                     SteadyTime Now) {
  for (const RegionAge &Item : Ages) {
    const auto It = Table.Regions.find(Item.RegionName);
    if (It == Table.Regions.end() || Item.Age.count() < 0 ||
        Item.Age > RegionTimeout)
      continue;
    const SteadyTime Contact = after(Now, -Item.Age);
    It->second.LastContact = std::max(It->second.LastContact, Contact);
  }
}

Actions handleMessage(MemberTable &Table, const Message &Received,
                      const Endpoint &Source, SteadyTime Now) {
  Actions Out;
  if (Received.From == Table.Self.Id ||
      Received.Updates.size() > 2 * MaxUpdates)
    return Out;
  for (const Update &Item : Received.Updates)
    mergeUpdate(Table, Item, Now, Out);
  const auto Sender = Table.Others.find(Received.From);
  if (Sender != Table.Others.end()) {
    Member &MemberInfo = Sender->second.Last.MemberInfo;
    if (MemberInfo.IncarnationNumber <= Received.IncarnationNumber &&
        Received.Position > MemberInfo.ConfigPosition)
      MemberInfo.ConfigPosition = Received.Position;
  }
  if (!crossesRegion(Table, Received))
    mergeRegionAges(Table, Received.Regions, Now);
  switch (Received.Kind) {
  case MessageKind::Ping:
    answerPing(Table, Received, Source, Now, Out);
    break;
  case MessageKind::Ack:
    handleAck(Table, Received, Now, Out);
    break;
  case MessageKind::IndirectPing:
    relayPing(Table, Received, Source, Now, Out);
    break;
  case MessageKind::Push:
    break;
  }
  if (Received.Kind != MessageKind::Push)
    compareDigests(Table, Received, Source, Now, Out);
  return Out;
}

Actions mergeForeignView(MemberTable &Table, const Endpoint &Remote,
                         const std::vector<Update> &RemoteUpdates,
                         SteadyTime Now) {
  Actions Out;
  std::set<NodeId> KnownRemotely;
  for (const Update &Item : RemoteUpdates) {
    if (!hasEnded(Item))
      KnownRemotely.insert(Item.MemberInfo.Id);
    mergeUpdate(Table, Item, Now, Out);
  }
  std::vector<Update> Missing;
  for (Update &Item : allUpdates(Table))
    if (!hasEnded(Item) && KnownRemotely.count(Item.MemberInfo.Id) == 0)
      Missing.push_back(std::move(Item));
  // Members that do not fit are exchanged later, when the digests are compared.
  auto Next = Missing.begin();
  while (Next != Missing.end() && Out.Sends.size() < MaxForeignViewDatagrams) {
    UpdateBatch Batch;
    while (Next != Missing.end() && Batch.add(*Next))
      ++Next;
    Message PushMessage = composeMessage(Table, MessageKind::Push, Sequence(),
                                         nullptr, false, Now);
    PushMessage.Updates = std::move(Batch.Items);
    Out.Sends.push_back({Remote, Region(), std::move(PushMessage)});
  }
  return Out;
}

} // namespace lycheethread::membership
