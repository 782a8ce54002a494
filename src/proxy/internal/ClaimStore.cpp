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
constexpr std::size_t MaxWaiting = 1000;
constexpr std::size_t MaxAbandoned = 1000;
constexpr Milliseconds RetryPause{200};
constexpr Milliseconds LastWrites{2000};
/// After a failure only one claim at a time tries the log for this long;
/// otherwise claims that wait for a slow log would hold all slots.
constexpr Milliseconds FailurePause{500};
/// A repeat that meets a request in progress waits this long for its outcome:
/// the outcome follows the answer in the log by a few milliseconds.
constexpr Milliseconds OutcomeWait{500};
constexpr Milliseconds OutcomePoll{20};

} // namespace

struct ClaimStore::Impl {
  std::shared_ptr<streamlog::LogClient> Log;
  StreamName Stream;
  std::string TokenPrefix;
  std::atomic<std::int64_t> LastToken{0};

  std::atomic<bool> IsLogFailing{false};
  std::atomic<std::int64_t> NextTry{0};

  /// Held while reading, so that waiting claims profit from one read.
  std::timed_mutex FoldLock;
  requests::ClaimTable Table;
  Offset Position;
  /// Tokens of claims that were refused because the log gave no answer; their
  /// records may still appear.
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
    if (Queue.size() >= MaxWaiting) {
      BOOST_LOG_TRIVIAL(warning)
          << "proxy: outcome of key " << Entry.Key << " is not recorded";
      return;
    }
    Queue.push_back(std::move(Entry));
    ++Unwritten;
    QueueChanged.notify_one();
  }

  bool takeAbandoned(const std::string &Token) {
    const std::lock_guard<std::mutex> Guard(AbandonedLock);
    return Abandoned.erase(Token) != 0;
  }

  void releaseIfAbandoned(const requests::ClaimEntry &Entry) {
    if (Entry.Kind != requests::ClaimKind::Claim || !takeAbandoned(Entry.Token))
      return;
    requests::ClaimEntry Release = Entry;
    Release.Kind = requests::ClaimKind::Release;
    enqueue(std::move(Release));
  }

  void fold(const streamlog::LogBatch &Batch) {
    for (const streamlog::LogRecord &Item : Batch.Records) {
      if (Item.At < Position)
        continue;
      Position = Item.At.next();
      const auto Entry = decodeClaim(Item.Data);
      if (!Entry) {
        BOOST_LOG_TRIVIAL(warning) << "proxy: record " << Item.At << " of "
                                   << Stream << " is not valid";
        continue;
      }
      requests::foldClaim(Table, Item.At, *Entry);
      releaseIfAbandoned(*Entry);
    }
  }

  /// Folds until \p Target is folded.
  void readPast(Offset Target) {
    while (Position <= Target) {
      try {
        const streamlog::LogBatch Batch =
            Log->Read(Stream, Position, ReadBatch, Milliseconds(0));
        if (Batch.Records.empty())
          throw streamlog::LogUnavailable("the claim cannot be read back");
        fold(Batch);
      } catch (const streamlog::LogTrimmed &Error) {
        if (Error.kept().First <= Position)
          throw streamlog::LogUnavailable("the log contradicts itself");
        Position = Error.kept().First;
      }
    }
  }

  /// Whether the log may be asked now.
  bool mayTry() {
    if (!IsLogFailing.load())
      return true;
    const std::int64_t Now = steadyNow().value();
    std::int64_t Due = NextTry.load();
    return Now >= Due &&
           NextTry.compare_exchange_strong(Due, Now + FailurePause.count());
  }

  void noteFailure() {
    NextTry = after(steadyNow(), FailurePause).value();
    IsLogFailing = true;
  }

  requests::ClaimDecision appendAndSettle(const requests::ClaimEntry &Claim,
                                          SteadyTime Deadline) {
    const Offset At = Log->Append(Stream, encodeClaim(Claim));
    std::unique_lock<std::timed_mutex> Guard(FoldLock, std::defer_lock);
    // The system clock, since the thread sanitizer of GCC 12 does not know
    // waiting by the steady clock.
    if (!Guard.try_lock_until(std::chrono::system_clock::now() +
                              timeLeft(Deadline)))
      throw streamlog::LogUnavailable("the stream is read too slowly");
    readPast(At);
    return requests::resolveClaim(Table, Claim);
  }

  /// Reads on until the outcome of the claim that holds the key is folded or
  /// the time is over; a log that fails meanwhile leaves the verdict as it is.
  requests::ClaimDecision awaitOutcome(const requests::ClaimEntry &Claim,
                                       requests::ClaimDecision Verdict,
                                       SteadyTime Deadline) {
    const SteadyTime Until =
        std::min(after(steadyNow(), OutcomeWait), Deadline);
    while (Verdict.Action == requests::ClaimAction::Unknown &&
           Verdict.ExecutionStatus == Executed::Unknown &&
           timeLeft(Until) > OutcomePoll) {
      std::this_thread::sleep_for(OutcomePoll);
      try {
        const std::lock_guard<std::timed_mutex> Guard(FoldLock);
        fold(Log->Read(Stream, Position, ReadBatch, Milliseconds(0)));
        Verdict = requests::resolveClaim(Table, Claim);
      } catch (const std::exception &Error) {
        BOOST_LOG_TRIVIAL(debug) << "proxy: outcome of key " << Claim.Key
                                 << " is not read: " << Error.what();
        return Verdict;
      }
    }
    return Verdict;
  }

  void abandon(const std::string &Token) {
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
          << "proxy: outcome not yet written: " << Error.what();
      Written = false;
    }
    Guard.lock();
    if (Written) {
      Queue.pop_front();
      --Unwritten;
    }
    return Written;
  }

  /// Folds what the stream holds at the start, so that the first claim does
  /// not have to.
  void catchUp() {
    const std::lock_guard<std::timed_mutex> Guard(FoldLock);
    try {
      const Offset Next = Log->Bounds(Stream).Next;
      if (Position < Next)
        readPast(Offset(Next.value() - 1));
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(info)
          << "proxy: " << Stream << " is not read yet: " << Error.what();
    }
  }

  void write() {
    catchUp();
    std::unique_lock<std::mutex> Guard(QueueLock);
    for (;;) {
      QueueChanged.wait(Guard, [this] { return Stopping || !Queue.empty(); });
      if (Queue.empty() || (Stopping && timeLeft(StopAt) <= Milliseconds(0)))
        return;
      if (!writeNext(Guard))
        QueueChanged.wait_for(Guard, RetryPause);
    }
  }
};

