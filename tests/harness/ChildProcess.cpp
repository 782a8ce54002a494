#include "ChildProcess.h"

#include <Poco/Process.h>

#include <csignal>
#include <sys/wait.h>
#include <thread>

namespace lycheethread::harness {

namespace {

constexpr std::chrono::milliseconds PollInterval{10};

// The shell redirects the output and is then replaced by the program, so that
// the process id is that of the program. With setpriv the kernel kills the
// program when the test is killed and cannot clean up.
constexpr const char *StartScript =
    R"(exec setpriv --pdeathsig KILL -- "$@" >>"$0" 2>&1)";

} // namespace

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Args,
                           const std::string &OutputFile) {
  Poco::Process::Args Shell{"-c", StartScript, OutputFile, Program};
  Shell.insert(Shell.end(), Args.begin(), Args.end());
  Id_ = Poco::Process::launch("/bin/sh", Shell).id();
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::reap(bool Block) {
  int Status = 0;
  if (ExitCode_ || ::waitpid(Id_, &Status, Block ? 0 : WNOHANG) != Id_)
    return;
  constexpr int SignalBase = 128;
  ExitCode_ =
      WIFSIGNALED(Status) ? SignalBase + WTERMSIG(Status) : WEXITSTATUS(Status);
}

bool ChildProcess::running() {
  reap(false);
  return !ExitCode_;
}

void ChildProcess::send(int Signal) {
  // After this process has been reaped, the kernel may give its id to another
  // process.
  if (running())
    ::kill(Id_, Signal);
}

void ChildProcess::terminate() { send(SIGTERM); }

void ChildProcess::kill() {
  send(SIGKILL);
  reap(true);
}

void ChildProcess::pause() { send(SIGSTOP); }

void ChildProcess::resume() { send(SIGCONT); }

std::optional<int> ChildProcess::waitFor(std::chrono::milliseconds Limit) {
  const auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (running() && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return ExitCode_;
}

} // namespace lycheethread::harness
