#include "sidecar/internal/EvacuatedZones.h"

namespace lycheethread::sidecar {

namespace {

void log(NodeContext &Context, const char *Event,
         const std::set<AvailabilityZone> &Zones) {
  for (const AvailabilityZone &Zone : Zones)
    Context.Log.write(
        LogClass::State, Context.now(), Event,
        {{"zone", Zone.str()},
         {"own", Zone == Context.Settings.At.Zone ? "yes" : "no"}});
}

} // namespace

std::set<AvailabilityZone> evacuatedZones(const NodeContext &Context) {
  std::set<AvailabilityZone> Zones;
  for (const auto &[Key, Record] : Context.Records.Items) {
    if (isRemoval(Record))
      continue;
    const auto Zone =
        Context.Platform.Operator.Evacuation({Key, Record.Value, Record.At});
    if (Zone)
      Zones.insert(*Zone);
  }
  return Zones;
}

void updateEvacuation(NodeContext &Context) {
  const mesh::EvacuationChange Change = mesh::updateEvacuation(
      Context.Evacuated, evacuatedZones(Context), Context.now());
  log(Context, "zone-evacuated", Change.Evacuated);
  log(Context, "zone-returned", Change.Returned);
}

bool isOwnZoneEvacuated(const NodeContext &Context) {
  return mesh::isEvacuated(Context.Evacuated, Context.Settings.At.Zone);
}

std::string evacuationMetrics(const NodeContext &Context, std::size_t Running) {
  std::string Zones;
  for (const auto &[Zone, Item] : Context.Evacuated.Zones)
    if (Item.IsEvacuated)
      Zones += "lycheethread_evacuated_zone{zone=\"" +
               metrics::escapeLabel(Zone.str()) + "\"} 1\n";
  if (Zones.empty())
    return "";
  std::string Text = "# HELP lycheethread_evacuated_zone Zones that get no "
                     "requests.\n# TYPE lycheethread_evacuated_zone gauge\n" +
                     Zones;
  if (isOwnZoneEvacuated(Context))
    Text +=
        "# HELP lycheethread_evacuated_running Requests that still run at the "
        "upstream of this node while its zone is evacuated.\n"
        "# TYPE lycheethread_evacuated_running gauge\n"
        "lycheethread_evacuated_running " +
        std::to_string(Running) + "\n";
  return Text;
}

} // namespace lycheethread::sidecar
