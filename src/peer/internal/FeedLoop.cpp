#include "peer/internal/FeedLoop.h"

#include "peer/internal/Clock.h"
#include "peer/internal/PeerRequestHandlers.h"
#include "peer/internal/SeedFinder.h"
#include "peer/internal/Wire.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <thread>

namespace lycheethread::peer {

namespace {

using distribution::backoffDelay;

constexpr Milliseconds IdleWait{100};
constexpr Milliseconds WaitingLogInterval{10000};
/// Startup normally finishes within this time, so earlier waits are not logged.
constexpr Milliseconds StartupLogDelay{500};
constexpr std::size_t PullRecords = 500;

} // namespace

struct FeedLoop::Impl {
  Impl(PeerContext &C, GossipLoop &G, MemberSync &E)
      : Context(C), Gossip(G), Exchange(E), Seeds(C) {}

  PeerContext &Context;
  GossipLoop &Gossip;
  MemberSync &Exchange;
  SeedFinder Seeds;
  std::thread Worker;
  config::ConfigState State;
  std::shared_ptr<const config::ConfigState> ViewedConfig;
  MemberList ViewedMembers;
  SteadyTime NextQueryAt;
  int QueryAttempts = 0;
  SteadyTime NextCommitAt;
  int CommitAttempts = 0;
  std::string LoggedWait;
  SteadyTime LoggedWaitAt;
  SteadyTime StartedAt = steadyNow();

  std::uint64_t &seed() { return Context.Feed.Seed; }

  void publishConfig() {
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      if (!distribution::advancePosition(Context.Feed, State.Position))
        return;
      Context.Table.Self.ConfigPosition = State.Position;
    }
    Context.Config->store(std::make_shared<const config::ConfigState>(State));
    Context.Records.retainFrom(State.Position);
  }

