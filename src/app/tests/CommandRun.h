#ifndef LYCHEETHREAD_APP_TESTS_COMMANDRUN_H
#define LYCHEETHREAD_APP_TESTS_COMMANDRUN_H

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace lycheethread::apptest {

/// Exit code and output of a command.
struct CommandResult {
  int Code = 0;
  std::string Out;
  std::string Err;
};

/// Captures the output to a stream during its lifetime.
class Capture {
public:
  explicit Capture(std::ostream &Stream)
      : Stream_(Stream), Original_(Stream.rdbuf(Text_.rdbuf())) {}
  ~Capture() { Stream_.rdbuf(Original_); }
  std::string text() const { return Text_.str(); }

private:
  std::ostream &Stream_;
  std::ostringstream Text_;
  std::streambuf *Original_;
};

inline CommandResult run(int (*Command)(int, char **),
                         std::vector<std::string> Arguments) {
  std::vector<char *> Argv;
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  const Capture Out(std::cout);
  const Capture Err(std::cerr);
  const int Code = Command(static_cast<int>(Arguments.size()), Argv.data());
  return {Code, Out.text(), Err.text()};
}

} // namespace lycheethread::apptest

#endif // LYCHEETHREAD_APP_TESTS_COMMANDRUN_H