ClaimStore::ClaimStore(std::shared_ptr<streamlog::LogClient> Log,
                       const ServiceName &Service, std::string TokenPrefix)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Log = std::move(Log);
  Impl_->Stream = StreamName("claims." + Service.str());
  Impl_->TokenPrefix = std::move(TokenPrefix);
  Impl_->Writer = std::thread([this] { Impl_->write(); });
}

ClaimStore::~ClaimStore() {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->QueueLock);
    Impl_->Stopping = true;
    Impl_->StopAt = after(steadyNow(), LastWrites);
    Impl_->QueueChanged.notify_one();
  }
  Impl_->Writer.join();
}

requests::ClaimDecision ClaimStore::claim(requests::ClaimEntry &Claim,
                                          SteadyTime Deadline) {
  Claim.Kind = requests::ClaimKind::Claim;
  Claim.Token = Impl_->TokenPrefix + "/" + std::to_string(++Impl_->LastToken);
  if (!Impl_->mayTry())
    throw streamlog::LogUnavailable("the log failed a moment ago");
  try {
    const requests::ClaimDecision Verdict =
        Impl_->appendAndSettle(Claim, Deadline);
    Impl_->IsLogFailing = false;
    return Impl_->awaitOutcome(Claim, Verdict, Deadline);
  } catch (const std::exception &Error) {
    Impl_->noteFailure();
    Impl_->abandon(Claim.Token);
    throw streamlog::LogUnavailable(Error.what());
  }
}

void ClaimStore::append(requests::ClaimEntry Entry) {
  Impl_->enqueue(std::move(Entry));
}

std::int64_t ClaimStore::waiting() const { return Impl_->Unwritten.load(); }

} // namespace lycheethread::proxy
