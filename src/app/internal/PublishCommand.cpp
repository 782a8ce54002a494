#include "app/internal/Commands.h"
#include "app/internal/DocumentFile.h"
#include "app/internal/FindingsOutput.h"
#include "app/internal/Publication.h"

#include <Poco/Environment.h>
#include <Poco/UUIDGenerator.h>
#include <cxxopts.hpp>

#include <iostream>

namespace lycheethread::app {

namespace {

constexpr Milliseconds CallTimeout{2000};
constexpr int MaxTimeoutSeconds = 3600;

struct PublishOptions {
  std::string File;
  std::string LogUrl;
  std::string Operator;
  int TimeoutSeconds = 0;
  bool Json = false;
  bool Help = false;
};

/// An option is missing or has an invalid value.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

cxxopts::Options describePublishOptions() {
  cxxopts::Options Options("lycheethread publish",
                           "Publishes a service document and reports whether "
                           "it was accepted");
  Options.add_options()("file", "document to publish",
                        cxxopts::value<std::string>())(
      "log", "URL of the platform's log, http://ip:port",
      cxxopts::value<std::string>())(
      "operator", "operator name stored in the record (default: $USER)",
      cxxopts::value<std::string>())(
      "timeout", "maximum time to wait for the verdict, in seconds",
      cxxopts::value<int>()->default_value("10"))(
      "json", "print the result as JSON")("h,help", "print this help");
  Options.parse_positional({"file"});
  Options.positional_help("FILE");
  return Options;
}

std::string stringOption(const cxxopts::ParseResult &Parsed, const char *Name,
                         const std::string &Default) {
  return Parsed.count(Name) != 0 ? Parsed[Name].as<std::string>() : Default;
}

PublishOptions parsePublishOptions(cxxopts::Options &Options, int Argc,
                                   char **Argv) {
  const auto Parsed = Options.parse(Argc, Argv);
  PublishOptions Result;
  Result.File = stringOption(Parsed, "file", "");
  Result.LogUrl = stringOption(Parsed, "log", "");
  const std::string User = Poco::Environment::get("USER", "operator");
  Result.Operator =
      stringOption(Parsed, "operator", isValidName(User) ? User : "operator");
  Result.TimeoutSeconds = Parsed["timeout"].as<int>();
  Result.Json = Parsed.count("json") != 0;
  Result.Help = Parsed.count("help") != 0;
  return Result;
}

void validateOptions(const PublishOptions &Options) {
  if (Options.File.empty())
    throw UsageError("no file given");
  if (Options.LogUrl.empty())
    throw UsageError("--log is missing");
  if (!isValidName(Options.Operator))
    throw UsageError("invalid operator name " + quoted(Options.Operator) +
                     "; allowed: " + AllowedNameText);
  if (Options.TimeoutSeconds < 1 || Options.TimeoutSeconds > MaxTimeoutSeconds)
    throw UsageError("--timeout in seconds must be from 1 to " +
                     std::to_string(MaxTimeoutSeconds));
}

WallTime wallNow() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Milliseconds>(Now).count());
}

/// Builds the record under a new, unique writer id, so that no sequence number
/// has to be stored on the instance.
Record makePublishRecord(const PublishOptions &Options,
                         const DocumentFile &File) {
  const std::string Uuid =
      Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  const RecordHeader Header{NodeId("publish-" + Options.Operator + "-" + Uuid),
                            Incarnation(1), Sequence(1), wallNow()};
  const ServiceDocument &Document = File.Parsed.Document;
  return {Header,
          PublishRecord{Document.Service, Document.BaseRevision, File.Text}};
}

int reportDocumentFindings(const PublishOptions &Options,
                           const Findings &Problems) {
  if (!Options.Json) {
    printFindings(std::cout, Problems);
    std::cout << "not published: the document has mistakes\n";
    return ExitRefused;
  }
  Poco::JSON::Object Body;
  Body.set("result", "not-published");
  Body.set("findings", findingsJson(Problems));
  printJson(std::cout, Body);
  return ExitRefused;
}

