#include "app/internal/Commands.h"

#include <cstring>
#include <exception>
#include <iostream>
#include <string>

using namespace lycheethread::app;

namespace {

struct Command {
  const char *Name;
  int (*Run)(int Argc, char **Argv);
  const char *Help;
};

constexpr Command Commands[] = {
    {"node", runNode, "run the node beside an upstream"},
    {"check", runCheck, "check service documents and configurations"},
    {"publish", runPublish, "publish a service document"},
    {"status", runStatus, "show what a node knows and does"},
    {"moves", runMoves, "list version moves with outcome and evidence"},
    {"refusals", runRefusals, "list which callers were refused, when and why"},
    {"explain", runExplain, "show what nodes logged about one request"},
};

void printHelp(std::ostream &Out) {
  Out << "Usage: lycheethread COMMAND [OPTION...]\n\nCommands:\n";
  for (const Command &Entry : Commands) {
    Out << "  " << Entry.Name << std::string(12 - std::strlen(Entry.Name), ' ')
        << Entry.Help << "\n";
  }
  Out << "\nlycheethread COMMAND --help describes one command.\n"
         "lycheethread --version prints the version.\n\n"
         "Exit codes: 0 done, 1 refused or findings, 2 wrong usage, "
         "3 result not known.\n";
}

int run(const Command &Selected, int Argc, char **Argv) {
  try {
    return Selected.Run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << "lycheethread " << Selected.Name << ": " << Error.what()
              << "\n";
    return ExitUsage;
  }
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string Name = Argc > 1 ? Argv[1] : "";
  if (Name == "--help" || Name == "-h") {
    printHelp(std::cout);
    return ExitOk;
  }
  if (Name == "--version") {
    std::cout << "lycheethread " LYCHEETHREAD_VERSION "\n";
    return ExitOk;
  }
  for (const Command &Entry : Commands)
    if (Name == Entry.Name)
      return run(Entry, Argc - 1, Argv + 1);
  if (!Name.empty())
    std::cerr << "lycheethread: unknown command \"" << Name << "\"\n";
  printHelp(std::cerr);
  return ExitUsage;
}
