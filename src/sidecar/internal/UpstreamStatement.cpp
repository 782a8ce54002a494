#include "sidecar/internal/UpstreamStatement.h"

#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <cmath>

namespace lycheethread::sidecar {

namespace {

constexpr Milliseconds MaxColdTime{3'600'000};

} // namespace

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

std::optional<Milliseconds> readColdTime(const std::string &Text) {
  double Value = 0;
  if (!Poco::NumberParser::tryParseFloat(Text, Value) || !(Value >= 0))
    return std::nullopt;
  return Milliseconds(std::llround(
      std::ceil(std::min(Value, static_cast<double>(MaxColdTime.count())))));
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
