#ifndef LYCHEETHREAD_TESTS_HARNESS_CHILDPROCESS_H
#define LYCHEETHREAD_TESTS_HARNESS_CHILDPROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::harness {

/// A program that ends with this object at the latest, and with the thread
/// that started it.
class ChildProcess {
public:
  /// Standard output and error go to \p OutputFile, at its end. Throws
  /// Poco::Exception when the shell cannot be started.
  ChildProcess(const std::string &Program, const std::vector<std::string> &Args,
               const std::string &OutputFile);
  /// Kills the process when it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  int id() const { return Id_; }
  bool running();
  /// SIGTERM.
  void terminate();
  /// SIGKILL, and waits for the end.
  void kill();
  /// SIGSTOP and SIGCONT.
  void pause();
  void resume();
  /// Exit code, 128 plus the signal for a killed process, or empty when it
  /// still runs after \p Limit.
  std::optional<int> waitFor(std::chrono::milliseconds Limit);

private:
  void send(int Signal);
  void reap(bool Block);

  int Id_ = 0;
  std::optional<int> ExitCode_;
};

} // namespace lycheethread::harness

#endif // LYCHEETHREAD_TESTS_HARNESS_CHILDPROCESS_H
