#ifndef LYCHEETHREAD_APP_INTERNAL_COMMANDS_H
#define LYCHEETHREAD_APP_INTERNAL_COMMANDS_H

namespace lycheethread::app {

/// Exit codes of every subcommand.
inline constexpr int ExitOk = 0;
/// The answer is a clear no: findings, a refused publication, an undone move.
inline constexpr int ExitRefused = 1;
/// Wrong use of the command line.
inline constexpr int ExitUsage = 2;
/// The answer is not known: no contact, timeout.
inline constexpr int ExitUnavailable = 3;

/// Each takes the arguments from the subcommand's name on and returns the exit
/// code. Errors go to standard error, results to standard output.
int runNode(int Argc, char **Argv);
int runCheck(int Argc, char **Argv);
int runPublish(int Argc, char **Argv);
int runStatus(int Argc, char **Argv);
int runMoves(int Argc, char **Argv);
int runRefusals(int Argc, char **Argv);
int runExplain(int Argc, char **Argv);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_COMMANDS_H
