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

bool isAnswerTo(const Poco::Net::HTTPResponse &Head, const HeaderNames &Names,
                const RequestId &Id, bool WasUsedBefore) {
  if (Id.empty())
    return true;
  if (Head.has(Names.RequestId))
    return Head.get(Names.RequestId) == Id.str();
  // The upstream may reject a request before it has read the id. On a
  // connection that was used before, it may be a late copy of an earlier
  // rejection, and this request may be running.
  return !WasUsedBefore &&
         (Head.has(Names.NotExecuted) ||
          Head.getStatus() ==
              Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST);
}

} // namespace lycheethread::sidecar
