#ifndef LYCHEETHREAD_METRICS_INTERNAL_TEXTFORMAT_H
#define LYCHEETHREAD_METRICS_INTERNAL_TEXTFORMAT_H

#include "metrics/internal/Histogram.h"

#include <string>
#include <vector>

namespace lycheethread::metrics {

inline constexpr double MicrosecondsPerSecond = 1e6;

/// One finite bucket of an exposed histogram.
struct ExposedBound {
  std::int64_t Limit = 0;
  /// Limit in the exposed unit.
  std::string Text;
};

/// How the histograms of one family are exposed.
struct HistogramFormat {
  std::string Name;
  /// Recorded units per exposed unit.
  double Scale = 1;
  std::vector<ExposedBound> Bounds;
};

/// Returns a format with the bounds 2^\p First, 2^(\p First + \p Step) to
/// 2^\p Last of the recorded unit.
HistogramFormat makeHistogramFormat(const char *Name, double Scale, int First,
                                    int Last, int Step);

/// Appends the comments that precede the samples of a family.
void writeHeader(std::string &Out, const char *Name, const char *Help,
                 const char *Type);

/// Appends the lines of one histogram. \p Labels are without the braces.
void writeHistogram(std::string &Out, const HistogramFormat &Format,
                    const std::string &Labels, const Histogram &Values);

/// Appends one line. \p Labels may be empty.
void writeCount(std::string &Out, const char *Name, const std::string &Labels,
                std::int64_t Value);

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_INTERNAL_TEXTFORMAT_H
