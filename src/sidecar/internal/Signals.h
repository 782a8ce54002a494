#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H

namespace lycheethread::sidecar {

/// Signals that came since the last look.
struct PendingSignals {
  bool Stop = false;
  bool Reload = false;
};

/// Notes SIGTERM, SIGINT and SIGHUP for takePendingSignals, and ignores
/// SIGPIPE.
void installSignalHandlers();

PendingSignals takePendingSignals();

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H
