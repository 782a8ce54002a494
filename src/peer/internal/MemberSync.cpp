#include "peer/internal/MemberSync.h"

#include "peer/internal/Clock.h"
#include "peer/internal/Wire.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <optional>
#include <thread>

namespace lycheethread::peer {

namespace {

constexpr Milliseconds Step{100};

std::vector<membership::Update> updatesOf(const wire::SnapshotReply &Reply) {
  std::vector<membership::Update> Updates;
  Updates.reserve(Reply.members.size());
  for (const wire::WireMember &Item : Reply.members)
    Updates.push_back(fromWire(Item));
  return Updates;
}

Offset highestNamed(const wire::SnapshotReply &Reply,
                    const std::vector<membership::Update> &Updates) {
  Offset Highest(std::max<std::int64_t>(Reply.named, Reply.position));
  for (const membership::Update &Item : Updates)
    Highest = std::max(Highest, Item.MemberInfo.ConfigPosition);
  return Highest;
}

} // namespace

struct MemberSync::Impl {
  Impl(PeerContext &C, GossipLoop &G) : Context(C), Gossip(G) {}

  PeerContext &Context;
  GossipLoop &Gossip;
  std::thread Worker;

  void merge(const wire::SnapshotReply &Reply,
             const std::optional<Endpoint> &Met) {
    const std::vector<membership::Update> Updates = updatesOf(Reply);
    membership::Actions Asked;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      const SteadyTime Now = steadyNow();
      Asked = Met ? membership::meet(Context.Table, *Met, Updates, Now)
                  : membership::mergeMembers(Context.Table, Updates, Now);
      distribution::recordKnownPosition(Context.Feed,
                                        highestNamed(Reply, Updates), NodeId());
      if (Met)
        membership::onContactReply(Context.Contacts, *Met, Now);
    }
    Gossip.perform(Asked);
    Gossip.publishMembers();
  }

  void sync() {
    std::optional<Endpoint> With;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      With.swap(Context.SyncWith);
    }
    if (!With)
      return;
    try {
      const wire::SnapshotReply Reply =
          Context.Clients->snapshot(*With, Region(), false, true);
      if (!Reply.busy)
        merge(Reply, std::nullopt);
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(debug)
          << "peer: members were not compared: " << Problem.what();
    }
  }

  void contact() {
    std::optional<Endpoint> With;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      With =
          membership::nextContact(Context.Contacts, Context.Table, steadyNow());
    }
    if (!With)
      return;
    const std::string Name = With->Address + ':' + std::to_string(With->Port);
    try {
      const wire::SnapshotReply Reply =
          Context.Clients->snapshot(*With, Region(), false, true);
      if (Reply.busy)
        return;
      merge(Reply, With);
      BOOST_LOG_TRIVIAL(info)
          << "peer: met node " << Name << ", which was no member here";
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(debug)
          << "peer: " << Name << " was not met: " << Problem.what();
    }
  }

  void run() {
    while (!Context.Stopping) {
      sync();
      contact();
      Context.pause(Step);
    }
  }
};

MemberSync::MemberSync(PeerContext &Context, GossipLoop &Gossip)
    : Impl_(std::make_unique<Impl>(Context, Gossip)) {}

MemberSync::~MemberSync() { stop(); }

void MemberSync::start() {
  Impl_->Worker = std::thread([this] { Impl_->run(); });
}

void MemberSync::stop() {
  if (Impl_->Worker.joinable())
    Impl_->Worker.join();
}

void MemberSync::merge(const wire::SnapshotReply &Reply) {
  Impl_->merge(Reply, std::nullopt);
}

} // namespace lycheethread::peer
