#include "app/internal/Commands.h"
#include "app/internal/RequestTrace.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace lycheethread::app {

namespace {

std::vector<TraceStep> readAll(const std::vector<std::string> &Files,
                               const std::string &Id) {
  if (Files.empty())
    return traceOf(std::cin, Id);
  std::vector<TraceStep> All;
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In)
      throw std::runtime_error("log file \"" + File + "\" cannot be read");
    const std::vector<TraceStep> Steps = traceOf(In, Id);
    All.insert(All.end(), Steps.begin(), Steps.end());
  }
  return All;
}

} // namespace

int runExplain(int Argc, char **Argv) {
  cxxopts::Options Options(
      "lycheethread explain",
      "Prints the decisions that nodes logged about one request.");
  Options.positional_help("ID");
  Options.add_options()("id", "id of the request",
                        cxxopts::value<std::string>())(
      "l,log", "log output of nodes; standard input if there is none",
      cxxopts::value<std::vector<std::string>>())("json", "print JSON")(
      "h,help", "print this help");
  Options.parse_positional({"id"});
  const auto Parsed = Options.parse(Argc, Argv);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return ExitOk;
  }
  if (Parsed.count("id") == 0)
    throw std::runtime_error("the id of the request is missing");
  const auto Files = Parsed.count("log") == 0
                         ? std::vector<std::string>()
                         : Parsed["log"].as<std::vector<std::string>>();
  const auto Id = Parsed["id"].as<std::string>();
  const std::vector<TraceStep> Steps = readAll(Files, Id);
  std::cout << (Parsed.count("json") != 0 ? toJson(Steps) : toText(Steps));
  if (!Steps.empty())
    return ExitOk;
  std::cerr << "no line is about request " << Id
            << "; look for event=lines-left-out at that time\n";
  return ExitUnavailable;
}

} // namespace lycheethread::app
