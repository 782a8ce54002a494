#include "admin/internal/StatusServices.h"

namespace lycheethread::admin {

namespace {

namespace names = kernel::service_names;

template <typename T>
std::shared_ptr<T> findOptional(const kernel::ServiceRegistry &Registry,
                                const char *Name) {
  try {
    return Registry.find<T>(Name);
  } catch (const kernel::RegistryError &) {
    return nullptr;
  }
}

void appendGauge(std::string &Out, const char *Name, const char *Help,
                 std::int64_t Value) {
  Out += std::string("# HELP ") + Name + " " + Help + "\n# TYPE " + Name +
         " gauge\n" + Name + " " + std::to_string(Value) + "\n";
}

void appendRefusals(std::string &Out, const refusallog::RefusalStatus &From) {
  const char *Name = "lycheethread_refusals_total";
  Out += std::string("# HELP ") + Name +
         " Requests refused by this node.\n# TYPE " + Name + " counter\n";
  for (const refusallog::ReasonTotal &Each : From.Totals())
    Out += std::string(Name) + "{reason=\"" +
           std::string(toString(Each.Reason)) + "\",executed=\"" +
           std::string(toString(Each.ExecutionStatus)) + "\"} " +
           std::to_string(Each.Count) + "\n";
  appendGauge(Out, "lycheethread_refusals_unshipped",
              "Refusals not known to be in the log.", From.Unshipped());
}

} // namespace

StatusServices findStatusServices(const kernel::ServiceRegistry &Registry) {
  StatusServices Found;
  Found.Settings = Registry.find<settings::NodeSettings>(names::Settings);
  Found.Config = findOptional<kernel::SnapshotStore<config::ConfigState>>(
      Registry, names::Config);
  Found.Members = findOptional<kernel::SnapshotStore<std::vector<Member>>>(
      Registry, names::Members);
  Found.StoppedMoves =
      findOptional<kernel::SnapshotStore<moves::StoppedMoveSet>>(
          Registry, names::StoppedMoves);
  Found.Peers = findOptional<peer::PeerControl>(Registry, names::Peers);
  Found.Drain = findOptional<proxy::DrainControl>(Registry, names::Drain);
  Found.Metrics =
      findOptional<metrics::MetricsRegistry>(Registry, metrics::RegistryName);
  Found.Refusals =
      findOptional<refusallog::RefusalStatus>(Registry, refusallog::StatusName);
  return Found;
}

std::string writeMetrics(const StatusServices &From) {
  std::string Out;
  if (From.Metrics)
    Out += From.Metrics->Exposition();
  if (From.Refusals)
    appendRefusals(Out, *From.Refusals);
  if (From.Drain)
    appendGauge(Out, "lycheethread_requests_in_progress",
                "Requests at the entry and at the last hop.",
                From.Drain->InProgress());
  if (const auto Config = From.Config ? From.Config->load() : nullptr)
    appendGauge(Out, "lycheethread_config_position",
                "First offset of the control stream not yet in force.",
                Config->Position.value());
  return Out;
}

} // namespace lycheethread::admin
