#ifndef LYCHEETHREAD_REACTOR_TYPES_EVENTLOOP_H
#define LYCHEETHREAD_REACTOR_TYPES_EVENTLOOP_H

#include "model/Model.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lycheethread::reactor {

/// A timer of one event loop; the default value names none.
using TimerId = StrongNumber<struct TimerIdTag>;

/// Which readiness of a descriptor is reported. A closed or failed peer is
/// always reported.
struct Interest {
  bool Read = true;
  bool Write = false;
};

/// What a descriptor is ready for.
struct Readiness {
  bool Readable = false;
  bool Writable = false;
  /// The peer has closed its side, or the connection has failed.
  bool PeerClosed = false;
};

/// Waits for descriptors and timers, and calls back one event at a time.
class EventLoop {
public:
  /// Throws std::system_error when the system gives no descriptor.
  EventLoop();
  ~EventLoop();

  /// Time of the present round of events; it does not change within a call.
  SteadyTime now() const;

  void watch(int Descriptor, Interest Wanted,
             std::function<void(Readiness)> OnReady);
  void change(int Descriptor, Interest Wanted);
  /// No callback follows, also for events already collected.
  void unwatch(int Descriptor);

  TimerId runAfter(Milliseconds Delay, std::function<void()> Task);
  /// Does nothing for a timer that has run or names none.
  void cancel(TimerId &Timer);
  /// Runs \p Task after the present callback has returned.
  void defer(std::function<void()> Task);

  /// Runs until stop(). \p OnIteration is called after each wait, also when a
  /// signal has interrupted it.
  void run(const std::function<void()> &OnIteration);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::reactor

#endif // LYCHEETHREAD_REACTOR_TYPES_EVENTLOOP_H
