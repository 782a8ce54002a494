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
constexpr Milliseconds ReadWait{5'000};
constexpr Milliseconds RetryPause{1'000};
constexpr std::size_t MaxRecordsPerRead = 256;
constexpr std::int64_t DefaultWaitSeconds = 3600;

using Clock = std::chrono::steady_clock;

struct MovesRequest {
  std::string LogUrl;
  ServiceName Service;
  MoveId Waited;
  std::chrono::seconds Timeout{DefaultWaitSeconds};
  bool Json = false;
};

void report(const std::string &Line) { std::cerr << "moves: " << Line << "\n"; }

void print(const MovesRequest &Request, std::vector<moves::Move> Moves) {
  if (!Request.Waited.empty())
    Moves.erase(std::remove_if(Moves.begin(), Moves.end(),
                               [&](const moves::Move &Item) {
                                 return Item.Id != Request.Waited;
                               }),
                Moves.end());
  std::cout << (Request.Json ? movesJson(Moves) : movesTable(Moves));
}

Milliseconds timeLeft(Clock::time_point Until) {
  return std::chrono::duration_cast<Milliseconds>(Until - Clock::now());
}

/// Folds what arrives within one long poll.
void follow(config::ConfigState &State, const streamlog::LogClient &Log,
            Milliseconds Left) {
  bootstrap::foldBatch(State,
                       Log.Read(bootstrap::controlStream(), State.Position,
                                MaxRecordsPerRead, std::min(Left, ReadWait)),
                       report);
}

/// Goes on through outages of the log: the move ends without this command.
void followPatiently(config::ConfigState &State,
                     const streamlog::LogClient &Log, Milliseconds Left) {
  try {
    follow(State, Log, Left);
  } catch (const streamlog::LogTrimmed &) {
    State = bootstrap::loadFromLog(Log, report);
  } catch (const streamlog::LogUnavailable &) {
    std::this_thread::sleep_for(std::min(Left, RetryPause));
  }
}

int waitForEnd(const MovesRequest &Request, config::ConfigState &State,
               const streamlog::LogClient &Log) {
  const Clock::time_point Until = Clock::now() + Request.Timeout;
  std::optional<int> Code = exitCodeOf(State.Moves, Request.Waited);
  while (!Code && timeLeft(Until) > Milliseconds(0)) {
    followPatiently(State, Log, timeLeft(Until));
    Code = exitCodeOf(State.Moves, Request.Waited);
  }
  if (Code == ExitUnavailable) {
    report("there is no move \"" + Request.Waited.str() + "\" in the log");
    return ExitUnavailable;
  }
  print(Request, listMoves(State.Moves, Request.Service));
  if (!Code)
    report("the move has not ended within the timeout");
  return Code.value_or(ExitUnavailable);
}

int showMoves(const MovesRequest &Request) {
  try {
    const streamlog::LogClient Log =
        streamlog::makeHttpLog(Request.LogUrl, LogTimeout);
    config::ConfigState State = bootstrap::loadFromLog(Log, report);
    if (!Request.Waited.empty())
      return waitForEnd(Request, State, Log);
    print(Request, listMoves(State.Moves, Request.Service));
    return ExitOk;
  } catch (const streamlog::LogUnavailable &Error) {
    report(std::string("the log does not answer: ") + Error.what());
  } catch (const bootstrap::NoCheckpoint &Error) {
    report(Error.what());
  }
  return ExitUnavailable;
}

MovesRequest requestFrom(const cxxopts::ParseResult &Parsed) {
  MovesRequest Request;
  Request.LogUrl = Parsed["log"].as<std::string>();
  Request.Service = ServiceName(Parsed["service"].as<std::string>());
  Request.Waited = MoveId(Parsed["wait"].as<std::string>());
  Request.Timeout = std::chrono::seconds(Parsed["timeout"].as<std::int64_t>());
  Request.Json = Parsed.count("json") != 0;
  return Request;
}

} // namespace

int runMoves(int Argc, char **Argv) {
  cxxopts::Options Options("lycheethread moves",
                           "Lists version moves with outcome and evidence");
  auto Add = Options.add_options();
  Add("log", "base URL of the log",
      cxxopts::value<std::string>()->default_value(""));
  Add("service", "only this service",
      cxxopts::value<std::string>()->default_value(""));
  Add("wait", "wait for the end of the move with this id",
      cxxopts::value<std::string>()->default_value(""));
  Add("timeout", "longest wait in seconds",
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
    return showMoves(requestFrom(Parsed));
  } catch (const cxxopts::exceptions::exception &Error) {
    report(Error.what());
    return ExitUsage;
  }
}

} // namespace lycheethread::app
