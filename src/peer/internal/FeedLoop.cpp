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

constexpr Milliseconds IdleStep{100};
constexpr Milliseconds WaitingLogInterval{10000};
/// Most starts are over before there is anything to report.
constexpr Milliseconds QuietStart{500};
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
  SteadyTime NextAskAt;
  int AskAttempts = 0;
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

  // A lower or equal position is never adopted, so the configuration in force
  // cannot go back.
  bool adopt(config::ConfigState Next, const std::string &Source) {
    if (Next.Position <= State.Position)
      return false;
    State = std::move(Next);
    Context.Records.restart(State.Position);
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Context.Feed.Held = State.Position;
      Context.Feed.Start.Refusal.clear();
      Context.Checkpoint = {State.Position, 0, steadyNow()};
    }
    publishConfig();
    BOOST_LOG_TRIVIAL(info)
        << "peer: restored position " << State.Position << " from " << Source;
    return true;
  }

  void takeRestored() {
    std::optional<config::ConfigState> Next;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Next.swap(Context.Restored);
    }
    if (Next)
      adopt(std::move(*Next), "a checkpoint in the log");
  }

  /// Returns the time to wait when the peer is busy.
  Milliseconds askForSnapshot(const Member &Target, bool WithState,
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
      adopt(Context.Options.Fold.RestoreCheckpoint(Reply.parts),
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

  // The first answer brings the members, out of which the other sources are
  // chosen; they only name their positions.
  void askEach(const std::vector<Member> &Targets, std::size_t Wanted,
               bool WithMembers) {
    std::size_t Answers = 0;
    for (const Member &Target : Targets) {
      if (Context.Stopping || Answers >= Wanted)
        return;
      try {
        const Milliseconds Busy =
            askForSnapshot(Target, State.Position == Offset(0), WithMembers);
        if (Busy.count() > 0)
          NextAskAt = after(steadyNow(), Busy);
        else
          ++Answers;
      } catch (const std::exception &Problem) {
        BOOST_LOG_TRIVIAL(debug) << "peer: no snapshot: " << Problem.what();
        const std::lock_guard<std::mutex> Guard(Context.Lock);
        distribution::onStartupFailure(Context.Feed);
      }
    }
  }

  void askPeers() {
    if (steadyNow() < NextAskAt)
      return;
    NextAskAt = SteadyTime();
    std::vector<Member> Sources = snapshotSources();
    if (Sources.empty()) {
      askEach(Seeds.find(AskAttempts), 1, true);
      Sources = snapshotSources();
    }
    askEach(Sources, distribution::SnapshotSources, false);
    if (NextAskAt == SteadyTime()) {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      NextAskAt = after(steadyNow(), backoffDelay(AskAttempts, seed()));
    }
    ++AskAttempts;
    Context.PeersQueried = true;
  }

  void becomeReady() {
    distribution::Readiness Verdict;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Verdict = distribution::readiness(Context.Feed, steadyNow());
      Context.Feed.Serving = Verdict.MayServe;
    }
    if (!Verdict.MayServe) {
      logWaiting(Verdict.WaitingFor);
      return;
    }
    BOOST_LOG_TRIVIAL(info) << "peer: serves from position " << State.Position;
    refreshView();
    Gossip.announceAgain();
  }

  void logWaiting(const std::string &Text) {
    const SteadyTime Now = steadyNow();
    if (elapsed(StartedAt, Now) < QuietStart)
      return;
    if (Text == LoggedWait && elapsed(LoggedWaitAt, Now) < WaitingLogInterval)
      return;
    LoggedWait = Text;
    LoggedWaitAt = Now;
    BOOST_LOG_TRIVIAL(warning)
        << "peer: does not serve yet, waits for " << Text;
  }

  /// Returns whether records came in.
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
    bool Came = false;
    try {
      Came = pullFrom(*Source);
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(debug) << "peer: pull failed: " << Problem.what();
    }
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    distribution::onPullResult(Context.Feed, Came, steadyNow());
    return Came;
  }

  bool pullFrom(const Member &Source) {
    const Offset From = Context.Records.next();
    const wire::FetchReply Reply = Context.Clients->fetch(
        Source.Control, Source.At.RegionName, From, PullRecords);
    if (Reply.tooOld) {
      const Offset Before = State.Position;
      askForSnapshot(Source, true, false);
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

  /// Finds holders for the records up to \p Target.
  bool findHolders(const std::vector<wire::RawRecord> &Records, Offset Target) {
    std::set<NodeId> Holders;
    std::set<NodeId> Failed;
    while (!Context.Stopping) {
      const MemberList Members = Context.members();
      std::vector<Member> Chosen;
      {
        const std::lock_guard<std::mutex> Guard(Context.Lock);
        if (distribution::mayCommit(Context.Feed, *Members, Holders))
          return true;
        Chosen = distribution::chooseReplicas(Context.Feed, *Members, Holders,
                                              Failed);
      }
      if (Chosen.empty())
        return false;
      for (const Member &Each : Chosen) {
        const bool Acknowledged = askToHold(Each, Records, Target);
        (Acknowledged ? Holders : Failed).insert(Each.Id);
      }
    }
    return false;
  }

  bool askToHold(const Member &Target,
                 const std::vector<wire::RawRecord> &Records, Offset End) {
    try {
      return Context.Clients->acknowledge(Target.Control, Target.At.RegionName,
                                          Records) >= End;
    } catch (const PeerUnavailable &Problem) {
      BOOST_LOG_TRIVIAL(debug) << "peer: no holder: " << Problem.what();
      return false;
    }
  }

  bool commit() {
    Offset CommittedElsewhere;
    Offset Held;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      // A restart of the buffer may have dropped what another thread held.
      Context.Feed.Held =
          std::max(Context.Feed.Position,
                   std::min(Context.Feed.Held, Context.Records.next()));
      if (!distribution::shouldCommit(Context.Feed, Context.Reading,
                                      steadyNow()))
        return false;
      CommittedElsewhere = Context.Feed.CommittedElsewhere;
      Held = Context.Feed.Held;
    }
    const Offset Certain = std::min(Held, CommittedElsewhere);
    const Offset Wanted = Certain > State.Position ? Certain : Held;
    const RecordBuffer::Part Part =
        Context.Records.read(State.Position, Wanted, PullRecords);
    if (Part.TooOld || Part.Records.empty())
      return false;
    const Offset Target = Part.Records.back().At.next();
    if (Target > CommittedElsewhere && !holdersFound(Part, Target))
      return false;
    fold(Part.Records);
    return true;
  }

  bool holdersFound(const RecordBuffer::Part &Part, Offset Target) {
    if (steadyNow() < NextCommitAt)
      return false;
    if (findHolders(toWire(Part.Records), Target)) {
      CommitAttempts = 0;
      return true;
    }
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    NextCommitAt = after(steadyNow(), backoffDelay(CommitAttempts++, seed()));
    return false;
  }

  void fold(const std::vector<streamlog::LogRecord> &Records) {
    std::int64_t Counted = 0;
    std::optional<CheckpointNotice> Newest;
    for (const streamlog::LogRecord &Item : Records) {
      const auto Notice = Context.Options.Fold.Fold(State, Item.At, Item.Data);
      if (Notice)
        Newest = Notice;
      Counted = Notice ? 0 : Counted + 1;
    }
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      if (Newest)
        Context.Checkpoint = {Newest->Position, 0, steadyNow()};
      if (Context.Checkpoint.Records == 0)
        Context.Checkpoint.At = steadyNow();
      Context.Checkpoint.Records += Counted;
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
        Context.Options.Fold.BuildView(*Config, *Members, Context.place())));
  }

  bool serving() {
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    return Context.Feed.Serving;
  }

  void step() {
    takeRestored();
    const bool Serving = serving();
    if (!Serving)
      askPeers();
    bool More = pull();
    while (!Context.Stopping && commit())
      More = true;
    if (!Serving)
      becomeReady();
    Gossip.forwardPendingHeartbeat();
    if (serving())
      refreshView();
    if (!More)
      Context.waitForWake(IdleStep);
  }

  void run() {
    while (!Context.Stopping) {
      try {
        step();
      } catch (const std::exception &Problem) {
        BOOST_LOG_TRIVIAL(error)
            << "peer: feed step failed: " << Problem.what();
        Context.pause(IdleStep);
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
