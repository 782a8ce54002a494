#include "app/internal/Commands.h"
#include "app/internal/DocumentFile.h"
#include "app/internal/FindingsOutput.h"

#include <cxxopts.hpp>

#include <iostream>

namespace lycheethread::app {

namespace {

struct CheckOptions {
  std::vector<std::string> Files;
  bool Json = false;
  bool Help = false;
};

cxxopts::Options describeCheck() {
  cxxopts::Options Options("lycheethread check",
                           "Checks service documents and reports all mistakes");
  Options.add_options()("files", "documents to check",
                        cxxopts::value<std::vector<std::string>>())(
      "json", "print the findings as JSON")("h,help", "print this help");
  Options.parse_positional({"files"});
  Options.positional_help("FILE...");
  return Options;
}

CheckOptions parseCheck(cxxopts::Options &Options, int Argc, char **Argv) {
  const auto Given = Options.parse(Argc, Argv);
  CheckOptions Result;
  if (Given.count("files") != 0)
    Result.Files = Given["files"].as<std::vector<std::string>>();
  Result.Json = Given.count("json") != 0;
  Result.Help = Given.count("help") != 0;
  return Result;
}

int check(const CheckOptions &Options) {
  Findings All;
  for (const std::string &Path : Options.Files)
    for (const Finding &Item : readDocumentFile(Path).Parsed.Problems)
      All.push_back(Item);
  if (Options.Json) {
    Poco::JSON::Object Body;
    Body.set("findings", findingsJson(All));
    printJson(std::cout, Body);
  } else {
    printFindings(std::cout, All);
  }
  return All.empty() ? ExitOk : ExitRefused;
}

} // namespace

int runCheck(int Argc, char **Argv) {
  cxxopts::Options Options = describeCheck();
  CheckOptions Given;
  try {
    Given = parseCheck(Options, Argc, Argv);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "check: " << Error.what() << "\n";
    return ExitUsage;
  }
  if (Given.Help) {
    std::cout << Options.help();
    return ExitOk;
  }
  if (Given.Files.empty()) {
    std::cerr << "check: no file is given\n";
    return ExitUsage;
  }
  return check(Given);
}

} // namespace lycheethread::app
