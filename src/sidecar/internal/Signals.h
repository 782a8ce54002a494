#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H

namespace lycheethread::sidecar {

/// Signals that arrived since the last call of takePendingSignals().
struct PendingSignals {
  bool Stop = false;
  bool Reload = false;
};

/// Records SIGTERM, SIGINT and SIGHUP for takePendingSignals() and ignores
/// SIGPIPE.
void installSignalHandlers();

PendingSignals takePendingSignals();

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_SIGNALS_H
