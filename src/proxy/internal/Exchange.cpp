#include "proxy/internal/Exchange.h"
#include "proxy/internal/Clock.h"

#include <array>
#include <cstdio>
#include <vector>

namespace lycheethread::proxy {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t StreamBufferBytes = 64 * 1024;
constexpr int FirstFinalStatus = 200;
constexpr int FirstErrorStatus = 400;
/// Maximum number of interim (1xx) responses before the final one.
constexpr int MaxInterimResponses = 8;

} // namespace

Exchange::Exchange(ConnectionPool &Pool, const Endpoint &Target,
                   SteadyTime Deadline)
    : Pool_(Pool), Target_(Target),
      Connection_(Pool.acquire(Target, Deadline)) {}

void Exchange::waitForPeer(const HttpConnection &Caller, SteadyTime Deadline) {
  if (CancelOnDisconnect_)
    Connection_->waitForInput(Deadline, Caller);
  else if (!Connection_->waitForInput(Deadline))
    throw ConnectionTimeout("no answer in time");
}

void Exchange::readResponseHead(SteadyTime Deadline) {
  Response_ = HTTPResponse();
  parseResponse(Connection_->readHead(Deadline), Response_);
}

void Exchange::readFinalHead(const HttpConnection &Caller,
                             SteadyTime Deadline) {
  for (int I = 0; I < MaxInterimResponses; ++I) {
    waitForPeer(Caller, Deadline);
    readResponseHead(Deadline);
    if (Response_.getStatus() < FirstFinalStatus)
      continue;
    HasResponse_ = true;
    return;
  }
  throw BadMessage("too many interim responses");
}

bool Exchange::hasEarlyResponse() {
  if (!HasResponse_ && !Connection_->hasInput())
    return false;
  return true;
}

void Exchange::sendPart(RequestBody &Body, std::string_view Part,
                        SteadyTime Deadline) {
  if (Body.framing().Kind != FramingKind::Chunked) {
    Connection_->write(Part, Deadline);
    return;
  }
  std::array<char, 24> Size{};
  const int Digits =
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Part.size());
  std::string Chunk(Size.data(), static_cast<std::size_t>(Digits));
  Chunk.append(Part).append("\r\n");
  Connection_->write(Chunk, Deadline);
}

void Exchange::sendRemainingBody(RequestBody &Body, SteadyTime Deadline) {
  std::vector<char> Buffer(StreamBufferBytes);
  while (const std::size_t Count =
             Body.readRemaining(Buffer.data(), Buffer.size(), Deadline)) {
    if (!HasResponse_ && hasEarlyResponse()) {
      readFinalHead(Body.connection(), Deadline);
      // After an error response the rest of the body is not needed; after any
      // other early response the peer may still read it.
      if (Response_.getStatus() >= FirstErrorStatus)
        return;
    }
    sendPart(Body, {Buffer.data(), Count}, Deadline);
  }
  if (Body.framing().Kind == FramingKind::Chunked)
    Connection_->write("0\r\n\r\n", Deadline);
  SentAll_ = true;
}

void Exchange::run(HTTPRequest &Request, RequestBody &Body, bool UseContinue,
                   SteadyTime Deadline) {
  Method_ = Request.getMethod();
  const bool IsBuffered = Body.isComplete();
  const bool ExpectContinue = UseContinue && !IsBuffered;
  setFraming(Request, Body.framing());
  if (ExpectContinue)
    Request.set("Expect", "100-continue");
  std::string First = serialize(Request);
  if (IsBuffered)
    First += Body.buffered();
  Sent_ = true;
  Connection_->write(First, Deadline);
  SentAll_ = IsBuffered;
  if (ExpectContinue) {
    waitForPeer(Body.connection(), Deadline);
    readResponseHead(Deadline);
    HasResponse_ = Response_.getStatus() >= FirstFinalStatus;
  }
  if (!IsBuffered && !HasResponse_) {
    sendPart(Body, Body.buffered(), Deadline);
    sendRemainingBody(Body, Deadline);
  }
  if (!HasResponse_)
    readFinalHead(Body.connection(), Deadline);
  Body_.emplace(*Connection_, bodyFraming(Response_, Method_));
}

void Exchange::finish() {
  if (!SentAll_ || !Body_ || !Body_->isComplete() ||
      !http::keepsConnection(Response_) ||
      Body_->framing().Kind == FramingKind::UntilClose)
    return;
  Pool_.release(Target_, std::move(Connection_));
}

} // namespace lycheethread::proxy
