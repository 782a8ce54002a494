#include "peer/internal/MemberSync.h"

#include "peer/internal/Clock.h"
#include "peer/internal/Wire.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <optional>
#include <thread>

namespace lycheethread::peer {

namespace {

constexpr Milliseconds PollInterval{100};

std::vector<membership::Update> updatesOf(const wire::SnapshotReply &Reply) {
  std::vector<membership::Update> Updates;
  Updates.reserve(Reply.members.size());
  for (const wire::WireMember &Item : Reply.members)
    Updates.push_back(fromWire(Item));
  return Updates;
}

Offset highestKnownPosition(const wire::SnapshotReply &Reply,
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
             const std::optional<Endpoint> &Contacted) {
    const std::vector<membership::Update> Updates = updatesOf(Reply);
    membership::Actions Result;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      const SteadyTime Now = steadyNow();
      Result = Contacted
                   ? membership::mergeForeignView(Context.Table, *Contacted,
                                                  Updates, Now)
                   : membership::mergeMembers(Context.Table, Updates, Now);
      distribution::recordKnownPosition(
          Context.Feed, highestKnownPosition(Reply, Updates), NodeId());
      if (Contacted)
        membership::onContactReply(Context.Contacts, *Contacted, Now);
    }
    Gossip.perform(Result);
    Gossip.publishMembers();
  }

  void sync() {
    std::optional<Endpoint> Remote;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Remote.swap(Context.SyncWith);
    }
    if (!Remote)
      return;
    try {
      const wire::SnapshotReply Reply =
          Context.Clients->snapshot(*Remote, Region(), false, true);
      if (!Reply.busy)
        merge(Reply, std::nullopt);
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(debug)
          << "peer: member synchronization failed: " << Problem.what();
    }
  }

  void contact() {
    std::optional<Endpoint> Remote;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Remote =
          membership::nextContact(Context.Contacts, Context.Table, steadyNow());
    }
    if (!Remote)
      return;
    const std::string Name =
        Remote->Address + ':' + std::to_string(Remote->Port);
    try {
      const wire::SnapshotReply Reply =
          Context.Clients->snapshot(*Remote, Region(), false, true);
      if (Reply.busy)
        return;
      merge(Reply, Remote);
      BOOST_LOG_TRIVIAL(info) << "peer: merged the members of node " << Name
                              << ", which was not a member";
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(debug) << "peer: node " << Name
                               << " could not be contacted: " << Problem.what();
    }
  }

  void run() {
    while (!Context.Stopping) {
      sync();
      contact();
      Context.pause(PollInterval);
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
