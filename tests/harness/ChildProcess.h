#ifndef LYCHEETHREAD_TESTS_HARNESS_CHILDPROCESS_H
#define LYCHEETHREAD_TESTS_HARNESS_CHILDPROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::harness {

/// A child process. It is killed when this object is destroyed, or when the
/// thread that started it ends.
class ChildProcess {
public:
  /// Starts the program and appends its standard output and error to
  /// \p OutputFile. Throws Poco::Exception when the shell cannot be started.
  ChildProcess(const std::string &Program, const std::vector<std::string> &Args,
               const std::string &OutputFile);
  /// Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  int id() const { return Id_; }
  bool running();
  /// Sends SIGTERM.
  void terminate();
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  /// Sends SIGSTOP.
  void pause();
  /// Sends SIGCONT.
  void resume();
  /// Waits until the process has ended. Returns the exit code, or 128 plus the
  /// signal that killed the process; empty if it still runs after \p Limit.
  std::optional<int> waitFor(std::chrono::milliseconds Limit);

private:
  void send(int Signal);
  void reap(bool Block);

  int Id_ = 0;
  std::optional<int> ExitCode_;
};

} // namespace lycheethread::harness

#endif // LYCHEETHREAD_TESTS_HARNESS_CHILDPROCESS_H
