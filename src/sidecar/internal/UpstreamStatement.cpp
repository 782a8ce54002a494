#include "sidecar/internal/UpstreamStatement.h"

#include <Poco/NumberParser.h>

#include <cmath>

namespace lycheethread::sidecar {

UpstreamStatement readStatement(const Poco::Net::HTTPResponse &Head,
                                const HeaderNames &Names) {
  UpstreamStatement Read;
  Read.IsLeaving = Head.get(Names.Leaving, "") == "1";
  if (!Head.has(Names.Limit))
    return Read;
  double PerSecond = 0;
  if (Poco::NumberParser::tryParseFloat(Head.get(Names.Limit), PerSecond) &&
      std::isfinite(PerSecond) && PerSecond >= 0)
    Read.PerSecond = PerSecond;
  else
    Read.IsUnreadable = true;
  return Read;
}

} // namespace lycheethread::sidecar
