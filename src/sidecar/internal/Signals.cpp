#include "sidecar/internal/Signals.h"

#include <csignal>
#include <initializer_list>

namespace lycheethread::sidecar {

namespace {

volatile std::sig_atomic_t StopCame = 0;
volatile std::sig_atomic_t ReloadCame = 0;

extern "C" void noteSignal(int Signal) {
  if (Signal == SIGHUP)
    ReloadCame = 1;
  else
    StopCame = 1;
}

} // namespace

void installSignalHandlers() {
  struct sigaction Action {};
  Action.sa_handler = noteSignal;
  sigemptyset(&Action.sa_mask);
  // Without SA_RESTART a signal ends the wait of the event loop.
  for (const int Signal : {SIGTERM, SIGINT, SIGHUP})
    sigaction(Signal, &Action, nullptr);
  struct sigaction Ignored {};
  Ignored.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &Ignored, nullptr);
}

PendingSignals takePendingSignals() {
  PendingSignals Found;
  if (StopCame != 0) {
    StopCame = 0;
    Found.Stop = true;
  }
  if (ReloadCame != 0) {
    ReloadCame = 0;
    Found.Reload = true;
  }
  return Found;
}

} // namespace lycheethread::sidecar
