#include "sidecar/internal/ServerRequest.h"
#include "sidecar/internal/ServerConnection.h"

namespace lycheethread::sidecar {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

ServerRequest::ServerRequest() : Shared(std::make_unique<State>()) {}

ServerRequest::~ServerRequest() = default;

const HTTPRequest &ServerRequest::head() const { return Shared->Head; }

const http::Framing &ServerRequest::framing() const { return Shared->Body; }

const BodyPipePtr &ServerRequest::body() const { return Shared->Pipe; }

bool ServerRequest::hasPeerClosed() const {
  return Shared->Gone || Shared->ClosedBefore;
}

bool ServerRequest::isAnswered() const { return Shared->Answered; }

bool ServerRequest::isFirst() const {
  const auto From = Shared->From.lock();
  return From && !Shared->Gone && From->isFirst(Shared->Number);
}

bool ServerRequest::isPipelined() const { return Shared->Pipelined; }

void ServerRequest::onFirst(std::function<void()> Callback) {
  Shared->OnFirst = std::move(Callback);
}

void ServerRequest::onGone(std::function<void()> Callback) {
  Shared->OnGone = std::move(Callback);
}

void ServerRequest::sendContinue() {
  const auto From = Shared->From.lock();
  if (From && !Shared->Gone && !Shared->Answered)
    From->sendContinue(Shared->Number);
}

void ServerRequest::answer(HTTPResponse &Head, const BodyPipePtr &Body,
                           std::int64_t KnownLength) {
  const auto From = Shared->From.lock();
  if (!From || Shared->Gone || Shared->Answered)
    return;
  Shared->Answered = true;
  From->answer(Shared->Number, Head, Body, KnownLength);
}

void ServerRequest::answer(int Status, const std::string &Body,
                           const std::string &ContentType) {
  HTTPResponse Head(static_cast<HTTPResponse::HTTPStatus>(Status));
  Head.setContentType(ContentType);
  answer(Head, BodyPipe::complete(Body));
}

} // namespace lycheethread::sidecar
