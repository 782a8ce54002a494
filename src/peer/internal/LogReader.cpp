#include "peer/internal/LogReader.h"

#include "peer/internal/Clock.h"
#include "peer/internal/Wire.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>

namespace lycheethread::peer {

namespace {

constexpr Milliseconds PollWait{3000};
constexpr Milliseconds RoleStep{100};
constexpr Milliseconds CommitStep{5};
/// Bounds the memory of records that are held and not in force.
constexpr std::size_t ReadRecords = 64;
constexpr std::int64_t JoinJitterMs = 3000;
constexpr Milliseconds CheckpointRetry{30000};
/// A read without records takes about 300 bytes, so following the joins costs
/// the reader of a region 60 bytes a second.
constexpr Milliseconds FollowInterval{5000};
constexpr std::size_t FollowRecords = 200;

const StreamName &membersStream() {
  static const StreamName Name("members");
  return Name;
}

const StreamName &controlStream() {
  static const StreamName Name("control");
  return Name;
}

} // namespace

struct LogReader::Impl {
  explicit Impl(PeerContext &C) : Context(C) {}

  PeerContext &Context;
  std::thread Worker;
  int Failures = 0;
  bool Joined = false;
  SteadyTime JoinAt;
  SteadyTime NextCheckpointAt;
  /// Next join record to read; empty before the first read as reader.
  std::optional<Offset> NextJoin;
  SteadyTime NextFollowAt;
  MemberList RankedMembers;
  std::size_t Rank = 0;

  void fail(const std::string &Text) {
    Milliseconds Delay{0};
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      distribution::onLogFailure(Context.Feed);
      Delay = distribution::backoffDelay(Failures, Context.Feed.Seed);
    }
    if (Failures++ == 0)
      BOOST_LOG_TRIVIAL(warning) << "peer: the log cannot be read: " << Text;
    Context.pause(Delay);
  }

  void succeed(Offset Head) {
    if (Failures > 0)
      BOOST_LOG_TRIVIAL(info) << "peer: the log can be read again";
    Failures = 0;
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    distribution::onLogContact(Context.Feed, Head);
    distribution::recordKnownPosition(Context.Feed, Head, NodeId());
  }

  bool isReader() {
    const MemberList Members = Context.members();
    if (Members != RankedMembers) {
      RankedMembers = Members;
      Rank = distribution::readerRank(Context.Settings.Id,
                                      Context.place().RegionName, *Members);
    }
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    return Context.PeersQueried &&
           distribution::shouldReadLog(Context.Feed, Rank, steadyNow());
  }

  bool needsHead() {
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    return !Context.Feed.Serving && !Context.Feed.Start.LogHead;
  }

  bool awaitsCommit() {
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    return Context.Feed.Held > Context.Feed.Position || Context.Restored;
  }

  void read() {
    const Offset From = Context.Records.next();
    try {
      const streamlog::LogBatch Batch =
          Context.Log->Read(controlStream(), From, ReadRecords, PollWait);
      if (Batch.Bounds.Next < From) {
        fail("its head " + std::to_string(Batch.Bounds.Next.value()) +
             " is below position " + std::to_string(From.value()) +
             ", which is held here");
        return;
      }
      const Offset Next = Context.Records.append(Batch.Records);
      succeed(Batch.Bounds.Next);
      {
        const std::lock_guard<std::mutex> Guard(Context.Lock);
        distribution::recordStoredPosition(Context.Feed, Next, steadyNow());
        Context.Feed.Start.Refusal.clear();
      }
      if (Next > From)
        Context.wake();
    } catch (const streamlog::LogTrimmed &Trimmed) {
      restore(Trimmed.kept(), From);
    } catch (const streamlog::LogUnavailable &Problem) {
      fail(Problem.what());
    }
  }

