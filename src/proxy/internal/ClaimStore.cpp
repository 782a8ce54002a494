#include "proxy/internal/ClaimStore.h"
#include "proxy/internal/Clock.h"
#include "proxy/internal/WireFormat.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <thread>

namespace lycheethread::proxy {

namespace {

constexpr std::size_t ReadBatch = 500;
constexpr std::size_t MaxQueued = 1000;
constexpr std::size_t MaxAbandoned = 1000;
constexpr Milliseconds RetryDelay{200};
constexpr Milliseconds ShutdownWriteTimeout{2000};
/// After a failure only one claim per interval is sent to the log; otherwise
/// claims that wait for a slow log would occupy all slots.
constexpr Milliseconds FailureBackoff{500};
/// A repeated request waits this long for the outcome of the one in progress,
/// since the outcome is logged a few milliseconds after the response is sent.
constexpr Milliseconds OutcomeWait{500};
constexpr Milliseconds OutcomePollInterval{20};

} // namespace

struct ClaimStore::Impl {
  std::shared_ptr<streamlog::LogClient> Log;
  StreamName Stream;
  std::string TokenPrefix;
  std::atomic<std::int64_t> LastToken{0};

  std::atomic<bool> IsLogFailing{false};
  std::atomic<std::int64_t> NextAttemptAt{0};

  /// Held while reading, so that one read serves all waiting claims.
  std::timed_mutex TableLock;
  requests::ClaimTable Table;
  Offset Position;
  /// Tokens of claims that were refused because the log did not confirm them;
  /// their records may still appear in the stream.
  std::mutex AbandonedLock;
  std::set<std::string> Abandoned;

  std::mutex QueueLock;
  std::condition_variable QueueChanged;
  std::deque<requests::ClaimEntry> Queue;
  std::atomic<std::int64_t> Unwritten{0};
  bool Stopping = false;
  SteadyTime StopAt;
  std::thread Writer;

  void enqueue(requests::ClaimEntry Entry) {
    const std::lock_guard<std::mutex> Guard(QueueLock);
    if (Queue.size() >= MaxQueued) {
      BOOST_LOG_TRIVIAL(warning) << "proxy: dropped the outcome of key "
                                 << Entry.Key << ": the write queue is full";
      return;
    }
    Queue.push_back(std::move(Entry));
    ++Unwritten;
    QueueChanged.notify_one();
  }

  bool removeAbandoned(const std::string &Token) {
    const std::lock_guard<std::mutex> Guard(AbandonedLock);
    return Abandoned.erase(Token) != 0;
  }

  void releaseIfAbandoned(const requests::ClaimEntry &Entry) {
    if (Entry.Kind != requests::ClaimKind::Claim ||
        !removeAbandoned(Entry.Token))
      return;
    requests::ClaimEntry Release = Entry;
    Release.Kind = requests::ClaimKind::Release;
    enqueue(std::move(Release));
  }

  void apply(const streamlog::LogBatch &Batch) {
    for (const streamlog::LogRecord &Item : Batch.Records) {
      if (Item.At < Position)
        continue;
      Position = Item.At.next();
      const auto Entry = decodeClaim(Item.Data);
      if (!Entry) {
        BOOST_LOG_TRIVIAL(warning)
            << "proxy: ignored record " << Item.At << " of " << Stream
            << ": it cannot be decoded";
        continue;
      }
      requests::foldClaim(Table, Item.At, *Entry);
      releaseIfAbandoned(*Entry);
    }
  }

  /// Reads and applies records up to and including \p Target.
  void readThrough(Offset Target) {
    while (Position <= Target) {
      try {
        const streamlog::LogBatch Batch =
            Log->Read(Stream, Position, ReadBatch, Milliseconds(0));
        if (Batch.Records.empty())
          throw streamlog::LogUnavailable("the claim cannot be read back");
        apply(Batch);
      } catch (const streamlog::LogTrimmed &Error) {
        if (Error.kept().First <= Position)
          throw streamlog::LogUnavailable(
              "the log reports inconsistent offsets");
        Position = Error.kept().First;
      }
    }
  }

  /// Returns whether a claim may be sent to the log now.
  bool mayUseLog() {
    if (!IsLogFailing.load())
      return true;
    const std::int64_t Now = steadyNow().value();
    std::int64_t Due = NextAttemptAt.load();
    return Now >= Due && NextAttemptAt.compare_exchange_strong(
                             Due, Now + FailureBackoff.count());
  }

  void recordLogFailure() {
    NextAttemptAt = after(steadyNow(), FailureBackoff).value();
    IsLogFailing = true;
  }

  requests::ClaimDecision appendAndResolve(const requests::ClaimEntry &Claim,
                                           SteadyTime Deadline) {
    const Offset At = Log->Append(Stream, encodeClaim(Claim));
    std::unique_lock<std::timed_mutex> Guard(TableLock, std::defer_lock);
    // Uses the system clock, since the thread sanitizer of GCC 12 does not
    // support lock timeouts of the steady clock.
    if (!Guard.try_lock_until(std::chrono::system_clock::now() +
                              timeLeft(Deadline)))
      throw streamlog::LogUnavailable(
          "timed out waiting to read the claims stream");
    readThrough(At);
    if (Table.ClaimByKey.count(Claim.Key) == 0)
      readAnew(At);
    return requests::resolveClaim(Table, Claim);
  }

