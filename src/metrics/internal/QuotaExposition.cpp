#include "metrics/Metrics.h"
#include "metrics/internal/TextFormat.h"

#include <array>

namespace lycheethread::metrics {

namespace {

struct QuotaFamily {
  const char *Name;
  const char *Help;
  std::int64_t QuotaCounts::*Count;
};

constexpr const char *OwnerName = "lycheethread_quota_owner";

constexpr std::array<QuotaFamily, 6> Families{{
    {"lycheethread_quota_granted_permits_used_total",
     "Requests that used a permit granted by the owner.",
     &QuotaCounts::FromGrants},
    {"lycheethread_quota_fallback_permits_used_total",
     "Requests that used a permit of the fallback share.",
     &QuotaCounts::FromFallback},
    {"lycheethread_quota_permits_returned_total",
     "Requests that returned their permit, since they were not run.",
     &QuotaCounts::Returned},
    {"lycheethread_quota_refused_total",
     "Requests refused because there was no permit.", &QuotaCounts::Refused},
    {"lycheethread_quota_asks_total", "Asks for permits.", &QuotaCounts::Asks},
    {"lycheethread_quota_asks_unanswered_total",
     "Asks that were given up without an answer.", &QuotaCounts::Unanswered},
}};

/// One exposed organisation.
struct QuotaRow {
  std::string Labels;
  QuotaCounts Counts;
  std::int64_t Owned = 0;
};

void addTo(QuotaRow &Row, const QuotaUse &Use) {
  for (const QuotaFamily &Each : Families)
    Row.Counts.*Each.Count += Use.Counts.*Each.Count;
  Row.Owned += Use.IsOwner ? 1 : 0;
}

QuotaRow makeRow(const std::string &Name) {
  return {"organisation=\"" + escapeLabel(Name) + "\"", {}, 0};
}

std::vector<QuotaRow> makeRows(const std::vector<QuotaUse> &Uses) {
  std::vector<QuotaRow> Rows;
  QuotaRow Others = makeRow(OtherOrganisations);
  bool HasOthers = false;
  for (const QuotaUse &Use : Uses) {
    if (Rows.size() >= MaxOrganisations ||
        Use.Organisation.str() == OtherOrganisations) {
      addTo(Others, Use);
      HasOthers = true;
      continue;
    }
    Rows.push_back(makeRow(Use.Organisation.str()));
    addTo(Rows.back(), Use);
  }
  if (HasOthers)
    Rows.push_back(Others);
  return Rows;
}

} // namespace

std::string quotaExposition(const std::vector<QuotaUse> &Uses) {
  if (Uses.empty())
    return "";
  const std::vector<QuotaRow> Rows = makeRows(Uses);
  std::string Out;
  for (const QuotaFamily &Each : Families) {
    writeHeader(Out, Each.Name, Each.Help, "counter");
    for (const QuotaRow &Row : Rows)
      writeCount(Out, Each.Name, Row.Labels, Row.Counts.*Each.Count);
  }
  writeHeader(Out, OwnerName,
              "Whether this node is the owner of the quota; the number of "
              "owned quotas for (other).",
              "gauge");
  for (const QuotaRow &Row : Rows)
    writeCount(Out, OwnerName, Row.Labels, Row.Owned);
  return Out;
}

} // namespace lycheethread::metrics
