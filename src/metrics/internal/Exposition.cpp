#include "metrics/internal/Exposition.h"

#include "metrics/Metrics.h"
#include "metrics/internal/TextFormat.h"

#include <array>

namespace lycheethread::metrics {

namespace {

/// Describes one family of exposed histograms.
struct Family {
  const char *Name;
  const char *Help;
  const Histogram Series::*Values;
  /// Recorded units per exposed unit.
  double Scale;
  /// Base-2 exponents of the first and the last finite bound, and the step
  /// between exponents.
  int FirstBound;
  int LastBound;
  int BoundStep;
};

// The bounds are powers of two of the recorded unit because these are exact
// bucket bounds: 256 us to 16.8 s, and 256 B to 1 GiB.
constexpr std::array<Family, 4> Families{{
    {"lycheethread_request_latency_seconds",
     "Time from the arrival of a request to the end of its response.",
     &Series::Latency, MicrosecondsPerSecond, 8, 24, 1},
    {"lycheethread_request_queue_seconds",
     "Time that a request waited for a slot.", &Series::QueueTime,
     MicrosecondsPerSecond, 8, 24, 2},
    {"lycheethread_request_size_bytes", "Body bytes of a request.",
     &Series::RequestSize, 1, 8, 30, 2},
    {"lycheethread_response_size_bytes", "Body bytes of a response.",
     &Series::ResponseSize, 1, 8, 30, 2},
}};

constexpr std::array<const char *, 8> KindNames{
    "probe", "feed", "fetch", "snapshot", "call", "rumour", "log", "data"};

std::string formatLabels(const SeriesKey &Key) {
  return "caller=\"" + escapeLabel(Key.Caller.str()) + "\",class=\"" +
         std::string(toString(Key.Class)) + "\",hop=\"" +
         (Key.At == Hop::Entry ? "entry" : "last-hop") + "\"";
}

void writeTraffic(std::string &Out, const char *Name, const char *Help,
                  const std::vector<TrafficTotal> &Totals, bool Bytes) {
  writeHeader(Out, Name, Help, "counter");
  for (const TrafficTotal &Each : Totals)
    Out += std::string(Name) + "{kind=\"" +
           KindNames.at(static_cast<std::size_t>(Each.Kind)) +
           "\",direction=\"" +
           (Each.Way == Direction::Sent ? "sent" : "received") +
           "\",cross_region=\"" + (Each.CrossRegion ? "yes" : "no") + "\"} " +
           std::to_string(Bytes ? Each.Bytes.value() : Each.Messages) + "\n";
}

} // namespace

std::string writeExposition(const RequestMetrics &Requests,
                            const TrafficMetrics &Traffic) {
  std::array<std::string, Families.size()> Texts;
  for (std::size_t I = 0; I < Families.size(); ++I)
    writeHeader(Texts[I], Families[I].Name, Families[I].Help, "histogram");
  std::vector<HistogramFormat> Formats;
  for (const Family &Each : Families)
    Formats.push_back(makeHistogramFormat(Each.Name, Each.Scale,
                                          Each.FirstBound, Each.LastBound,
                                          Each.BoundStep));
  Requests.forEach([&](const SeriesKey &Key, const Series &Values) {
    const std::string Labels = formatLabels(Key);
    for (std::size_t I = 0; I < Families.size(); ++I)
      writeHistogram(Texts[I], Formats[I], Labels,
                     Values.*(Families[I].Values));
  });
  std::string Out;
  for (const std::string &Text : Texts)
    Out += Text;
  const std::vector<TrafficTotal> Totals = Traffic.totals();
  writeTraffic(Out, "lycheethread_traffic_messages_total",
               "Messages between processes.", Totals, false);
  writeTraffic(Out, "lycheethread_traffic_bytes_total",
               "Bytes between processes above TCP and UDP.", Totals, true);
  return Out;
}

} // namespace lycheethread::metrics
