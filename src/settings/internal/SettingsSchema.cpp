#include "settings/Settings.h"

namespace lycheethread::settings {

namespace {

constexpr const char *AllowedEndpoint = "ip:port, such as 10.0.0.7:8080";

KeyRule required(const char *Name, const std::string &Allowed) {
  return {Name, true, "", "", Allowed};
}

KeyRule optional(const char *Name, const char *Default,
                 const std::string &Allowed) {
  return {Name, false, "", Default, Allowed};
}

KeyRule number(const char *Name, const char *Unit, const char *Default,
               std::int64_t Min, std::int64_t Max) {
  return {Name,
          false,
          Unit,
          Default,
          std::to_string(Min) + " to " + std::to_string(Max),
          Min,
          Max};
}

std::vector<SectionRule> makeSidecarSchema() {
  return {
      {"node",
       false,
       {required("id", AllowedNameText), required("region", AllowedNameText),
        required("zone", AllowedNameText)}},
      {"listen",
       false,
       {required("outbound", AllowedEndpoint),
        required("inbound", AllowedEndpoint),
        required("readiness", AllowedEndpoint),
        required("check_ins", AllowedEndpoint),
        required("gossip", AllowedEndpoint),
        optional("metrics", "", AllowedEndpoint)}},
      {"upstream",
       false,
       {required("address", AllowedEndpoint),
        required("service", AllowedNameText),
        {"check_in_s", false, "s", "1.5", "0.01 to 60"}}},
      {"store", false, {required("address", AllowedEndpoint)}},
      {"peers",
       false,
       {optional("seeds", "", "ip:port of nodes, with commas")}},
      {"limits",
       false,
       {{"link_mbit", false, "Mbit/s", "1000", "0.1 to 1000000"}}},
      {"hedging", false, {{"max_share", false, "", "0", "0 to 0.5"}}},
      {"admission", false, {{"min_failed_runs", false, "", "0", "0 to 1"}}},
      {"platform",
       false,
       {optional("bounds", "", "name=value pairs, with commas")}},
      {"log_output",
       false,
       {optional("level", "info", "trace, debug, info, warning or error")}},
  };
}

std::vector<SectionRule> makeSchema() {
  return {
      {"node",
       false,
       {required("id", AllowedNameText), required("region", AllowedNameText),
        required("zone", AllowedNameText)}},
      {"listen",
       false,
       {required("requests", AllowedEndpoint), required("hop", AllowedEndpoint),
        required("control", AllowedEndpoint),
        required("admin", AllowedEndpoint),
        optional("announce", "", AllowedEndpoint)}},
      {"upstream",
       false,
       {required("address", AllowedEndpoint),
        required("service", AllowedNameText),
        required("group", AllowedNameText),
        required("version", AllowedNameText)}},
      {"log", false, {required("url", "http://ip:port")}},
      {"peers",
       false,
       {optional("seeds", "", "ip:port of control endpoints, with commas")}},
      {"limits",
       false,
       {number("max_connections", "connections", "512", 1, 20'000),
        number("drain_timeout_s", "s", "600", 1, 86'400)}},
      {"log_output",
       false,
       {optional("level", "info", "trace, debug, info, warning or error")}},
  };
}

} // namespace

const std::vector<SectionRule> &settingsSchema() {
  static const std::vector<SectionRule> Schema = makeSchema();
  return Schema;
}

const std::vector<SectionRule> &sidecarSchema() {
  static const std::vector<SectionRule> Schema = makeSidecarSchema();
  return Schema;
}

} // namespace lycheethread::settings
