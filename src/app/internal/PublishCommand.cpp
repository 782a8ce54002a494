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

/// The command line does not make sense.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

cxxopts::Options describePublish() {
  cxxopts::Options Options("lycheethread publish",
                           "Publishes a service document and reports whether "
                           "it was accepted");
  Options.add_options()("file", "document to publish",
                        cxxopts::value<std::string>())(
      "log", "URL of the platform's log, http://ip:port",
      cxxopts::value<std::string>())(
      "operator", "name kept with the record (default: $USER)",
      cxxopts::value<std::string>())(
      "timeout", "seconds to wait for the verdict",
      cxxopts::value<int>()->default_value("10"))(
      "json", "print the result as JSON")("h,help", "print this help");
  Options.parse_positional({"file"});
  Options.positional_help("FILE");
  return Options;
}

std::string textOr(const cxxopts::ParseResult &Given, const char *Name,
                   const std::string &Default) {
  return Given.count(Name) != 0 ? Given[Name].as<std::string>() : Default;
}

PublishOptions parsePublish(cxxopts::Options &Options, int Argc, char **Argv) {
  const auto Given = Options.parse(Argc, Argv);
  PublishOptions Result;
  Result.File = textOr(Given, "file", "");
  Result.LogUrl = textOr(Given, "log", "");
  const std::string User = Poco::Environment::get("USER", "operator");
  Result.Operator =
      textOr(Given, "operator", isValidName(User) ? User : "operator");
  Result.TimeoutSeconds = Given["timeout"].as<int>();
  Result.Json = Given.count("json") != 0;
  Result.Help = Given.count("help") != 0;
  return Result;
}

void requireUsable(const PublishOptions &Options) {
  if (Options.File.empty())
    throw UsageError("no file is given");
  if (Options.LogUrl.empty())
    throw UsageError("--log is missing");
  if (!isValidName(Options.Operator))
    throw UsageError("bad operator name " + quoted(Options.Operator) +
                     "; allowed: " + AllowedNameText);
  if (Options.TimeoutSeconds < 1 || Options.TimeoutSeconds > MaxTimeoutSeconds)
    throw UsageError("--timeout is not 1 to " +
                     std::to_string(MaxTimeoutSeconds));
}

WallTime wallClock() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Milliseconds>(Now).count());
}

/// A fresh writer, so that the sequence needs no state on the instance.
Record recordOf(const PublishOptions &Options, const DocumentFile &File) {
  const std::string Unique =
      Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  const RecordHeader Header{
      NodeId("publish-" + Options.Operator + "-" + Unique), Incarnation(1),
      Sequence(1), wallClock()};
  const ServiceDocument &Document = File.Parsed.Document;
  return {Header,
          PublishRecord{Document.Service, Document.BaseRevision, File.Text}};
}

int reportLocal(const PublishOptions &Options, const Findings &Problems) {
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

int reportUnknown(const PublishOptions &Options,
                  const PublicationResult &Result) {
  const std::string Meaning =
      Result.Sent ? "the result is not known, the document may be accepted"
                  : "nothing was published";
  std::cerr << "publish: " << Meaning << ": " << Result.Problem << "\n";
  if (Options.Json) {
    Poco::JSON::Object Body;
    Body.set("result", Result.Sent ? "unknown" : "not-published");
    Body.set("problem", Result.Problem);
    printJson(std::cout, Body);
  }
  return ExitUnavailable;
}

/// Whether each move that the document asks for runs, because an unchanged plan
/// that has ended does not start again.
void printMoves(const ServiceDocument &Document,
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
    printMoves(File.Parsed.Document, Result.Moves);
  return Verdict.Accepted ? ExitOk : ExitRefused;
}

int publish(const PublishOptions &Options) {
  const auto Log = streamlog::makeHttpLog(Options.LogUrl, CallTimeout);
  const DocumentFile File = readDocumentFile(Options.File);
  if (!File.Parsed.Problems.empty())
    return reportLocal(Options, File.Parsed.Problems);
  const auto Latest = std::chrono::steady_clock::now() +
                      std::chrono::seconds(Options.TimeoutSeconds);
  const PublicationResult Result = publishRecord(
      Log, recordOf(Options, File), Latest, [](const std::string &Notice) {
        std::cerr << "publish: " << Notice << "\n";
      });
  if (!Result.Verdict)
    return reportUnknown(Options, Result);
  return reportVerdict(Options, File, Result);
}

} // namespace

int runPublish(int Argc, char **Argv) {
  cxxopts::Options Options = describePublish();
  try {
    const PublishOptions Given = parsePublish(Options, Argc, Argv);
    if (Given.Help) {
      std::cout << Options.help();
      return ExitOk;
    }
    requireUsable(Given);
    return publish(Given);
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
