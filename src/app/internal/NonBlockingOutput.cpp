#include "app/internal/NonBlockingOutput.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace lycheethread::app {

namespace {

/// Bounds the memory for a reader that has stopped.
constexpr std::size_t MaxPendingBytes = 256 * 1024;

bool takesData() {
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
               " lines were dropped because nobody read them\n";
    Dropped_ = 0;
    flush();
  }
}

void NonBlockingOutput::flush() {
  // The descriptor may be shared with a process that made it blocking again.
  while (!Pending_.empty() && takesData()) {
    const ssize_t Count =
        ::write(STDOUT_FILENO, Pending_.data(), Pending_.size());
    if (Count <= 0)
      return;
    Pending_.erase(0, static_cast<std::size_t>(Count));
  }
}

} // namespace lycheethread::app