  void restore(streamlog::StreamBounds Kept, Offset From) {
    std::optional<config::ConfigState> Found;
    try {
      Found = Context.Options.Fold.FindCheckpoint(*Context.Log, Kept.First,
                                                  Kept.Next);
    } catch (const streamlog::LogUnavailable &Problem) {
      fail(Problem.what());
      return;
    }
    const bool Usable = Found && Found->Position > From;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      if (Usable)
        Context.Restored = std::move(Found);
      else
        Context.Feed.Start.Refusal =
            "a complete checkpoint: the control stream begins at " +
            std::to_string(Kept.First.value()) + ", position " +
            std::to_string(From.value()) +
            " is needed, and no complete checkpoint reaches it";
    }
    if (Usable)
      Context.wake();
    else
      fail("records from position " + std::to_string(From.value()) +
           " on are trimmed and there is no complete checkpoint");
  }

  void readHead() {
    try {
      succeed(Context.Log->Bounds(controlStream()).Next);
      Context.wake();
    } catch (const streamlog::LogUnavailable &Problem) {
      fail(Problem.what());
    }
  }

  void join() {
    if (Joined || steadyNow() < JoinAt)
      return;
    Member Self;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Self = Context.Table.Self;
    }
    try {
      Context.Log->Append(membersStream(), encodeJoin(Self, wallNow()));
      Joined = true;
    } catch (const streamlog::LogUnavailable &) {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      JoinAt =
          after(steadyNow(),
                distribution::backoffDelay(Failures + 6, Context.Feed.Seed));
    }
  }

  Offset firstJoin() const {
    const streamlog::StreamBounds Kept = Context.Log->Bounds(membersStream());
    const auto Wanted = static_cast<std::int64_t>(FollowRecords);
    return Offset(std::max(Kept.First.value(), Kept.Next.value() - Wanted));
  }

  void noteJoins(const streamlog::LogBatch &Batch) {
    for (const streamlog::LogRecord &Item : Batch.Records) {
      NextJoin = Item.At.next();
      try {
        const Member Joined = decodeJoin(Item.Data);
        const std::lock_guard<std::mutex> Guard(Context.Lock);
        membership::onJoinRecord(Context.Contacts, Context.Table, Joined,
                                 steadyNow());
      } catch (const std::exception &Problem) {
        BOOST_LOG_TRIVIAL(warning) << "peer: join record " << Item.At
                                   << " is invalid: " << Problem.what();
      }
    }
  }

  // Groups of nodes that started apart find each other here: the reader of a
  // region hears of every join.
  void followJoins() {
    if (Failures > 0 || steadyNow() < NextFollowAt)
      return;
    NextFollowAt = after(steadyNow(), FollowInterval);
    try {
      if (!NextJoin)
        NextJoin = firstJoin();
      noteJoins(Context.Log->Read(membersStream(), *NextJoin, FollowRecords,
                                  Milliseconds(0)));
    } catch (const streamlog::LogTrimmed &Trimmed) {
      NextJoin = Trimmed.kept().First;
    } catch (const streamlog::LogUnavailable &Problem) {
      BOOST_LOG_TRIVIAL(debug)
          << "peer: join records cannot be read: " << Problem.what();
    }
  }

  void writeCheckpoint() {
    const SteadyTime Now = steadyNow();
    const MemberList Members = Context.members();
    Incarnation IncarnationNumber;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      if (Now < NextCheckpointAt || Context.Checkpoint.Records == 0 ||
          !distribution::shouldWriteCheckpoint(Context.Feed, *Members,
                                               Context.Checkpoint, Now))
        return;
      IncarnationNumber = Context.Feed.IncarnationNumber;
    }
    // The notice comes back through the stream and resets the mark.
    NextCheckpointAt = after(Now, CheckpointRetry);
    try {
      const auto State = Context.Config->load();
      // A writer of its own: the sequences of the node's other records would
      // be taken for repeats after a position.
      const RecordHeader Header{
          NodeId(Context.Settings.Id.str() + "/checkpoint"), IncarnationNumber,
          Sequence(State->Position.value()), wallNow()};
      Context.Options.Fold.StoreCheckpoint(*Context.Log, *State, Header);
      BOOST_LOG_TRIVIAL(info)
          << "peer: wrote a checkpoint of position " << State->Position;
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(warning)
          << "peer: no checkpoint was written: " << Problem.what();
    }
  }

  void step() {
    if (needsHead())
      readHead();
    join();
    writeCheckpoint();
    const bool Reads = isReader();
    if (Reads != Context.Reading.exchange(Reads))
      BOOST_LOG_TRIVIAL(info)
          << "peer: " << (Reads ? "reads" : "leaves") << " the log for region "
          << Context.place().RegionName;
    if (!Reads)
      Context.pause(RoleStep);
    else if (awaitsCommit())
      Context.pause(CommitStep);
    else
      read();
    if (Reads)
      followJoins();
  }

  void run() {
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      JoinAt = after(
          steadyNow(),
          Milliseconds(static_cast<std::int64_t>(
              distribution::randomBelow(Context.Feed.Seed, JoinJitterMs))));
    }
    while (!Context.Stopping) {
      try {
        step();
      } catch (const std::exception &Problem) {
        fail(Problem.what());
      }
    }
  }
};

LogReader::LogReader(PeerContext &Context)
    : Impl_(std::make_unique<Impl>(Context)) {}

LogReader::~LogReader() { stop(); }

void LogReader::start() {
  Impl_->Worker = std::thread([this] { Impl_->run(); });
}

void LogReader::stop() {
  if (Impl_->Worker.joinable())
    Impl_->Worker.join();
}

} // namespace lycheethread::peer
