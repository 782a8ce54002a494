#include "app/internal/Publication.h"

#include "bootstrap/Bootstrap.h"
#include "records/Records.h"

#include <algorithm>
#include <thread>

namespace lycheethread::app {

namespace {

using Clock = std::chrono::steady_clock;

/// Less than the number of publish results that the state keeps, so that the
/// result of this publication cannot be evicted before it is looked up.
constexpr std::size_t RecordsPerRead = 100;
static_assert(RecordsPerRead < config::MaxPublishResults);

constexpr Milliseconds LongPollTimeout{1000};
constexpr Milliseconds RetryDelay{200};

/// A publication in progress.
struct PublicationRun {
  const streamlog::LogClient &Log;
  const Record &Item;
  Clock::time_point Deadline;
  const bootstrap::Notice &Report;
  /// Empty until the control stream has been read for the first time, and after
  /// the log was trimmed past the position.
  std::optional<config::ConfigState> State;
  /// Whether an append was confirmed, so that the record is in the log.
  bool Appended = false;
  PublicationResult Result;
};

bool hasTimeLeft(const PublicationRun &Run) {
  return Clock::now() < Run.Deadline;
}

Milliseconds remainingWait(const PublicationRun &Run) {
  const auto Left =
      std::chrono::duration_cast<Milliseconds>(Run.Deadline - Clock::now());
  return std::clamp(Left, Milliseconds(0), LongPollTimeout);
}

void findVerdict(PublicationRun &Run) {
  const auto *Found = config::findPublishResult(*Run.State, Run.Item.Header);
  if (Found == nullptr)
    return;
  Run.Result.Verdict = *Found;
  Run.Result.Moves = Run.State->Moves;
}

/// Reads and folds records until the verdict or the head of the stream is
/// reached.
void readToHead(PublicationRun &Run, Milliseconds Wait) {
  while (!Run.Result.Verdict) {
    const auto Batch = Run.Log.Read(bootstrap::controlStream(),
                                    Run.State->Position, RecordsPerRead, Wait);
    bootstrap::foldBatch(*Run.State, Batch, Run.Report);
    findVerdict(Run);
    const bool AtHead =
        Batch.Records.empty() || Run.State->Position >= Batch.Bounds.Next;
    if (AtHead)
      return;
  }
}

void append(PublicationRun &Run) {
  Run.Result.AppendAttempted = true;
  Run.Log.Append(bootstrap::controlStream(), records::encodeRecord(Run.Item));
  Run.Appended = true;
}

/// Performs the next steps towards the verdict: loads the state, reads to the
/// head of the stream and appends the record where needed.
void step(PublicationRun &Run) {
  if (!Run.State)
    Run.State = bootstrap::loadFromLog(Run.Log, Run.Report);
  // After an append without a response, the record may already be in the log.
  if (Run.Result.AppendAttempted)
    readToHead(Run, Run.Appended ? remainingWait(Run) : Milliseconds(0));
  if (!Run.Result.Verdict && !Run.Appended)
    append(Run);
}

void stepOrDelay(PublicationRun &Run) {
  try {
    step(Run);
  } catch (const streamlog::LogTrimmed &Error) {
    // The next step loads the state anew, from a checkpoint.
    Run.Result.Problem = Error.what();
    Run.State.reset();
  } catch (const streamlog::LogUnavailable &Error) {
    Run.Result.Problem = Error.what();
    std::this_thread::sleep_for(std::min(RetryDelay, remainingWait(Run)));
  } catch (const bootstrap::NoCheckpoint &Error) {
    Run.Result.Problem = Error.what();
    std::this_thread::sleep_for(std::min(RetryDelay, remainingWait(Run)));
  }
}

} // namespace

PublicationResult
publishRecord(const streamlog::LogClient &Log, const Record &Item,
              std::chrono::steady_clock::time_point Deadline,
              const std::function<void(const std::string &)> &Report) {
  PublicationRun Run{Log, Item, Deadline, Report, {}, false, {}};
  while (!Run.Result.Verdict && hasTimeLeft(Run))
    stepOrDelay(Run);
  if (!Run.Result.Verdict && Run.Result.Problem.empty())
    Run.Result.Problem =
        "the record did not appear in the log before the timeout";
  return Run.Result;
}

} // namespace lycheethread::app
