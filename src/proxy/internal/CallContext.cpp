#include "proxy/internal/CallContext.h"
#include "proxy/internal/Clock.h"
#include "proxy/internal/HttpConnection.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>

namespace lycheethread::proxy {

namespace {

using Poco::Net::HTTPRequest;

constexpr std::size_t MaxIdBytes = 128;
/// Limit for routes without a resource.
constexpr ByteCount DefaultMaxBody{256LL * 1024 * 1024};
constexpr std::size_t PrefixSize = 3;

bool isIdByte(char Byte) { return Byte > ' ' && Byte < 0x7f; }

std::string readId(const HTTPRequest &Request, const std::string &Name) {
  const std::string &Text = Request.get(Name, Poco::Net::HTTPMessage::EMPTY);
  if (Text.size() > MaxIdBytes ||
      !std::all_of(Text.begin(), Text.end(), isIdByte))
    throw BadMessage(Name + " is not valid");
  return Text;
}

std::int64_t readNumber(const HTTPRequest &Request, const std::string &Name,
                        std::int64_t Default) {
  if (!Request.has(Name))
    return Default;
  Poco::Int64 Value = 0;
  if (!Poco::NumberParser::tryParse64(Request.get(Name), Value) || Value < 0)
    throw BadMessage(Name + " is not a number");
  return Value;
}

bool isInternalHeader(const std::string &Name) {
  return Name.size() > PrefixSize && (Name[0] == 'l' || Name[0] == 'L') &&
         (Name[1] == 't' || Name[1] == 'T') && Name[2] == '-';
}

} // namespace

ServiceName CallContext::service() const {
  return Match.Name == nullptr ? ServiceName() : *Match.Name;
}

RouteName CallContext::route() const {
  return Match.Found == nullptr ? RouteName() : Match.Found->Name;
}

CallContext readContext(const HTTPRequest &Request, SteadyTime ReceivedAt,
                        Milliseconds MaxDuration) {
  CallContext Call;
  Call.ReceivedAt = ReceivedAt;
  Call.Deadline = after(ReceivedAt, MaxDuration);
  Call.Id = RequestId(readId(Request, headers::RequestIdName));
  Call.Caller = CallerId(readId(Request, headers::CallerName));
  // The upstream may go by another line than this node.
  if (http::countOf(Request, headers::KeyName) > 1)
    throw BadMessage(headers::KeyName + " stands more than once");
  Call.Key = IdempotencyKey(readId(Request, headers::KeyName));
  const std::int64_t Depth = readNumber(Request, headers::DepthName, 0);
  Call.Depth = static_cast<std::int32_t>(std::min<std::int64_t>(Depth, 1000));
  const std::int64_t Remaining =
      readNumber(Request, headers::DeadlineName, MaxDuration.count());
  Call.Deadline =
      after(ReceivedAt, std::min(MaxDuration, Milliseconds(Remaining)));
  return Call;
}

void applyRoute(CallContext &Call, const HTTPRequest &Request,
                std::shared_ptr<const requests::RoutingView> View) {
  Call.View = std::move(View);
  Call.Match = requests::findRoute(
      *Call.View, Request.get(HTTPRequest::HOST, ""), Request.getURI());
  const Route *Found = Call.Match.Found;
  if (Found == nullptr)
    return;
  Call.Class = Found->Class;
  if (Found->Timeout > Milliseconds(0))
    Call.Deadline =
        std::min(Call.Deadline, after(Call.ReceivedAt, Found->Timeout));
}

HTTPRequest makeForwardedRequest(const HTTPRequest &Request,
                                 const CallContext &Call) {
  HTTPRequest Forwarded(Request.getMethod(), Request.getURI(),
                        Poco::Net::HTTPMessage::HTTP_1_1);
  copyEndToEndHeaders(Request, Forwarded);
  for (auto It = Forwarded.begin(); It != Forwarded.end();)
    if (isInternalHeader(It->first)) {
      const std::string Name = It->first;
      Forwarded.erase(Name);
      It = Forwarded.begin();
    } else {
      ++It;
    }
  Forwarded.add(headers::RequestIdName, Call.Id.str());
  const std::int64_t Remaining =
      std::max<std::int64_t>(1, timeLeft(Call.Deadline).count());
  Forwarded.add(headers::DeadlineName, std::to_string(Remaining));
  Forwarded.add(headers::DepthName, std::to_string(Call.Depth));
  Forwarded.add(headers::CallerName, Call.Caller.str());
  Forwarded.add(headers::ClassName, std::string(toString(Call.Class)));
  Forwarded.add(headers::AttemptName, std::to_string(Call.Attempt));
  return Forwarded;
}

ByteCount bodyLimit(const CallContext &Call) {
  const Route *Found = Call.Match.Found;
  if (Found == nullptr || !Found->Limit)
    return DefaultMaxBody;
  const auto It = Call.Match.Service->Resources.find(*Found->Limit);
  return It == Call.Match.Service->Resources.end() ? DefaultMaxBody
                                                   : It->second.MaxBody;
}

} // namespace lycheethread::proxy
