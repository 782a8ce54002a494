#include "app/internal/StoredConfiguration.h"

#include "platform/Platform.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <limits>

namespace lycheethread::app {

namespace {

using sidecar::StoreItem;
using sidecar::StoreRead;

constexpr int TimeoutSeconds = 3;

/// Returns one page of the operator's topic. Throws Poco::Exception if there
/// is no connection or no answer.
StoreRead readPage(const Endpoint &Store,
                   const sidecar::StoreProtocol &Protocol,
                   const std::string &After) {
  const sidecar::StoreCall Call =
      Protocol.Newest(sidecar::StoreTopic::Operator, After);
  Poco::Net::HTTPClientSession Session(Store.Address, Store.Port);
  Session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
  Poco::Net::HTTPRequest Request(Call.Method, Call.Target, "HTTP/1.1");
  Session.sendRequest(Request);
  Poco::Net::HTTPResponse Response;
  std::string Body;
  Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Body);
  StoreRead Read = Protocol.ParseNewest(Response.getStatus(), Body);
  if (Read.Outcome != sidecar::StoreOutcome::Done)
    throw StoreUnavailable("the answer of the store, with HTTP status " +
                           std::to_string(Response.getStatus()) +
                           ", cannot be used");
  return Read;
}

} // namespace

std::optional<Endpoint> parseStoreAddress(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  unsigned Port = 0;
  if (Colon == 0 || Colon == std::string::npos ||
      !Poco::NumberParser::tryParseUnsigned(Text.substr(Colon + 1), Port) ||
      Port == 0 || Port > std::numeric_limits<std::uint16_t>::max())
    return std::nullopt;
  return Endpoint{Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

std::string readStoredConfiguration(const Endpoint &Store) {
  const sidecar::PlatformProtocol Platform = platform::makePlatformProtocol();
  const std::string &Key = Platform.Operator.ConfigKey;
  std::string After;
  try {
    // One page holds the records of an operator unless there are very many.
    while (true) {
      const StoreRead Page = readPage(Store, Platform.Store, After);
      const auto Found = std::find_if(
          Page.Items.begin(), Page.Items.end(),
          [&Key](const StoreItem &Item) { return Item.Key == Key; });
      if (Found != Page.Items.end() && !Found->Value.empty())
        return Found->Value;
      if (Found != Page.Items.end() || !Page.HasMore || Page.Items.empty() ||
          Page.Items.back().Key == After)
        throw StoreUnavailable("the store holds no configuration");
      After = Page.Items.back().Key;
    }
  } catch (const Poco::Exception &Error) {
    throw StoreUnavailable("no answer: " + Error.displayText());
  }
}

} // namespace lycheethread::app
