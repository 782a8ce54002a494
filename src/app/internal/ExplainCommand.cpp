#include "app/internal/Commands.h"
#include "app/internal/RequestTrace.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace lycheethread::app {

namespace {

std::vector<TraceStep> readSteps(const std::vector<std::string> &Files,
                                 const std::string &Id) {
  if (Files.empty())
    return extractTrace(std::cin, Id);
  std::vector<TraceStep> AllSteps;
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In)
      throw std::runtime_error("log file \"" + File + "\" cannot be read");
    const std::vector<TraceStep> Steps = extractTrace(In, Id);
    AllSteps.insert(AllSteps.end(), Steps.begin(), Steps.end());
  }
  return AllSteps;
}

} // namespace

int runExplain(int Argc, char **Argv) {
  cxxopts::Options Options(
      "lycheethread explain",
      "Prints the decisions that nodes logged about one request.");
  Options.positional_help("ID");
  Options.add_options()("id", "request id", cxxopts::value<std::string>())(
      "l,log",
      "file with log output of nodes, may be repeated; default: standard input",
      cxxopts::value<std::vector<std::string>>())("json", "print JSON")(
      "h,help", "print this help");
  Options.parse_positional({"id"});
  const auto Parsed = Options.parse(Argc, Argv);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return ExitOk;
  }
  if (Parsed.count("id") == 0)
    throw std::runtime_error("the request id is missing");
  const auto Files = Parsed.count("log") == 0
                         ? std::vector<std::string>()
                         : Parsed["log"].as<std::vector<std::string>>();
  const auto Id = Parsed["id"].as<std::string>();
  const std::vector<TraceStep> Steps = readSteps(Files, Id);
  std::cout << (Parsed.count("json") != 0 ? toJson(Steps) : toText(Steps));
  if (!Steps.empty())
    return ExitOk;
  std::cerr << "no line is about request " << Id
            << "; look for event=lines-left-out at that time\n";
  return ExitUnavailable;
}

} // namespace lycheethread::app
