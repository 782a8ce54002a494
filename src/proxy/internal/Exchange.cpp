#include "proxy/internal/Exchange.h"
#include "proxy/internal/Clock.h"

#include <array>
#include <cstdio>
#include <vector>

namespace lycheethread::proxy {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t StreamBytes = 64 * 1024;
constexpr int FirstFinalStatus = 200;
constexpr int FirstErrorStatus = 400;
/// Interim answers that are skipped before the final one.
constexpr int MaxInterim = 8;

} // namespace

Exchange::Exchange(ConnectionPool &Pool, const Endpoint &Target,
                   SteadyTime Deadline)
    : Pool_(Pool), Target_(Target), Connection_(Pool.take(Target, Deadline)) {}

void Exchange::waitForPeer(const HttpConnection &Caller, SteadyTime Deadline) {
  if (FollowsCaller_)
    Connection_->waitForInput(Deadline, Caller);
  else if (!Connection_->waitForInput(Deadline))
    throw ConnectionTimeout("no answer in time");
}

void Exchange::readAnswerHead(SteadyTime Deadline) {
  Answer_ = HTTPResponse();
  parseResponse(Connection_->readHead(Deadline), Answer_);
}

void Exchange::readFinalHead(const HttpConnection &Caller,
                             SteadyTime Deadline) {
  for (int I = 0; I < MaxInterim; ++I) {
    waitForPeer(Caller, Deadline);
    readAnswerHead(Deadline);
    if (Answer_.getStatus() < FirstFinalStatus)
      continue;
    HasAnswer_ = true;
    return;
  }
  throw BadMessage("too many interim answers");
}

bool Exchange::answeredEarly() {
  if (!HasAnswer_ && !Connection_->hasInput())
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

void Exchange::sendRest(RequestBody &Body, SteadyTime Deadline) {
  std::vector<char> Buffer(StreamBytes);
  while (const std::size_t Count =
             Body.readRest(Buffer.data(), Buffer.size(), Deadline)) {
    if (!HasAnswer_ && answeredEarly()) {
      readFinalHead(Body.connection(), Deadline);
      // An error does not want the rest; after another answer the peer may
      // still read it.
      if (Answer_.getStatus() >= FirstErrorStatus)
        return;
    }
    sendPart(Body, {Buffer.data(), Count}, Deadline);
  }
  if (Body.framing().Kind == FramingKind::Chunked)
    Connection_->write("0\r\n\r\n", Deadline);
  SentAll_ = true;
}

void Exchange::run(HTTPRequest &Request, RequestBody &Body, bool AskFirst,
                   SteadyTime Deadline) {
  Method_ = Request.getMethod();
  const bool Whole = Body.isComplete();
  const bool Ask = AskFirst && !Whole;
  setFraming(Request, Body.framing());
  if (Ask)
    Request.set("Expect", "100-continue");
  std::string First = serialize(Request);
  if (Whole)
    First += Body.kept();
  Sent_ = true;
  Connection_->write(First, Deadline);
  SentAll_ = Whole;
  if (Ask) {
    waitForPeer(Body.connection(), Deadline);
    readAnswerHead(Deadline);
    HasAnswer_ = Answer_.getStatus() >= FirstFinalStatus;
  }
  if (!Whole && !HasAnswer_) {
    sendPart(Body, Body.kept(), Deadline);
    sendRest(Body, Deadline);
  }
  if (!HasAnswer_)
    readFinalHead(Body.connection(), Deadline);
  Body_.emplace(*Connection_, bodyFraming(Answer_, Method_));
}

void Exchange::finish() {
  if (!SentAll_ || !Body_ || !Body_->isComplete() || !Answer_.getKeepAlive() ||
      Body_->framing().Kind == FramingKind::UntilClose)
    return;
  Pool_.give(Target_, std::move(Connection_));
}

} // namespace lycheethread::proxy
