#include "metrics/Metrics.h"
#include "metrics/internal/Exposition.h"
#include "metrics/internal/OutcomeExposition.h"

namespace lycheethread::metrics {

namespace {

std::vector<QuantileRow> makeQuantileRows(const RequestMetrics &Requests) {
  std::vector<QuantileRow> Rows;
  Requests.forEach([&Rows](const SeriesKey &Key, const Series &Values) {
    QuantileRow Row;
    Row.Caller = Key.Caller;
    Row.Class = Key.Class;
    Row.At = Key.At;
    Row.Latency = Values.Latency.distribution();
    Row.QueueTime = Values.QueueTime.distribution();
    Row.RequestSize = Values.RequestSize.distribution();
    Row.ResponseSize = Values.ResponseSize.distribution();
    Rows.push_back(std::move(Row));
  });
  return Rows;
}

void registerServices(kernel::ServiceRegistry &Registry) {
  const auto Requests = std::make_shared<RequestMetrics>();
  const auto Outcomes = std::make_shared<OutcomeMetrics>();
  const auto Traffic = std::make_shared<TrafficMetrics>();

  auto Recorder = std::make_shared<RequestRecorder>();
  Recorder->Record = [Requests, Outcomes](const RequestSample &Sample) {
    Requests->record(Sample);
    Outcomes->record(Sample);
  };
  Registry.add(kernel::service_names::RequestMetrics, std::move(Recorder));

  auto Counter = std::make_shared<TrafficRecorder>();
  Counter->Record = [Traffic](const TrafficSample &Sample) {
    Traffic->record(Sample);
  };
  Registry.add(kernel::service_names::TrafficMetrics, std::move(Counter));

  auto Reader = std::make_shared<MetricsRegistry>();
  Reader->Exposition = [Requests, Outcomes, Traffic] {
    return writeExposition(*Requests, *Traffic) +
           writeOutcomes(Outcomes->organisations(), Outcomes->totals());
  };
  Reader->Quantiles = [Requests] { return makeQuantileRows(*Requests); };
  Reader->Traffic = [Traffic] { return Traffic->totals(); };
  Registry.add(RegistryName, std::move(Reader));
}

} // namespace

kernel::Module makeMetricsModule() {
  return {"metrics", registerServices, {}, {}};
}

} // namespace lycheethread::metrics
