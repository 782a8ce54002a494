#include "model/types/DocumentSchema.h"
#include "model/types/Checks.h"

namespace lycheethread {

namespace {

constexpr std::int64_t MaxRevision = 1'000'000'000;
constexpr std::int64_t MaxBodyBytes = 1LL << 40;
constexpr std::int64_t MaxTimeoutMs = 3'600'000;
constexpr std::int64_t MaxStepSeconds = 86'400;

KeyRule text(const char *Name, const std::string &Allowed) {
  return {Name, true, "", "", Allowed};
}

KeyRule optionalText(const char *Name, const char *Default,
                     const std::string &Allowed) {
  return {Name, false, "", Default, Allowed};
}

KeyRule number(const char *Name, const char *Unit, const char *Default,
               std::int64_t Min, std::int64_t Max) {
  const std::string Allowed =
      std::to_string(Min) + " to " + std::to_string(Max);
  const bool Required = *Default == '\0';
  return {Name, Required, Unit, Default, Allowed, Min, Max};
}

SectionRule serviceSection() {
  return {"service",
          false,
          {text("name", AllowedNameText), text("team", AllowedNameText),
           number("builds_on", "revision", "", 0, MaxRevision)}};
}

SectionRule limitsSection() {
  return {"limits",
          false,
          {number("slots", "requests", "20", 1, 10'000),
           number("connections", "connections", "110", 1, 100'000),
           number("queue", "requests", "40", 0, 100'000),
           number("caller_share_percent", "percent", "50", 1, 100),
           number("retry_budget_percent", "percent", "10", 0, 100)}};
}

SectionRule upstreamsSection() {
  return {"upstreams",
          true,
          {text("versions", "one version, or two that a move connects")}};
}

SectionRule moveSection() {
  KeyRule Steps =
      optionalText("steps_percent", "1, 5, 25, 50, 100",
                   "1 to 20 rising values, 0.1 to 100 with at most one "
                   "decimal, the last is 100");
  Steps.Unit = "percent";
  KeyRule FinishBy = text("finish_by", "a time as 2026-12-05T18:00:00Z");
  FinishBy.Unit = "UTC, ISO 8601";
  return {"move",
          true,
          {text("from", "a version of the group"),
           text("to", "the other version of the group"), FinishBy, Steps,
           number("step_seconds", "seconds", "30", 1, MaxStepSeconds)}};
}

SectionRule usesSection() {
  return {"uses",
          true,
          {text("service", "the name of another service"),
           text("upstreams", "a group of that service")}};
}

SectionRule resourceSection() {
  return {"resource",
          true,
          {number("max_body_bytes", "bytes", "", 0, MaxBodyBytes)}};
}

SectionRule routeSection() {
  return {"route",
          true,
          {text("path", "/ or a prefix such as /orders: printable ASCII "
                        "without white space, '?', '#', empty or dot "
                        "segments, at most 1024 characters"),
           text("class", "repeatable, once-only or upload"),
           text("upstreams", "a group of this document"),
           number("timeout_ms", "milliseconds", "", 1, MaxTimeoutMs),
           optionalText("resource", "", "a resource of this document")}};
}

} // namespace

const std::vector<SectionRule> &documentSchema() {
  static const std::vector<SectionRule> Schema = {
      serviceSection(), limitsSection(),   upstreamsSection(), moveSection(),
      usesSection(),    resourceSection(), routeSection()};
  return Schema;
}

} // namespace lycheethread
