#include "app/internal/NonBlockingOutput.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace lycheethread::app {

namespace {

/// Bounds the memory that is used when the reader of standard output stalls.
constexpr std::size_t MaxPendingBytes = 256 * 1024;

bool isStdoutWritable() {
  pollfd Item{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&Item, 1, 0) > 0 && (Item.revents & POLLOUT) != 0;
}

} // namespace

NonBlockingOutput::NonBlockingOutput() {
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void NonBlockingOutput::consume(const boost::log::record_view &,
                                const std::string &Line) {
  if (Pending_.size() + Line.size() > MaxPendingBytes) {
    ++Dropped_;
    flush();
    return;
  }
  Pending_ += Line;
  Pending_ += '\n';
  flush();
  if (Pending_.empty() && Dropped_ > 0) {
    Pending_ = "log: " + std::to_string(Dropped_) +
               " lines were dropped because standard output was not read\n";
    Dropped_ = 0;
    flush();
  }
}

void NonBlockingOutput::flush() {
  // Polls before each write: another process that shares the descriptor may
  // have made it blocking again.
  while (!Pending_.empty() && isStdoutWritable()) {
    const ssize_t Count =
        ::write(STDOUT_FILENO, Pending_.data(), Pending_.size());
    if (Count <= 0)
      return;
    Pending_.erase(0, static_cast<std::size_t>(Count));
  }
}

} // namespace lycheethread::app
