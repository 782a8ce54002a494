#include "sidecar/internal/Signals.h"

#include <csignal>
#include <initializer_list>

namespace lycheethread::sidecar {

namespace {

volatile std::sig_atomic_t StopRequested = 0;
volatile std::sig_atomic_t ReloadRequested = 0;

extern "C" void onSignal(int Signal) {
  if (Signal == SIGHUP)
    ReloadRequested = 1;
  else
    StopRequested = 1;
}

} // namespace

void installSignalHandlers() {
  struct sigaction Action {};
  Action.sa_handler = onSignal;
  sigemptyset(&Action.sa_mask);
  // Without SA_RESTART a signal interrupts the wait of the event loop.
  for (const int Signal : {SIGTERM, SIGINT, SIGHUP})
    sigaction(Signal, &Action, nullptr);
  struct sigaction Ignored {};
  Ignored.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &Ignored, nullptr);
}

PendingSignals takePendingSignals() {
  PendingSignals Found;
  if (StopRequested != 0) {
    StopRequested = 0;
    Found.Stop = true;
  }
  if (ReloadRequested != 0) {
    ReloadRequested = 0;
    Found.Reload = true;
  }
  return Found;
}

} // namespace lycheethread::sidecar
