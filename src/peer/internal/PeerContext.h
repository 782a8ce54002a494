#ifndef LYCHEETHREAD_PEER_INTERNAL_PEERCONTEXT_H
#define LYCHEETHREAD_PEER_INTERNAL_PEERCONTEXT_H

#include "distribution/Distribution.h"
#include "kernel/Kernel.h"
#include "membership/Membership.h"
#include "metrics/types/TrafficSample.h"
#include "peer/internal/PeerClients.h"
#include "peer/internal/PeerOptions.h"
#include "peer/internal/RecordBuffer.h"
#include "settings/types/NodeSettings.h"
#include "streamlog/types/LogClient.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace lycheethread::peer {

using MemberList = std::shared_ptr<const std::vector<Member>>;

/// State that the loops of one node share.
struct PeerContext {
  settings::NodeSettings Settings;
  PeerOptions Options;
  std::shared_ptr<streamlog::LogClient> Log;
  metrics::TrafficRecorder Traffic;
  std::shared_ptr<kernel::SnapshotStore<config::ConfigState>> Config;
  std::shared_ptr<kernel::SnapshotStore<std::vector<Member>>> Members;
  std::shared_ptr<kernel::SnapshotStore<requests::RoutingView>> View;
  std::unique_ptr<PeerClients> Clients;
  RecordBuffer Records;

  /// Guards the following fields. Never held during I/O.
  std::mutex Lock;
  membership::MemberTable Table;
  membership::ContactList Contacts;
  /// State that other modules of the node requested to announce.
  std::optional<MemberState> RequestedState;
  distribution::DistributionState Feed;
  distribution::SnapshotSlots Snapshots;
  distribution::CheckpointProgress Checkpoint;
  /// Member whose member list should be merged.
  std::optional<Endpoint> SyncWith;
  /// State restored from the log that the feed loop has yet to install.
  std::optional<config::ConfigState> Restored;

  std::atomic<bool> Stopping{false};
  /// Whether this node currently reads the log.
  std::atomic<bool> Reading{false};
  /// Whether the peers were queried at least once. The log is read only after
  /// that, so that a starting node prefers a snapshot of a peer.
  std::atomic<bool> PeersQueried{false};

  std::mutex WakeLock;
  std::condition_variable Wake;
  bool Woken = false;

  /// Makes the feed loop run at once.
  void wake() {
    {
      const std::lock_guard<std::mutex> Guard(WakeLock);
      Woken = true;
    }
    Wake.notify_all();
  }

  void waitForWake(Milliseconds Longest) {
    std::unique_lock<std::mutex> Guard(WakeLock);
    Wake.wait_for(Guard, Longest, [this] { return Woken || Stopping; });
    Woken = false;
  }

  /// Sleeps for \p Length, or until the node stops.
  void pause(Milliseconds Length) {
    std::unique_lock<std::mutex> Guard(PauseLock);
    Stopped.wait_for(Guard, Length, [this] { return Stopping.load(); });
  }

  void stop() {
    {
      const std::lock_guard<std::mutex> First(WakeLock);
      const std::lock_guard<std::mutex> Second(PauseLock);
      Stopping = true;
    }
    Wake.notify_all();
    Stopped.notify_all();
  }

  Location location() const { return Settings.At; }
  MemberList members() const { return Members->load(); }

private:
  std::mutex PauseLock;
  std::condition_variable Stopped;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_PEERCONTEXT_H
