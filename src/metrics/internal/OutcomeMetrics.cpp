#include "metrics/internal/OutcomeMetrics.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>

namespace lycheethread::metrics {

namespace {

using organisations::OrganisationId;

/// Outcomes for which a counter has room before it allocates again.
constexpr std::size_t UsualOutcomes = 8;

void count(OutcomeCounts &In, const RequestOutcome &Outcome) {
  // The few outcomes of one series are found sooner in a list than in a map.
  for (OutcomeCount &Item : In)
    if (Item.Outcome == Outcome) {
      ++Item.Count;
      return;
    }
  In.push_back({Outcome, 1});
}

/// A refusal after a millisecond is no time that the organisation had to wait,
/// and a caller who leaves tells nothing about the end.
bool hasLatency(const RequestOutcome &Outcome) {
  return Outcome.End == RequestEnd::Answered ||
         Outcome.End == RequestEnd::Failed;
}

bool isRefusal(const RequestOutcome &Outcome, RefusalReason Reason) {
  return Outcome.End == RequestEnd::Refused && Outcome.Reason == Reason;
}

OrganisationSeries copyOf(const OrganisationSeries &Series) {
  OrganisationSeries Copy;
  Copy.Organisation = Series.Organisation;
  for (std::size_t I = 0; I < Series.Classes.size(); ++I)
    if (Series.Classes[I])
      Copy.Classes[I] = std::make_unique<OutcomeSeries>(*Series.Classes[I]);
  return Copy;
}

} // namespace

std::string_view toString(const RequestOutcome &Outcome) {
  switch (Outcome.End) {
  case RequestEnd::Answered:
    return "answered";
  case RequestEnd::Failed:
    return "failed";
  case RequestEnd::CallerLeft:
    return "caller-left";
  case RequestEnd::Refused:
    break;
  }
  return lycheethread::toString(Outcome.Reason);
}

struct OutcomeMetrics::Impl {
  mutable std::mutex Lock;
  std::unordered_map<OrganisationId, OrganisationSeries> Organisations;
  /// Of the organisations beyond MaxOrganisations.
  OrganisationSeries Others;
  /// Of the requests without an organisation.
  OrganisationSeries Without;
  EntryTotals Totals;

  Impl() { Others.Organisation = OrganisationId(OtherOrganisations); }

  OrganisationSeries &seriesOf(const OrganisationId &Organisation);
  void recordForOrganisation(const RequestSample &Sample);
  void recordTotals(const RequestSample &Sample);
};

OrganisationSeries &
OutcomeMetrics::Impl::seriesOf(const OrganisationId &Organisation) {
  if (Organisation.empty())
    return Without;
  const auto Found = Organisations.find(Organisation);
  if (Found != Organisations.end())
    return Found->second;
  // An organisation that is named like the sum of the others must not give a
  // second series with the same labels.
  if (Organisations.size() >= MaxOrganisations ||
      Organisation == Others.Organisation)
    return Others;
  OrganisationSeries &Added = Organisations[Organisation];
  Added.Organisation = Organisation;
  return Added;
}

void OutcomeMetrics::Impl::recordForOrganisation(const RequestSample &Sample) {
  std::unique_ptr<OutcomeSeries> &Slot =
      seriesOf(Sample.Organisation)
          .Classes.at(static_cast<std::size_t>(Sample.Class));
  if (!Slot) {
    Slot = std::make_unique<OutcomeSeries>();
    Slot->Outcomes.reserve(UsualOutcomes);
  }
  count(Slot->Outcomes, *Sample.Outcome);
  if (hasLatency(*Sample.Outcome) && !Sample.Organisation.empty())
    Slot->Latency.add(Sample.Latency.count());
}

void OutcomeMetrics::Impl::recordTotals(const RequestSample &Sample) {
  if (Sample.IsNestedCall)
    count(Totals.NestedCalls, *Sample.Outcome);
  if (Sample.IsPipelined)
    count(Totals.Pipelined, *Sample.Outcome);
  if (isRefusal(*Sample.Outcome, RefusalReason::UnknownKey))
    ++Totals.UnknownKeys;
  else if (isRefusal(*Sample.Outcome, RefusalReason::KeysUnconfirmed))
    ++Totals.UnconfirmedKeys;
}

OutcomeMetrics::OutcomeMetrics() : Impl_(std::make_unique<Impl>()) {}

OutcomeMetrics::~OutcomeMetrics() = default;

void OutcomeMetrics::record(const RequestSample &Sample) {
  if (!Sample.Outcome || Sample.At != Hop::Entry)
    return;
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->recordForOrganisation(Sample);
  Impl_->recordTotals(Sample);
}

std::vector<OrganisationSeries> OutcomeMetrics::organisations() const {
  std::vector<OrganisationSeries> Copies;
  {
    // Copies the series so that the lock, which requests need, is not held
    // while they are formatted.
    const std::lock_guard<std::mutex> Guard(Impl_->Lock);
    Copies.reserve(Impl_->Organisations.size() + 2);
    for (const auto &Item : Impl_->Organisations)
      Copies.push_back(copyOf(Item.second));
    Copies.push_back(copyOf(Impl_->Others));
    Copies.push_back(copyOf(Impl_->Without));
  }
  std::sort(Copies.begin(), Copies.end(),
            [](const OrganisationSeries &L, const OrganisationSeries &R) {
              return L.Organisation < R.Organisation;
            });
  return Copies;
}

EntryTotals OutcomeMetrics::totals() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return Impl_->Totals;
}

} // namespace lycheethread::metrics
