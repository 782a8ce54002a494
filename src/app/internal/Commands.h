#ifndef LYCHEETHREAD_APP_INTERNAL_COMMANDS_H
#define LYCHEETHREAD_APP_INTERNAL_COMMANDS_H

namespace lycheethread::app {

// Exit codes of all subcommands.

/// The command succeeded.
inline constexpr int ExitOk = 0;
/// Negative result: findings, a refused publication or an undone move.
inline constexpr int ExitRefused = 1;
/// Invalid command line.
inline constexpr int ExitUsage = 2;
/// Unknown result: the node or the log is unreachable, or a timeout expired.
inline constexpr int ExitUnavailable = 3;

/// Each function runs one subcommand and returns its exit code. Argv[0] is the
/// name of the subcommand. Errors go to standard error, results to standard
/// output.
int runNode(int Argc, char **Argv);
int runCheck(int Argc, char **Argv);
int runPublish(int Argc, char **Argv);
int runStatus(int Argc, char **Argv);
int runMoves(int Argc, char **Argv);
int runRefusals(int Argc, char **Argv);
int runExplain(int Argc, char **Argv);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_COMMANDS_H
