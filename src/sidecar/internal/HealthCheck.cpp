#include "sidecar/internal/HealthCheck.h"
#include "sidecar/internal/UpstreamStatement.h"

#include <memory>
#include <utility>

namespace lycheethread::sidecar {

namespace {

using mesh::HealthAnswer;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// The upstream may be closing a connection that has been idle longer, and the
/// check would count as unanswered.
constexpr Milliseconds MaxIdle{300};

/// Without the header, an upstream that reports an error says nothing about
/// itself.
HealthAnswer readAnswer(const HTTPResponse &Head, const HeaderNames &Names) {
  const bool StatesTime = Head.has(Names.ColdTime);
  if (!StatesTime)
    return {http::isServerError(Head.getStatus())
                ? HealthAnswer::Kind::Unanswered
                : HealthAnswer::Kind::Answered,
            Milliseconds(0)};
  const auto ColdFor = readColdTime(Head.get(Names.ColdTime));
  if (!ColdFor)
    return {};
  return {HealthAnswer::Kind::Answered, *ColdFor};
}

} // namespace

void HealthCheck::start(const std::string &Path,
                        std::function<void(HealthAnswer)> OnEnd) {
  cancel();
  OnEnd_ = std::move(OnEnd);
  Timer_ =
      Context_.Loop.runAfter(mesh::HealthCheckTimeout, [this] { end({}); });
  connect(Path);
}

void HealthCheck::connect(const std::string &Path) {
  const Endpoint &To = Context_.Registered.Address;
  Connection_ = Pool_.take(To, MaxIdle);
  if (Connection_) {
    send(Path);
    return;
  }
  Connection_ =
      ClientConnection::open(Context_.Loop, To, mesh::HealthCheckTimeout);
  Connection_->OnConnected = [this, Path] {
    Connection_->OnIdleEnd = nullptr;
    send(Path);
  };
  Connection_->OnIdleEnd = [this] {
    end({HealthAnswer::Kind::ConnectionRefused, Milliseconds(0)});
  };
}

void HealthCheck::send(const std::string &Path) {
  HTTPRequest Head(HTTPRequest::HTTP_GET, Path, HTTPMessage::HTTP_1_1);
  Head.setHost(settings::toString(Connection_->peer()));
  ClientRequest Request;
  Request.Method = HTTPRequest::HTTP_GET;
  Request.Head = http::serialize(Head);
  ClientCallbacks Callbacks;
  // A check carries no request id, a late copy of an earlier answer does.
  Callbacks.Accept = [this](const HTTPResponse &Answer) {
    return Answer.get(Context_.Platform.Headers.RequestId, "").empty();
  };
  const auto Read = std::make_shared<HealthAnswer>();
  Callbacks.OnAnswer = [this, Read](const ClientAnswer &Answer) {
    *Read = readAnswer(Answer.Head, Context_.Platform.Headers);
    collectBody(Answer, std::make_shared<std::string>());
  };
  Callbacks.OnFailure = [this](ClientFailure) { end({}); };
  Callbacks.OnComplete = [this, Read] { end(*Read); };
  Connection_->start(std::move(Request), std::move(Callbacks));
}

void HealthCheck::end(HealthAnswer Answer) {
  const auto Callback = std::exchange(OnEnd_, nullptr);
  cancel();
  if (Callback)
    Callback(Answer);
}

void HealthCheck::cancel() {
  Context_.Loop.cancel(Timer_);
  Timer_ = reactor::TimerId();
  OnEnd_ = nullptr;
  const ClientConnectionPtr Kept = std::exchange(Connection_, nullptr);
  if (!Kept)
    return;
  Kept->OnConnected = nullptr;
  Kept->OnIdleEnd = nullptr;
  if (Kept->isConnected())
    Pool_.recycle(Kept);
  else
    Kept->close();
  // Stays alive until its own callback has returned.
  Context_.Loop.defer([Kept] {});
}

} // namespace lycheethread::sidecar
