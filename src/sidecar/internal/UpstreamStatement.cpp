#include "sidecar/internal/UpstreamStatement.h"

#include <Poco/NumberFormatter.h>

namespace lycheethread::sidecar {

std::string rateText(const std::optional<double> &PerSecond) {
  return PerSecond ? Poco::NumberFormatter::format(*PerSecond) : "none";
}

UpstreamStatement readStatement(const Poco::Net::HTTPResponse &Head,
                                const HeaderNames &Names) {
  UpstreamStatement Read;
  Read.IsLeaving = Head.get(Names.Leaving, "") == "1";
  if (!Head.has(Names.Limit))
    return Read;
  Read.PerSecond = requests::parseRate(Head.get(Names.Limit));
  Read.IsUnreadable = !Read.PerSecond.has_value();
  return Read;
}

} // namespace lycheethread::sidecar
