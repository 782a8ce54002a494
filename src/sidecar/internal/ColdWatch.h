#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_COLDWATCH_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_COLDWATCH_H

#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Keeps the limit for the upstream beside this node while it is cold up to
/// date with the configuration, its check-ins and its connections.
class ColdWatch {
public:
  /// \p Limit must outlive this object.
  ColdWatch(NodeContext &Context, mesh::ColdLimit &Limit)
      : Context_(Context), Limit_(Limit) {}

  /// Takes the rate of the registered service.
  void onConfig();
  void onCheckIn(bool IsNewProcess);
  void onLoss(mesh::ConnectionLoss Kind);

  /// Whether the upstream says that it is cold.
  bool isCold() const;

private:
  void log();

  NodeContext &Context_;
  mesh::ColdLimit &Limit_;
  /// The limit is in force, as logged last.
  bool IsLogged_ = false;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_COLDWATCH_H
