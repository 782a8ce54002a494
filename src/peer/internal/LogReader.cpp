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
constexpr Milliseconds RoleCheckInterval{100};
constexpr Milliseconds CommitPollInterval{5};
/// Bounds the memory of stored records that are not committed.
constexpr std::size_t MaxReadRecords = 64;
constexpr std::int64_t JoinJitterMs = 3000;
constexpr Milliseconds CheckpointRetryInterval{30000};
/// A read without records takes about 300 bytes, so reading the join records
/// costs the reader of a region 60 bytes per second.
constexpr Milliseconds JoinReadInterval{5000};
constexpr std::size_t MaxJoinRecords = 200;

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
  SteadyTime NextJoinWriteAt;
  SteadyTime NextCheckpointAt;
  /// Offset of the next join record to read; empty until this node first reads
  /// the stream.
  std::optional<Offset> NextJoinOffset;
  SteadyTime NextJoinReadAt;
  MemberList RankedMembers;
  std::size_t Rank = 0;

  void onReadFailure(const std::string &Text) {
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

  void onReadSuccess(Offset Head) {
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
                                      Context.location().RegionName, *Members);
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
    return Context.Feed.Stored > Context.Feed.Position || Context.Restored;
  }

  void read() {
    const Offset From = Context.Records.next();
    try {
      const streamlog::LogBatch Batch =
          Context.Log->Read(controlStream(), From, MaxReadRecords, PollWait);
      if (Batch.Bounds.Next < From) {
        onReadFailure("its head " + std::to_string(Batch.Bounds.Next.value()) +
                      " is below position " + std::to_string(From.value()) +
                      ", which is stored on this node");
        return;
      }
      const Offset Next = Context.Records.append(Batch.Records);
      onReadSuccess(Batch.Bounds.Next);
      {
        const std::lock_guard<std::mutex> Guard(Context.Lock);
        distribution::recordStoredPosition(Context.Feed, Next, steadyNow());
        Context.Feed.Start.MissingCheckpoint.clear();
      }
      if (Next > From)
        Context.wake();
    } catch (const streamlog::LogTrimmed &Trimmed) {
      restore(Trimmed.kept(), From);
    } catch (const streamlog::LogUnavailable &Problem) {
      onReadFailure(Problem.what());
    }
  }

  void restore(streamlog::StreamBounds Kept, Offset From) {
    std::optional<config::ConfigState> Found;
    try {
      Found = Context.Options.Operations.FindCheckpoint(*Context.Log,
                                                        Kept.First, Kept.Next);
    } catch (const streamlog::LogUnavailable &Problem) {
      onReadFailure(Problem.what());
      return;
    }
    const bool Usable = Found && Found->Position > From;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      if (Usable)
        Context.Restored = std::move(Found);
      else
        Context.Feed.Start.MissingCheckpoint =
            "a complete checkpoint: the control stream begins at " +
            std::to_string(Kept.First.value()) + ", position " +
            std::to_string(From.value()) +
            " is needed, and no complete checkpoint reaches it";
    }
    if (Usable)
      Context.wake();
    else
      onReadFailure("records from position " + std::to_string(From.value()) +
                    " on are trimmed and there is no complete checkpoint");
  }

  void readHead() {
    try {
      onReadSuccess(Context.Log->Bounds(controlStream()).Next);
      Context.wake();
    } catch (const streamlog::LogUnavailable &Problem) {
      onReadFailure(Problem.what());
    }
  }

  void writeJoinRecord() {
    if (Joined || steadyNow() < NextJoinWriteAt)
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
      NextJoinWriteAt =
          after(steadyNow(),
                distribution::backoffDelay(Failures + 6, Context.Feed.Seed));
    }
  }

  Offset firstJoinOffset() const {
    const streamlog::StreamBounds Kept = Context.Log->Bounds(membersStream());
    const auto Wanted = static_cast<std::int64_t>(MaxJoinRecords);
    return Offset(std::max(Kept.First.value(), Kept.Next.value() - Wanted));
  }

  void addJoinContacts(const streamlog::LogBatch &Batch) {
    for (const streamlog::LogRecord &Item : Batch.Records) {
      NextJoinOffset = Item.At.next();
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

  // Groups of nodes that started separately find each other through the join
  // records, which the reader of each region reads.
  void readJoinRecords() {
    if (Failures > 0 || steadyNow() < NextJoinReadAt)
      return;
    NextJoinReadAt = after(steadyNow(), JoinReadInterval);
    try {
      if (!NextJoinOffset)
        NextJoinOffset = firstJoinOffset();
      addJoinContacts(Context.Log->Read(membersStream(), *NextJoinOffset,
                                        MaxJoinRecords, Milliseconds(0)));
    } catch (const streamlog::LogTrimmed &Trimmed) {
      NextJoinOffset = Trimmed.kept().First;
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
    // The notice is read back from the stream and resets the progress.
    NextCheckpointAt = after(Now, CheckpointRetryInterval);
    try {
      const auto State = Context.Config->load();
      // Checkpoint notices have their own writer id. Their sequence is the
      // position; under the id of the node, its other records with lower
      // sequences would be dropped as repeats.
      const RecordHeader Header{
          NodeId(Context.Settings.Id.str() + "/checkpoint"), IncarnationNumber,
          Sequence(State->Position.value()), wallNow()};
      Context.Options.Operations.StoreCheckpoint(*Context.Log, *State, Header);
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
    writeJoinRecord();
    writeCheckpoint();
    const bool Reads = isReader();
    if (Reads != Context.Reading.exchange(Reads))
      BOOST_LOG_TRIVIAL(info)
          << "peer: " << (Reads ? "reads" : "leaves") << " the log for region "
          << Context.location().RegionName;
    if (!Reads)
      Context.pause(RoleCheckInterval);
    else if (awaitsCommit())
      Context.pause(CommitPollInterval);
    else
      read();
    if (Reads)
      readJoinRecords();
  }

  void run() {
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      NextJoinWriteAt = after(
          steadyNow(),
          Milliseconds(static_cast<std::int64_t>(
              distribution::randomBelow(Context.Feed.Seed, JoinJitterMs))));
    }
    while (!Context.Stopping) {
      try {
        step();
      } catch (const std::exception &Problem) {
        onReadFailure(Problem.what());
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
