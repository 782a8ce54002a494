#include "app/internal/Commands.h"
#include "app/internal/MovesText.h"
#include "bootstrap/Bootstrap.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

namespace lycheethread::app {

namespace {

constexpr Milliseconds LogTimeout{10'000};
constexpr Milliseconds LongPollTimeout{5'000};
constexpr Milliseconds RetryDelay{1'000};
constexpr std::size_t MaxRecordsPerRead = 256;
constexpr std::int64_t DefaultWaitSeconds = 3600;

using Clock = std::chrono::steady_clock;

struct MovesOptions {
  std::string LogUrl;
  ServiceName Service;
  MoveId AwaitedMove;
  std::chrono::seconds Timeout{DefaultWaitSeconds};
  bool Json = false;
};

void report(const std::string &Line) { std::cerr << "moves: " << Line << "\n"; }

void printMoves(const MovesOptions &Options, std::vector<moves::Move> Moves) {
  if (!Options.AwaitedMove.empty())
    Moves.erase(std::remove_if(Moves.begin(), Moves.end(),
                               [&](const moves::Move &Item) {
                                 return Item.Id != Options.AwaitedMove;
                               }),
                Moves.end());
  std::cout << (Options.Json ? movesJson(Moves) : movesTable(Moves));
}

Milliseconds timeLeft(Clock::time_point Deadline) {
  return std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
}

/// Folds the records that one long poll returns.
void readAndFold(config::ConfigState &State, const streamlog::LogClient &Log,
                 Milliseconds Left) {
  bootstrap::foldBatch(State,
                       Log.Read(bootstrap::controlStream(), State.Position,
                                MaxRecordsPerRead,
                                std::min(Left, LongPollTimeout)),
                       report);
}

/// Like readAndFold, but keeps trying when the log is unavailable, since the
/// move proceeds independently of this command.
void readAndFoldOrRetry(config::ConfigState &State,
                        const streamlog::LogClient &Log, Milliseconds Left) {
  try {
    readAndFold(State, Log, Left);
  } catch (const streamlog::LogTrimmed &) {
    State = bootstrap::loadFromLog(Log, report);
  } catch (const streamlog::LogUnavailable &) {
    std::this_thread::sleep_for(std::min(Left, RetryDelay));
  }
}

int waitForMoveEnd(const MovesOptions &Options, config::ConfigState &State,
                   const streamlog::LogClient &Log) {
  const Clock::time_point Deadline = Clock::now() + Options.Timeout;
  std::optional<int> Code = exitCodeOf(State.Moves, Options.AwaitedMove);
  while (!Code && timeLeft(Deadline) > Milliseconds(0)) {
    readAndFoldOrRetry(State, Log, timeLeft(Deadline));
    Code = exitCodeOf(State.Moves, Options.AwaitedMove);
  }
  if (Code == ExitUnavailable) {
    report("there is no move \"" + Options.AwaitedMove.str() + "\" in the log");
    return ExitUnavailable;
  }
  printMoves(Options, listMoves(State.Moves, Options.Service));
  if (!Code)
    report("the move has not ended within the timeout");
  return Code.value_or(ExitUnavailable);
}

int showMoves(const MovesOptions &Options) {
  try {
    const streamlog::LogClient Log =
        streamlog::makeHttpLog(Options.LogUrl, LogTimeout);
    config::ConfigState State = bootstrap::loadFromLog(Log, report);
    if (!Options.AwaitedMove.empty())
      return waitForMoveEnd(Options, State, Log);
    printMoves(Options, listMoves(State.Moves, Options.Service));
    return ExitOk;
  } catch (const streamlog::LogUnavailable &Error) {
    report(std::string("the log does not answer: ") + Error.what());
  } catch (const bootstrap::NoCheckpoint &Error) {
    report(Error.what());
  }
  return ExitUnavailable;
}

MovesOptions optionsFrom(const cxxopts::ParseResult &Parsed) {
  MovesOptions Options;
  Options.LogUrl = Parsed["log"].as<std::string>();
  Options.Service = ServiceName(Parsed["service"].as<std::string>());
  Options.AwaitedMove = MoveId(Parsed["wait"].as<std::string>());
  Options.Timeout = std::chrono::seconds(Parsed["timeout"].as<std::int64_t>());
  Options.Json = Parsed.count("json") != 0;
  return Options;
}

} // namespace

int runMoves(int Argc, char **Argv) {
  cxxopts::Options Options(
      "lycheethread moves",
      "Lists version moves with their outcome and evidence");
  auto Add = Options.add_options();
  Add("log", "base URL of the log",
      cxxopts::value<std::string>()->default_value(""));
  Add("service", "list only moves of this service",
      cxxopts::value<std::string>()->default_value(""));
  Add("wait", "wait until the move with this id ends",
      cxxopts::value<std::string>()->default_value(""));
  Add("timeout", "maximum time to wait, in seconds",
      cxxopts::value<std::int64_t>()->default_value(
          std::to_string(DefaultWaitSeconds)));
  Add("json", "print JSON instead of a table");
  Add("h,help", "print this help");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Parsed["log"].as<std::string>().empty()) {
      report("--log URL is required");
      return ExitUsage;
    }
    return showMoves(optionsFrom(Parsed));
  } catch (const cxxopts::exceptions::exception &Error) {
    report(Error.what());
    return ExitUsage;
  }
}

} // namespace lycheethread::app
