#include "metrics/internal/Exposition.h"

#include "metrics/Metrics.h"

#include <array>
#include <cstdio>
#include <utility>

namespace lycheethread::metrics {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

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

std::string formatNumber(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.9g", Value);
  return Text.data();
}

std::string formatLabels(const SeriesKey &Key) {
  return "caller=\"" + escapeLabel(Key.Caller.str()) + "\",class=\"" +
         std::string(toString(Key.Class)) + "\",hop=\"" +
         (Key.At == Hop::Entry ? "entry" : "last-hop") + "\"";
}

void writeHistogram(std::string &Out, const Family &Of,
                    const std::string &Labels, const Histogram &Values) {
  const std::string Start = std::string(Of.Name) + "_bucket{" + Labels;
  std::size_t Bucket = 0;
  std::uint64_t CumulativeCount = 0;
  for (int Bound = Of.FirstBound; Bound <= Of.LastBound;
       Bound += Of.BoundStep) {
    const std::int64_t Limit = std::int64_t(1) << Bound;
    while (Bucket < BucketCount && upperBound(Bucket) <= Limit)
      CumulativeCount += Values.buckets()[Bucket++];
    Out += Start + ",le=\"" +
           formatNumber(static_cast<double>(Limit) / Of.Scale) + "\"} " +
           std::to_string(CumulativeCount) + "\n";
  }
  const std::string Count = std::to_string(Values.count());
  Out += Start + ",le=\"+Inf\"} " + Count + "\n";
  Out += std::string(Of.Name) + "_sum{" + Labels + "} " +
         formatNumber(static_cast<double>(Values.sum()) / Of.Scale) + "\n";
  Out += std::string(Of.Name) + "_count{" + Labels + "} " + Count + "\n";
}

void writeHeader(std::string &Out, const char *Name, const char *Help,
                 const char *Type) {
  Out += std::string("# HELP ") + Name + " " + Help + "\n# TYPE " + Name + " " +
         Type + "\n";
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

std::string escapeLabel(const std::string &Value) {
  std::string Result;
  for (const char Each : Value) {
    if (Each == '\n') {
      Result += "\\n";
      continue;
    }
    if (Each == '\\' || Each == '"')
      Result += '\\';
    Result += Each;
  }
  return Result;
}

std::string writeExposition(const RequestMetrics &Requests,
                            const TrafficMetrics &Traffic) {
  std::array<std::string, Families.size()> Texts;
  for (std::size_t I = 0; I < Families.size(); ++I)
    writeHeader(Texts[I], Families[I].Name, Families[I].Help, "histogram");
  Requests.forEach([&Texts](const SeriesKey &Key, const Series &Values) {
    const std::string Labels = formatLabels(Key);
    for (std::size_t I = 0; I < Families.size(); ++I)
      writeHistogram(Texts[I], Families[I], Labels,
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