int reportNoVerdict(const PublishOptions &Options,
                    const PublicationResult &Result) {
  const std::string Meaning =
      Result.AppendAttempted
          ? "the result is not known, the document may be accepted"
          : "nothing was published";
  std::cerr << "publish: " << Meaning << ": " << Result.Problem << "\n";
  if (Options.Json) {
    Poco::JSON::Object Body;
    Body.set("result", Result.AppendAttempted ? "unknown" : "not-published");
    Body.set("problem", Result.Problem);
    printJson(std::cout, Body);
  }
  return ExitUnavailable;
}

/// Prints for each move plan of the document whether its move is running. A
/// plan whose move has ended does not start again while it is unchanged.
void printMoveStates(const ServiceDocument &Document,
                     const moves::MoveTable &Moves) {
  for (const auto &[Group, Plan] : Document.Moves) {
    const moves::Move *Running = nullptr;
    for (const auto &[Id, Item] : Moves.Running)
      if (Item.Service == Document.Service && Item.Plan.Group == Group)
        Running = &Item;
    if (Running != nullptr)
      std::cout << "move " << Running->Id << " is running from "
                << Running->Plan.From << " to " << Running->Plan.To << "\n";
    else
      std::cout << "no move of group " << Group
                << " is running: this plan has ended before; another "
                   "finish_by starts a new move\n";
  }
}

void printVerdictJson(const config::PublishResult &Verdict) {
  Poco::JSON::Object Body;
  Body.set("result", Verdict.Accepted ? "accepted" : "refused");
  Body.set("service", Verdict.Service.str());
  Body.set("revision", Verdict.InForce.value());
  Body.set("offset", Verdict.At.value());
  Body.set("findings", findingsJson(Verdict.Problems));
  printJson(std::cout, Body);
}

void printVerdict(const config::PublishResult &Verdict) {
  printFindings(std::cout, Verdict.Problems);
  if (Verdict.Accepted)
    std::cout << "accepted: " << Verdict.Service << " revision "
              << Verdict.InForce << "\n";
  else
    std::cout << "refused: " << Verdict.Service << " stays at revision "
              << Verdict.InForce << "\n";
}

int reportVerdict(const PublishOptions &Options, const DocumentFile &File,
                  const PublicationResult &Result) {
  config::PublishResult Verdict = *Result.Verdict;
  for (Finding &Item : Verdict.Problems)
    Item.File = File.Parsed.File;
  if (Options.Json)
    printVerdictJson(Verdict);
  else
    printVerdict(Verdict);
  if (!Options.Json && Verdict.Accepted)
    printMoveStates(File.Parsed.Document, Result.Moves);
  return Verdict.Accepted ? ExitOk : ExitRefused;
}

int publish(const PublishOptions &Options) {
  const auto Log = streamlog::makeHttpLog(Options.LogUrl, CallTimeout);
  const DocumentFile File = readDocumentFile(Options.File);
  if (!File.Parsed.Problems.empty())
    return reportDocumentFindings(Options, File.Parsed.Problems);
  const auto Deadline = std::chrono::steady_clock::now() +
                        std::chrono::seconds(Options.TimeoutSeconds);
  const PublicationResult Result =
      publishRecord(Log, makePublishRecord(Options, File), Deadline,
                    [](const std::string &Message) {
                      std::cerr << "publish: " << Message << "\n";
                    });
  if (!Result.Verdict)
    return reportNoVerdict(Options, Result);
  return reportVerdict(Options, File, Result);
}

} // namespace

int runPublish(int Argc, char **Argv) {
  cxxopts::Options Options = describePublishOptions();
  try {
    const PublishOptions Parsed = parsePublishOptions(Options, Argc, Argv);
    if (Parsed.Help) {
      std::cout << Options.help();
      return ExitOk;
    }
    validateOptions(Parsed);
    return publish(Parsed);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "publish: " << Error.what() << "\n";
  } catch (const UsageError &Error) {
    std::cerr << "publish: " << Error.what() << "\n";
  } catch (const std::invalid_argument &Error) {
    std::cerr << "publish: " << Error.what() << "\n";
  }
  return ExitUsage;
}

} // namespace lycheethread::app