  /// Reads the stream from its start. A claim that is not in the table although
  /// its offset has been read means that the log has lost records and gives
  /// their offsets out again; the claims of other nodes at these are unknown
  /// too.
  void readAnew(Offset Target) {
    BOOST_LOG_TRIVIAL(warning)
        << "proxy: " << Stream << " has gone back: offset " << Target
        << " was given out again, " << Position << " was the next one";
    Position = Log->Bounds(Stream).First;
    readThrough(Target);
  }

  /// Continues to read until the outcome of the claim that holds the key is
  /// known or the time is up. Returns the current decision if the log fails.
  requests::ClaimDecision awaitOutcome(const requests::ClaimEntry &Claim,
                                       requests::ClaimDecision Decision,
                                       SteadyTime Deadline) {
    const SteadyTime Until =
        std::min(after(steadyNow(), OutcomeWait), Deadline);
    while (Decision.Action == requests::ClaimAction::Unknown &&
           Decision.ExecutionStatus == Executed::Unknown &&
           timeLeft(Until) > OutcomePollInterval) {
      std::this_thread::sleep_for(OutcomePollInterval);
      try {
        const std::lock_guard<std::timed_mutex> Guard(TableLock);
        apply(Log->Read(Stream, Position, ReadBatch, Milliseconds(0)));
        Decision = requests::resolveClaim(Table, Claim);
      } catch (const std::exception &Error) {
        BOOST_LOG_TRIVIAL(debug) << "proxy: cannot read the outcome of key "
                                 << Claim.Key << ": " << Error.what();
        return Decision;
      }
    }
    return Decision;
  }

  void markAbandoned(const std::string &Token) {
    const std::lock_guard<std::mutex> Guard(AbandonedLock);
    if (Abandoned.size() < MaxAbandoned)
      Abandoned.insert(Token);
  }

  bool writeNext(std::unique_lock<std::mutex> &Guard) {
    const requests::ClaimEntry Entry = Queue.front();
    Guard.unlock();
    bool Written = true;
    try {
      Log->Append(Stream, encodeClaim(Entry));
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(info)
          << "proxy: cannot write an outcome yet: " << Error.what();
      Written = false;
    }
    Guard.lock();
    if (Written) {
      Queue.pop_front();
      --Unwritten;
    }
    return Written;
  }

  /// Reads the existing records at the start, so that the first claim does not
  /// have to.
  void catchUp() {
    const std::lock_guard<std::timed_mutex> Guard(TableLock);
    try {
      const Offset Next = Log->Bounds(Stream).Next;
      if (Position < Next)
        readThrough(Offset(Next.value() - 1));
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(info) << "proxy: cannot read " << Stream
                              << " at the start: " << Error.what();
    }
  }

  void runWriter() {
    catchUp();
    std::unique_lock<std::mutex> Guard(QueueLock);
    for (;;) {
      QueueChanged.wait(Guard, [this] { return Stopping || !Queue.empty(); });
      if (Queue.empty() || (Stopping && timeLeft(StopAt) <= Milliseconds(0)))
        return;
      if (!writeNext(Guard))
        QueueChanged.wait_for(Guard, RetryDelay);
    }
  }
};

ClaimStore::ClaimStore(std::shared_ptr<streamlog::LogClient> Log,
                       const ServiceName &Service, std::string TokenPrefix)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Log = std::move(Log);
  Impl_->Stream = StreamName("claims." + Service.str());
  Impl_->TokenPrefix = std::move(TokenPrefix);
  Impl_->Writer = std::thread([this] { Impl_->runWriter(); });
}

ClaimStore::~ClaimStore() {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->QueueLock);
    Impl_->Stopping = true;
    Impl_->StopAt = after(steadyNow(), ShutdownWriteTimeout);
    Impl_->QueueChanged.notify_one();
  }
  Impl_->Writer.join();
}

requests::ClaimDecision ClaimStore::claim(requests::ClaimEntry &Claim,
                                          SteadyTime Deadline) {
  Claim.Kind = requests::ClaimKind::Claim;
  Claim.Token = Impl_->TokenPrefix + "/" + std::to_string(++Impl_->LastToken);
  if (!Impl_->mayUseLog())
    throw streamlog::LogUnavailable(
        "the log failed recently; waiting before the next attempt");
  try {
    const requests::ClaimDecision Decision =
        Impl_->appendAndResolve(Claim, Deadline);
    Impl_->IsLogFailing = false;
    return Impl_->awaitOutcome(Claim, Decision, Deadline);
  } catch (const std::exception &Error) {
    Impl_->recordLogFailure();
    Impl_->markAbandoned(Claim.Token);
    throw streamlog::LogUnavailable(Error.what());
  }
}

void ClaimStore::append(requests::ClaimEntry Entry) {
  Impl_->enqueue(std::move(Entry));
}

std::int64_t ClaimStore::queued() const { return Impl_->Unwritten.load(); }

} // namespace lycheethread::proxy
