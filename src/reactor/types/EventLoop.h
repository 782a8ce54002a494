#ifndef LYCHEETHREAD_REACTOR_TYPES_EVENTLOOP_H
#define LYCHEETHREAD_REACTOR_TYPES_EVENTLOOP_H

#include "model/Model.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lycheethread::reactor {

/// Identifies a timer of an event loop; the default value refers to none.
using TimerId = StrongNumber<struct TimerIdTag>;

/// Events of a descriptor to report. A peer that closed, or a connection that
/// failed, is always reported.
struct Interest {
  bool Read = true;
  bool Write = false;
};

/// Events reported for a descriptor.
struct Readiness {
  bool Readable = false;
  bool Writable = false;
  /// The peer has closed its side, or the connection has failed.
  bool PeerClosed = false;
};

/// Waits for descriptors and timers, and runs their callbacks one at a time.
class EventLoop {
public:
  /// Throws std::system_error when no epoll descriptor can be created.
  EventLoop();
  ~EventLoop();

  /// Returns the time of the current iteration; it does not change within a
  /// callback.
  SteadyTime now() const;

  void watch(int Descriptor, Interest Wanted,
             std::function<void(Readiness)> OnReady);
  void change(int Descriptor, Interest Wanted);
  /// Stops reporting the descriptor, including events that were already
  /// collected.
  void unwatch(int Descriptor);

  TimerId runAfter(Milliseconds Delay, std::function<void()> Task);
  /// Does nothing when the timer has already run or \p Timer refers to none.
  void cancel(TimerId &Timer);
  /// Runs \p Task from the loop after the current callback has returned.
  void defer(std::function<void()> Task);

  /// Runs until stop(). Calls \p OnIteration after each wait, also when a
  /// signal has interrupted it.
  void run(const std::function<void()> &OnIteration);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::reactor

#endif // LYCHEETHREAD_REACTOR_TYPES_EVENTLOOP_H
