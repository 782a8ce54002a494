#include "sidecar/internal/UpstreamStatement.h"

namespace lycheethread::sidecar {

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
