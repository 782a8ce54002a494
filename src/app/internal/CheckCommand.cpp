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

cxxopts::Options describeCheckOptions() {
  cxxopts::Options Options("lycheethread check",
                           "Checks service documents and reports all mistakes");
  Options.add_options()("files", "documents to check",
                        cxxopts::value<std::vector<std::string>>())(
      "json", "print the findings as JSON")("h,help", "print this help");
  Options.parse_positional({"files"});
  Options.positional_help("FILE...");
  return Options;
}

CheckOptions parseCheckOptions(cxxopts::Options &Options, int Argc,
                               char **Argv) {
  const auto Parsed = Options.parse(Argc, Argv);
  CheckOptions Result;
  if (Parsed.count("files") != 0)
    Result.Files = Parsed["files"].as<std::vector<std::string>>();
  Result.Json = Parsed.count("json") != 0;
  Result.Help = Parsed.count("help") != 0;
  return Result;
}

int check(const CheckOptions &Options) {
  Findings AllFindings;
  for (const std::string &Path : Options.Files)
    for (const Finding &Item : readDocumentFile(Path).Parsed.Problems)
      AllFindings.push_back(Item);
  if (Options.Json) {
    Poco::JSON::Object Body;
    Body.set("findings", findingsJson(AllFindings));
    printJson(std::cout, Body);
  } else {
    printFindings(std::cout, AllFindings);
  }
  return AllFindings.empty() ? ExitOk : ExitRefused;
}

} // namespace

int runCheck(int Argc, char **Argv) {
  cxxopts::Options Options = describeCheckOptions();
  CheckOptions Parsed;
  try {
    Parsed = parseCheckOptions(Options, Argc, Argv);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "check: " << Error.what() << "\n";
    return ExitUsage;
  }
  if (Parsed.Help) {
    std::cout << Options.help();
    return ExitOk;
  }
  if (Parsed.Files.empty()) {
    std::cerr << "check: no file given\n";
    return ExitUsage;
  }
  return check(Parsed);
}

} // namespace lycheethread::app
