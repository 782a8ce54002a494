#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H

namespace lycheethread::sidecar {

/// Signals that came since the last look.
struct PendingSignals {
  bool Stop = false;
  bool Reload = false;
};

/// Notes SIGTERM, SIGINT and SIGHUP for takeSignals, and ignores SIGPIPE.
void catchSignals();

PendingSignals takeSignals();

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H
