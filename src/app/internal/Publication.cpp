#include "app/internal/Publication.h"

#include "bootstrap/Bootstrap.h"
#include "records/Records.h"

#include <algorithm>
#include <thread>

namespace lycheethread::app {

namespace {

using Clock = std::chrono::steady_clock;

/// Fewer than the fold keeps verdicts, so that the own one cannot be missed.
constexpr std::size_t RecordsPerRead = 100;
static_assert(RecordsPerRead < config::MaxPublishResults);

constexpr Milliseconds ReadWait{1000};
constexpr Milliseconds RetryPause{200};

struct Publication {
  const streamlog::LogClient &Log;
  const Record &Item;
  Clock::time_point Latest;
  const bootstrap::Notice &Report;
  /// Empty until the control stream was read once.
  std::optional<config::ConfigState> State;
  /// Whether an append was answered, so that the record is in the log.
  bool Appended = false;
  PublicationResult Result;
};

bool timeIsLeft(const Publication &Of) { return Clock::now() < Of.Latest; }

Milliseconds waitOf(const Publication &Of) {
  const auto Left =
      std::chrono::duration_cast<Milliseconds>(Of.Latest - Clock::now());
  return std::clamp(Left, Milliseconds(0), ReadWait);
}

void findOwnVerdict(Publication &Of) {
  const auto *Found = config::findPublishResult(*Of.State, Of.Item.Header);
  if (Found == nullptr)
    return;
  Of.Result.Verdict = *Found;
  Of.Result.Moves = Of.State->Moves;
}

/// Reads on until the own verdict or the head of the stream.
void readToHead(Publication &Of, Milliseconds Wait) {
  while (!Of.Result.Verdict) {
    const auto Batch = Of.Log.Read(bootstrap::controlStream(),
                                   Of.State->Position, RecordsPerRead, Wait);
    bootstrap::foldBatch(*Of.State, Batch, Of.Report);
    findOwnVerdict(Of);
    const bool AtHead =
        Batch.Records.empty() || Of.State->Position >= Batch.Bounds.Next;
    if (AtHead)
      return;
  }
}

void append(Publication &Of) {
  Of.Result.Sent = true;
  Of.Log.Append(bootstrap::controlStream(), records::encodeRecord(Of.Item));
  Of.Appended = true;
}

/// One attempt to come nearer to the verdict.
void advance(Publication &Of) {
  if (!Of.State)
    Of.State = bootstrap::loadFromLog(Of.Log, Of.Report);
  // After an append without answer the record may be there already.
  if (Of.Result.Sent)
    readToHead(Of, Of.Appended ? waitOf(Of) : Milliseconds(0));
  if (!Of.Result.Verdict && !Of.Appended)
    append(Of);
}

void attempt(Publication &Of) {
  try {
    advance(Of);
  } catch (const streamlog::LogTrimmed &Error) {
    // The state is read anew, from a checkpoint.
    Of.Result.Problem = Error.what();
    Of.State.reset();
  } catch (const streamlog::LogUnavailable &Error) {
    Of.Result.Problem = Error.what();
    std::this_thread::sleep_for(std::min(RetryPause, waitOf(Of)));
  } catch (const bootstrap::NoCheckpoint &Error) {
    Of.Result.Problem = Error.what();
    std::this_thread::sleep_for(std::min(RetryPause, waitOf(Of)));
  }
}

} // namespace

PublicationResult
publishRecord(const streamlog::LogClient &Log, const Record &Item,
              std::chrono::steady_clock::time_point Latest,
              const std::function<void(const std::string &)> &Report) {
  Publication Of{Log, Item, Latest, Report, {}, false, {}};
  while (!Of.Result.Verdict && timeIsLeft(Of))
    attempt(Of);
  if (!Of.Result.Verdict && Of.Result.Problem.empty())
    Of.Result.Problem = "the record has not appeared in time";
  return Of.Result;
}

} // namespace lycheethread::app