  // States with a lower or equal position are ignored, so the committed
  // configuration never goes back.
  bool installState(config::ConfigState Next, const std::string &Source) {
    if (Next.Position <= State.Position)
      return false;
    State = std::move(Next);
    Context.Records.restart(State.Position);
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Context.Feed.Stored = State.Position;
      Context.Feed.Start.MissingCheckpoint.clear();
      Context.Checkpoint = {State.Position, 0, steadyNow()};
    }
    publishConfig();
    BOOST_LOG_TRIVIAL(info)
        << "peer: restored position " << State.Position << " from " << Source;
    return true;
  }

  void installRestoredState() {
    std::optional<config::ConfigState> Next;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Next.swap(Context.Restored);
    }
    if (Next)
      installState(std::move(*Next), "a checkpoint in the log");
  }

  /// Returns the delay that a busy peer asks for, otherwise 0.
  Milliseconds fetchSnapshot(const Member &Target, bool WithState,
                             bool WithMembers) {
    const wire::SnapshotReply Reply = Context.Clients->snapshot(
        Target.Control, Target.At.RegionName, WithState, WithMembers);
    if (Reply.busy)
      return Milliseconds(std::clamp<std::int64_t>(
          Reply.retryAfterMs, distribution::MinBackoff.count(),
          distribution::MaxBackoff.count()));
    Exchange.merge(Reply);
    if (WithState && Reply.serving && !Reply.parts.empty() &&
        Offset(Reply.position) > State.Position)
      installState(Context.Options.Operations.RestoreCheckpoint(Reply.parts),
                   "a snapshot of a peer");
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    distribution::onStartupAnswer(Context.Feed, Target.Id, Reply.serving,
                                  Offset(std::max(Reply.named, Reply.position)),
                                  steadyNow());
    return Milliseconds(0);
  }

  std::vector<Member> snapshotSources() {
    const MemberList Members = Context.members();
    std::vector<Member> Sources;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Sources = distribution::chooseSnapshotSources(Context.Feed, *Members);
    }
    return Sources;
  }

  // Queries peers until \p Wanted of them have replied. The state is requested
  // only while this node has none; after that, replies only report positions.
  void queryUntilAnswered(const std::vector<Member> &Targets,
                          std::size_t Wanted, bool WithMembers) {
    std::size_t Answers = 0;
    for (const Member &Target : Targets) {
      if (Context.Stopping || Answers >= Wanted)
        return;
      try {
        const Milliseconds Busy =
            fetchSnapshot(Target, State.Position == Offset(0), WithMembers);
        if (Busy.count() > 0)
          NextQueryAt = after(steadyNow(), Busy);
        else
          ++Answers;
      } catch (const std::exception &Problem) {
        BOOST_LOG_TRIVIAL(debug)
            << "peer: snapshot request failed: " << Problem.what();
        const std::lock_guard<std::mutex> Guard(Context.Lock);
        distribution::onStartupFailure(Context.Feed);
      }
    }
  }

  // If no sources are known, the reply of a seed provides the member list, from
  // which the sources are chosen.
  void queryPeers() {
    if (steadyNow() < NextQueryAt)
      return;
    NextQueryAt = SteadyTime();
    std::vector<Member> Sources = snapshotSources();
    if (Sources.empty()) {
      queryUntilAnswered(Seeds.find(QueryAttempts), 1, true);
      Sources = snapshotSources();
    }
    queryUntilAnswered(Sources, distribution::SnapshotSources, false);
    if (NextQueryAt == SteadyTime()) {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      NextQueryAt = after(steadyNow(), backoffDelay(QueryAttempts, seed()));
    }
    ++QueryAttempts;
    Context.PeersQueried = true;
  }

  void updateReadiness() {
    distribution::Readiness Result;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Result = distribution::readiness(Context.Feed, steadyNow());
      Context.Feed.Serving = Result.MayServe;
    }
    if (!Result.MayServe) {
      logWaiting(Result.WaitingFor);
      return;
    }
    BOOST_LOG_TRIVIAL(info) << "peer: serves from position " << State.Position;
    refreshView();
    Gossip.announceAgain();
  }

  void logWaiting(const std::string &Text) {
    const SteadyTime Now = steadyNow();
    if (elapsed(StartedAt, Now) < StartupLogDelay)
      return;
    if (Text == LoggedWait && elapsed(LoggedWaitAt, Now) < WaitingLogInterval)
      return;
    LoggedWait = Text;
    LoggedWaitAt = Now;
    BOOST_LOG_TRIVIAL(warning)
        << "peer: does not serve yet, waits for " << Text;
  }

  /// Returns whether records were received.
  bool pull() {
    const MemberList Members = Context.members();
    std::optional<Member> Source;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Source =
          distribution::choosePullSource(Context.Feed, *Members, steadyNow());
    }
    if (!Source)
      return false;
    bool Received = false;
    try {
      Received = pullFrom(*Source);
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(debug) << "peer: pull failed: " << Problem.what();
    }
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    distribution::onPullResult(Context.Feed, Received, steadyNow());
    return Received;
  }

  bool pullFrom(const Member &Source) {
    const Offset From = Context.Records.next();
    const wire::FetchReply Reply = Context.Clients->fetch(
        Source.Control, Source.At.RegionName, From, PullRecords);
    if (Reply.tooOld) {
      const Offset Before = State.Position;
      fetchSnapshot(Source, true, false);
      return State.Position > Before;
    }
    const Offset Next = Context.Records.append(fromWire(Reply.records));
    const SteadyTime Now = steadyNow();
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    distribution::recordStoredPosition(Context.Feed, Next, Now);
    distribution::recordCommittedPosition(Context.Feed, Offset(Reply.position),
                                          Source.Id, Now);
    return Next > From;
  }

  /// Replicates \p Records, which end at \p Target, until they may be
  /// committed. Returns false if no further member can store them.
  bool replicate(const std::vector<wire::RawRecord> &Records, Offset Target) {
    std::set<NodeId> Replicas;
    std::set<NodeId> Failed;
    while (!Context.Stopping) {
      const MemberList Members = Context.members();
      std::vector<Member> Chosen;
      {
        const std::lock_guard<std::mutex> Guard(Context.Lock);
        if (distribution::mayCommit(Context.Feed, *Members, Replicas))
          return true;
        Chosen = distribution::chooseReplicas(Context.Feed, *Members, Replicas,
                                              Failed);
      }
      if (Chosen.empty())
        return false;
      for (const Member &Each : Chosen) {
        const bool Acknowledged = replicateTo(Each, Records, Target);
        (Acknowledged ? Replicas : Failed).insert(Each.Id);
      }
    }
    return false;
  }

  bool replicateTo(const Member &Target,
                   const std::vector<wire::RawRecord> &Records, Offset End) {
    try {
      return Context.Clients->acknowledge(Target.Control, Target.At.RegionName,
                                          Records) >= End;
    } catch (const PeerUnavailable &Problem) {
      BOOST_LOG_TRIVIAL(debug)
          << "peer: replication failed: " << Problem.what();
      return false;
    }
  }

  bool commit() {
    Offset CommittedElsewhere;
    Offset Stored;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      // A restart of the buffer may have dropped records that another thread
      // stored.
      Context.Feed.Stored =
          std::max(Context.Feed.Position,
                   std::min(Context.Feed.Stored, Context.Records.next()));
      if (!distribution::shouldCommit(Context.Feed, Context.Reading,
                                      steadyNow()))
        return false;
      CommittedElsewhere = Context.Feed.CommittedElsewhere;
      Stored = Context.Feed.Stored;
    }
    const Offset KnownCommitted = std::min(Stored, CommittedElsewhere);
    const Offset Wanted =
        KnownCommitted > State.Position ? KnownCommitted : Stored;
    const RecordBuffer::Part Part =
        Context.Records.read(State.Position, Wanted, PullRecords);
    if (Part.TooOld || Part.Records.empty())
      return false;
    const Offset Target = Part.Records.back().At.next();
    if (Target > CommittedElsewhere && !replicateWithBackoff(Part, Target))
      return false;
    applyRecords(Part.Records);
    return true;
  }

  bool replicateWithBackoff(const RecordBuffer::Part &Part, Offset Target) {
    if (steadyNow() < NextCommitAt)
      return false;
    if (replicate(toWire(Part.Records), Target)) {
      CommitAttempts = 0;
      return true;
    }
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    NextCommitAt = after(steadyNow(), backoffDelay(CommitAttempts++, seed()));
    return false;
  }

  void applyRecords(const std::vector<streamlog::LogRecord> &Records) {
    std::int64_t SinceCheckpoint = 0;
    std::optional<CheckpointNotice> Newest;
    for (const streamlog::LogRecord &Item : Records) {
      const auto Notice =
          Context.Options.Operations.ApplyRecord(State, Item.At, Item.Data);
      if (Notice)
        Newest = Notice;
      SinceCheckpoint = Notice ? 0 : SinceCheckpoint + 1;
    }
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      if (Newest)
        Context.Checkpoint = {Newest->Position, 0, steadyNow()};
      if (Context.Checkpoint.Records == 0)
        Context.Checkpoint.At = steadyNow();
      Context.Checkpoint.Records += SinceCheckpoint;
    }
    publishConfig();
    Gossip.sendHeartbeat();
  }

  void refreshView() {
    const auto Config = Context.Config->load();
    const MemberList Members = Context.members();
    if (Config == ViewedConfig && Members == ViewedMembers)
      return;
    ViewedConfig = Config;
    ViewedMembers = Members;
    Context.View->store(std::make_shared<const requests::RoutingView>(
        Context.Options.Operations.BuildView(*Config, *Members,
                                             Context.location())));
  }

  bool serving() {
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    return Context.Feed.Serving;
  }

  void step() {
    installRestoredState();
    const bool Serving = serving();
    if (!Serving)
      queryPeers();
    bool More = pull();
    while (!Context.Stopping && commit())
      More = true;
    if (!Serving)
      updateReadiness();
    Gossip.forwardPendingHeartbeat();
    if (serving())
      refreshView();
    if (!More)
      Context.waitForWake(IdleWait);
  }

  void run() {
    while (!Context.Stopping) {
      try {
        step();
      } catch (const std::exception &Problem) {
        BOOST_LOG_TRIVIAL(error)
            << "peer: feed step failed: " << Problem.what();
        Context.pause(IdleWait);
      }
    }
  }
};

FeedLoop::FeedLoop(PeerContext &Context, GossipLoop &Gossip,
                   MemberSync &Exchange)
    : Impl_(std::make_unique<Impl>(Context, Gossip, Exchange)) {}

FeedLoop::~FeedLoop() { stop(); }

void FeedLoop::start() {
  Impl_->Worker = std::thread([this] { Impl_->run(); });
}

void FeedLoop::stop() {
  if (Impl_->Worker.joinable())
    Impl_->Worker.join();
}

} // namespace lycheethread::peer
