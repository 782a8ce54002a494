#include "app/internal/Commands.h"
#include "app/internal/RefusalsText.h"
#include "refusallog/RefusalLog.h"
#include "streamlog/StreamLog.h"

#include <cxxopts.hpp>

#include <chrono>
#include <iostream>

namespace lycheethread::app {

namespace {

constexpr Milliseconds LogTimeout{10000};

WallTime wallNow() {
  using namespace std::chrono;
  return WallTime(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

/// An option is missing or has an invalid value.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

std::optional<WallTime> timeOption(const cxxopts::ParseResult &Parsed,
                                   const std::string &Name) {
  if (Parsed.count(Name) == 0)
    return std::nullopt;
  const std::string Text = Parsed[Name].as<std::string>();
  const std::optional<WallTime> Time = parseTime(Text);
  if (!Time)
    throw UsageError(
        "--" + Name + ": \"" + Text +
        "\" is not a time; expected a form such as 2026-12-05T18:00:00Z");
  return Time;
}

refusals::ReportFilter filterFrom(const cxxopts::ParseResult &Parsed) {
  refusals::ReportFilter Filter;
  if (Parsed.count("service") != 0)
    Filter.Service = ServiceName(Parsed["service"].as<std::string>());
  Filter.From = timeOption(Parsed, "from");
  Filter.To = timeOption(Parsed, "to");
  return Filter;
}

int showReport(const std::string &LogUrl, const refusals::ReportFilter &Filter,
               bool Json) {
  try {
    refusallog::StoredBatches Stored = refusallog::readStoredBatches(
        streamlog::makeHttpLog(LogUrl, LogTimeout));
    const refusals::RefusalReport Report =
        refusals::buildReport(std::move(Stored.Batches), Filter, wallNow());
    std::cout << (Json ? refusalsJson(Report, Stored.BadRecords)
                       : refusalsTable(Report));
    if (Stored.BadRecords > 0)
      std::cerr << "refusals: " << Stored.BadRecords
                << " records of the stream could not be decoded\n";
    return ExitOk;
  } catch (const streamlog::LogUnavailable &Error) {
    std::cerr << "refusals: the log does not answer: " << Error.what() << "\n";
    return ExitUnavailable;
  }
}

} // namespace

int runRefusals(int Argc, char **Argv) {
  cxxopts::Options Options("lycheethread refusals",
                           "Lists which callers were refused, when and why");
  Options.add_options()("log", "base URL of the log",
                        cxxopts::value<std::string>())(
      "service", "list only refusals of this service",
      cxxopts::value<std::string>())(
      "from", "start of the period, such as 2026-12-05T18:00:00Z",
      cxxopts::value<std::string>())("to", "end of the period",
                                     cxxopts::value<std::string>())(
      "json", "print JSON instead of a table")("h,help", "print this help");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Parsed.count("log") == 0)
      throw UsageError("--log URL is required");
    return showReport(Parsed["log"].as<std::string>(), filterFrom(Parsed),
                      Parsed.count("json") != 0);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "refusals: " << Error.what() << "\n";
  } catch (const UsageError &Error) {
    std::cerr << "refusals: " << Error.what() << "\n";
  }
  return ExitUsage;
}

} // namespace lycheethread::app
