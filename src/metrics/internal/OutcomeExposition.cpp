#include "metrics/internal/OutcomeExposition.h"
#include "metrics/Metrics.h"
#include "metrics/internal/TextFormat.h"

namespace lycheethread::metrics {

namespace {

constexpr const char *LatencyName = "lycheethread_organisation_latency_seconds";
constexpr const char *RequestsName = "lycheethread_requests_total";
constexpr const char *KeysName = "lycheethread_key_refusals_total";
// 8 ms to 16.8 s: objectives are 150 ms and more, and with more bounds the
// exposition of 84 organisations would exceed 1 MB.
constexpr int FirstLatencyBound = 13;
constexpr int LastLatencyBound = 24;

std::string outcomeLabel(const RequestOutcome &Outcome) {
  return "outcome=\"" + std::string(toString(Outcome)) + "\"";
}

/// Calls \p Visit with the labels of each series that has had requests.
template <typename Visitor>
void forEachSeries(const std::vector<OrganisationSeries> &Organisations,
                   const Visitor &Visit) {
  for (const OrganisationSeries &Each : Organisations) {
    const std::string Start = "organisation=\"" +
                              escapeLabel(Each.Organisation.str()) +
                              "\",class=\"";
    for (std::size_t I = 0; I < Each.Classes.size(); ++I)
      if (Each.Classes[I])
        Visit(Start +
                  std::string(
                      lycheethread::toString(static_cast<RequestClass>(I))) +
                  "\"",
              *Each.Classes[I]);
  }
}

/// The first outcome is exposed from the start, so that the family exists
/// before the first request.
void writeTotals(std::string &Out, const char *Name, const char *Help,
                 const OutcomeCounts &Counts) {
  writeHeader(Out, Name, Help, "counter");
  if (Counts.empty())
    writeCount(Out, Name, outcomeLabel(RequestOutcome()), 0);
  for (const OutcomeCount &Item : Counts)
    writeCount(Out, Name, outcomeLabel(Item.Outcome),
               static_cast<std::int64_t>(Item.Count));
}

void writeKeys(std::string &Out, const EntryTotals &Totals) {
  writeHeader(Out, KeysName,
              "Requests refused for their key or because no key could be "
              "trusted.",
              "counter");
  writeCount(Out, KeysName,
             outcomeLabel({RequestEnd::Refused, RefusalReason::UnknownKey}),
             static_cast<std::int64_t>(Totals.UnknownKeys));
  writeCount(
      Out, KeysName,
      outcomeLabel({RequestEnd::Refused, RefusalReason::KeysUnconfirmed}),
      static_cast<std::int64_t>(Totals.UnconfirmedKeys));
}

} // namespace

std::string writeOutcomes(const std::vector<OrganisationSeries> &Organisations,
                          const EntryTotals &Totals) {
  std::string Out;
  const HistogramFormat Latency =
      makeHistogramFormat(LatencyName, MicrosecondsPerSecond, FirstLatencyBound,
                          LastLatencyBound, 1);
  writeHeader(Out, LatencyName,
              "Time from the arrival of an answered or failed request to its "
              "answer.",
              "histogram");
  forEachSeries(Organisations,
                [&](const std::string &Labels, const OutcomeSeries &Series) {
                  if (Series.Latency.count() > 0)
                    writeHistogram(Out, Latency, Labels, Series.Latency);
                });
  writeHeader(Out, RequestsName, "Finished requests at the entry.", "counter");
  forEachSeries(Organisations, [&](const std::string &Labels,
                                   const OutcomeSeries &Series) {
    for (const OutcomeCount &Item : Series.Outcomes)
      writeCount(Out, RequestsName, Labels + "," + outcomeLabel(Item.Outcome),
                 static_cast<std::int64_t>(Item.Count));
  });
  writeTotals(Out, "lycheethread_nested_calls_total",
              "Finished calls of the upstream beside the node.",
              Totals.NestedCalls);
  writeTotals(Out, "lycheethread_pipelined_requests_total",
              "Finished requests that were sent before the answer to an "
              "earlier one.",
              Totals.Pipelined);
  writeKeys(Out, Totals);
  return Out;
}

} // namespace lycheethread::metrics
