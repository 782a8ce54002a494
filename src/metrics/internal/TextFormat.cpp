#include "metrics/internal/TextFormat.h"
#include "metrics/Metrics.h"

#include <array>
#include <cstdio>
#include <utility>

namespace lycheethread::metrics {

namespace {

std::string formatNumber(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.9g", Value);
  return Text.data();
}

void appendBucket(std::string &Out, const std::string &Start,
                  const std::string &Bound, const std::string &Count) {
  Out.append(Start).append(",le=\"").append(Bound).append("\"} ");
  Out.append(Count).append("\n");
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

HistogramFormat makeHistogramFormat(const char *Name, double Scale, int First,
                                    int Last, int Step) {
  HistogramFormat Format;
  Format.Name = Name;
  Format.Scale = Scale;
  for (int Bound = First; Bound <= Last; Bound += Step) {
    const std::int64_t Limit = std::int64_t(1) << Bound;
    Format.Bounds.push_back(
        {Limit, formatNumber(static_cast<double>(Limit) / Scale)});
  }
  return Format;
}

void writeHeader(std::string &Out, const char *Name, const char *Help,
                 const char *Type) {
  Out.append("# HELP ").append(Name).append(" ").append(Help);
  Out.append("\n# TYPE ").append(Name).append(" ").append(Type).append("\n");
}

void writeHistogram(std::string &Out, const HistogramFormat &Format,
                    const std::string &Labels, const Histogram &Values) {
  const std::string Start = Format.Name + "_bucket{" + Labels;
  std::size_t Bucket = 0;
  std::uint64_t CumulativeCount = 0;
  for (const ExposedBound &Bound : Format.Bounds) {
    while (Bucket < BucketCount && upperBound(Bucket) <= Bound.Limit)
      CumulativeCount += Values.buckets()[Bucket++];
    appendBucket(Out, Start, Bound.Text, std::to_string(CumulativeCount));
  }
  const std::string Count = std::to_string(Values.count());
  appendBucket(Out, Start, "+Inf", Count);
  Out.append(Format.Name).append("_sum{").append(Labels).append("} ");
  Out += formatNumber(static_cast<double>(Values.sum()) / Format.Scale) + "\n";
  Out.append(Format.Name).append("_count{").append(Labels).append("} ");
  Out.append(Count).append("\n");
}

void writeCount(std::string &Out, const char *Name, const std::string &Labels,
                std::int64_t Value) {
  Out += Name;
  if (!Labels.empty())
    Out.append("{").append(Labels).append("}");
  Out.append(" ").append(std::to_string(Value)).append("\n");
}

} // namespace lycheethread::metrics
