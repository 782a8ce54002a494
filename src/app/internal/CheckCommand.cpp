#include "app/internal/Commands.h"
#include "app/internal/ConfigurationFile.h"
#include "app/internal/DocumentFile.h"
#include "app/internal/FindingsOutput.h"
#include "app/internal/StoredConfiguration.h"
#include "platform/Platform.h"

#include <cxxopts.hpp>

#include <iostream>
#include <stdexcept>

namespace lycheethread::app {

namespace {

struct CheckOptions {
  std::vector<std::string> Files;
  std::string Against;
  std::optional<Endpoint> Store;
  configcheck::KnownRegions Regions;
  bool Json = false;
  bool IsStrict = false;
  bool Help = false;
};

/// What was found in all files.
struct CheckReport {
  configcheck::CheckResult Found;
  std::vector<configcheck::Difference> Differences;
};

cxxopts::Options describeCheckOptions() {
  cxxopts::Options Options(
      "lycheethread check",
      "Checks service documents, and configurations in the platform's JSON\n"
      "form (files that begin with '{'), and reports all mistakes.\n"
      "Exit codes: 0 none, or only warnings; 1 mistakes; 2 wrong usage; 3 the\n"
      "configuration in force cannot be read from the store.\n");
  Options.add_options()("files", "documents and configurations to check",
                        cxxopts::value<std::vector<std::string>>())(
      "against",
      "show what the configuration changes of the one in FILE, such as the "
      "one in force; its version must be higher",
      cxxopts::value<std::string>(), "FILE")(
      "against-store",
      "like --against, with the configuration in force, which is read from the "
      "platform's store",
      cxxopts::value<std::string>(), "HOST:PORT")(
      "zones",
      "the availability zones and their regions; regions without a zone are "
      "reported",
      cxxopts::value<std::string>(), "ZONE=REGION,...")(
      "strict", "exit with 1 also if there are only warnings")(
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
  if (Parsed.count("against") != 0)
    Result.Against = Parsed["against"].as<std::string>();
  if (Parsed.count("against-store") != 0) {
    const auto &Text = Parsed["against-store"].as<std::string>();
    Result.Store = parseStoreAddress(Text);
    if (!Result.Store)
      throw std::invalid_argument("--against-store: \"" + Text +
                                  "\" is not of the form host:port");
  }
  if (Parsed.count("zones") != 0)
    Result.Regions = parseZones(Parsed["zones"].as<std::string>());
  Result.Json = Parsed.count("json") != 0;
  Result.IsStrict = Parsed.count("strict") != 0;
  Result.Help = Parsed.count("help") != 0;
  return Result;
}

void append(Findings &To, const Findings &From) {
  To.insert(To.end(), From.begin(), From.end());
}

void checkFile(const std::string &Path, const CheckOptions &Options,
               CheckReport &Into) {
  const auto Config = readConfigurationFile(Path);
  if (!Config) {
    append(Into.Found.Errors, readDocumentFile(Path).Parsed.Problems);
    return;
  }
  const auto Found = configcheck::check(*Config, Options.Regions);
  append(Into.Found.Errors, Found.Errors);
  append(Into.Found.Warnings, Found.Warnings);
}

/// Throws std::invalid_argument if the file is no configuration.
configcheck::ParsedConfig readComparedFile(const std::string &Path) {
  auto Config = readConfigurationFile(Path);
  if (!Config)
    throw std::invalid_argument("cannot compare: " + Path +
                                " cannot be read or is not a configuration");
  return *std::move(Config);
}

configcheck::ParsedConfig readInForce(const CheckOptions &Options) {
  if (Options.Store)
    return platform::parseConfig(platform::StoredConfigName,
                                 readStoredConfiguration(*Options.Store));
  return readComparedFile(Options.Against);
}

/// Throws std::invalid_argument if a file is no configuration, and
/// StoreUnavailable.
void compareConfigurations(const CheckOptions &Options, CheckReport &Into) {
  const configcheck::ParsedConfig Next =
      readComparedFile(Options.Files.front());
  const configcheck::ParsedConfig InForce = readInForce(Options);
  if (!InForce.Problems.empty()) {
    const auto Found = configcheck::check(InForce, std::nullopt);
    append(Into.Found.Errors, Found.Errors);
  }
  if (!Next.Problems.empty() || !InForce.Problems.empty())
    return;
  auto Result = configcheck::compare(Next, InForce);
  append(Into.Found.Errors, Result.Errors);
  Into.Differences = std::move(Result.Differences);
}

Poco::JSON::Array withSeverity(const Findings &Items, const char *Severity) {
  Poco::JSON::Array List = findingsJson(Items);
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    Poco::JSON::Object Entry =
        List.get(static_cast<unsigned>(Index)).extract<Poco::JSON::Object>();
    Entry.set("severity", Severity);
    List.set(static_cast<unsigned>(Index), Entry);
  }
  return List;
}

void printReportJson(const CheckReport &Report, bool HasDifferences) {
  Poco::JSON::Array All = withSeverity(Report.Found.Errors, "error");
  for (const auto &Item : withSeverity(Report.Found.Warnings, "warning"))
    All.add(Item);
  Poco::JSON::Object Body;
  Body.set("findings", All);
  if (HasDifferences) {
    Poco::JSON::Array List;
    for (const configcheck::Difference &Item : Report.Differences) {
      Poco::JSON::Object Entry;
      Entry.set("subject", Item.Subject);
      Entry.set("field", Item.Field);
      Entry.set("from", Item.From);
      Entry.set("to", Item.To);
      List.add(Entry);
    }
    Body.set("differences", List);
  }
  printJson(std::cout, Body);
}

void printReport(const CheckReport &Report) {
  printFindings(std::cout, Report.Found.Errors);
  for (Finding Item : Report.Found.Warnings) {
    Item.Problem = "warning: " + Item.Problem;
    std::cout << toString(Item) << "\n";
  }
  for (const configcheck::Difference &Item : Report.Differences)
    std::cout << configcheck::toString(Item) << "\n";
}

int check(const CheckOptions &Options) {
  CheckReport Report;
  for (const std::string &Path : Options.Files)
    checkFile(Path, Options, Report);
  bool IsCompared = false;
  bool IsStoreUnavailable = false;
  try {
    if (Options.Store || !Options.Against.empty()) {
      compareConfigurations(Options, Report);
      IsCompared = true;
    }
  } catch (const StoreUnavailable &Error) {
    // The findings in the file itself are printed all the same.
    std::cerr << "check: " << settings::toString(*Options.Store) << ": "
              << Error.what() << "\n";
    IsStoreUnavailable = true;
  }
  if (Options.Json)
    printReportJson(Report, IsCompared);
  else
    printReport(Report);
  if (IsStoreUnavailable)
    return ExitUnavailable;
  const bool IsRefused = !Report.Found.Errors.empty() ||
                         (Options.IsStrict && !Report.Found.Warnings.empty());
  return IsRefused ? ExitRefused : ExitOk;
}

} // namespace

int runCheck(int Argc, char **Argv) {
  cxxopts::Options Options = describeCheckOptions();
  try {
    const CheckOptions Parsed = parseCheckOptions(Options, Argc, Argv);
    if (Parsed.Help) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Parsed.Files.empty())
      throw std::invalid_argument("no file given");
    const bool IsComparison = Parsed.Store || !Parsed.Against.empty();
    if (Parsed.Store && !Parsed.Against.empty())
      throw std::invalid_argument(
          "--against and --against-store exclude each other");
    if (IsComparison && Parsed.Files.size() != 1)
      throw std::invalid_argument(
          "--against and --against-store take one file to check");
    return check(Parsed);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "check: " << Error.what() << "\n";
  } catch (const std::invalid_argument &Error) {
    std::cerr << "check: " << Error.what() << "\n";
  }
  return ExitUsage;
}

} // namespace lycheethread::app
