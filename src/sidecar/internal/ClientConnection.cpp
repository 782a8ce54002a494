#include "sidecar/internal/ClientConnection.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <boost/log/trivial.hpp>

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPResponse;
using reactor::StreamEnd;
using reactor::TcpStream;

/// Servers state their idle time in whole seconds, so a server that states none
/// may keep idle connections for less than a second.
constexpr Milliseconds DefaultIdleLimit{400};
/// Subtracted from the stated idle time to allow for the network delay.
constexpr Milliseconds IdleMargin{700};
/// Unsent request bytes at which the producer of the body has to wait.
constexpr std::size_t MaxUnsentBytes = 128 * 1024;
/// Answers to other requests that are skipped before the connection is given
/// up.
constexpr int MaxSkippedAnswers = 3;
constexpr std::size_t MaxSkippedBytes = 1024 * 1024;
/// Answers with a status below 200 to one request, after which the server is
/// taken to send them without end.
constexpr int MaxInterimAnswers = 32;
/// A server may reject a request before it has read a longer body, and read the
/// rest later. The next request on the connection would wait behind it.
constexpr std::size_t LongBodyBytes = 4 * 1024;
/// A connection may hold this much whatever the others hold.
constexpr std::size_t MinHeldBytes = 16 * 1024;

Milliseconds statedIdleLimit(const HTTPResponse &Head) {
  const std::string Text = Head.get("Keep-Alive", "");
  const std::size_t At = Text.find("timeout=");
  int Seconds = 0;
  if (At == std::string::npos ||
      !Poco::NumberParser::tryParse(
          Text.substr(At + 8, Text.find_first_of(",; ", At + 8) - At - 8),
          Seconds))
    return DefaultIdleLimit;
  return std::max(Milliseconds(std::chrono::seconds(Seconds)) - IdleMargin,
                  Milliseconds(0));
}

/// Calls a copy, since the callback may replace itself while it runs.
void invokeCopy(const std::function<void()> &Callback) {
  const auto Copy = Callback;
  if (Copy)
    Copy();
}

} // namespace

ClientConnection::ClientConnection(Endpoint To)
    : To_(std::move(To)), IdleLimit_(DefaultIdleLimit) {}

ClientConnectionPtr ClientConnection::open(reactor::EventLoop &Loop,
                                           const Endpoint &To,
                                           Milliseconds Timeout) {
  ClientConnectionPtr Opened(new ClientConnection(To));
  Opened->Stream_ = TcpStream::connect(Loop, To, Timeout);
  const std::weak_ptr<ClientConnection> Weak = Opened;
  Opened->Stream_->setCallbacks({[Weak] {
                                   const auto Self = Weak.lock();
                                   if (Self)
                                     invokeCopy(Self->OnConnected);
                                 },
                                 [Weak] {
                                   if (const auto Self = Weak.lock())
                                     Self->onInput();
                                 },
                                 [Weak] {
                                   if (const auto Self = Weak.lock())
                                     Self->sendBody();
                                 },
                                 [Weak](StreamEnd How) {
                                   if (const auto Self = Weak.lock())
                                     Self->onEnd(How);
                                 }});
  return Opened;
}

ClientConnection::~ClientConnection() { countHeld(0); }

void ClientConnection::setBudget(std::shared_ptr<AnswerBudget> Budget) {
  Budget_ = std::move(Budget);
}

bool ClientConnection::wasUsedBefore() const { return Requests_ > 1; }

void ClientConnection::start(ClientRequest Request, ClientCallbacks Callbacks) {
  ++Requests_;
  Request_ = std::move(Request);
  Callbacks_ = std::move(Callbacks);
  Busy_ = true;
  MaySendBody_ = !Request_.ExpectContinue;
  BodySent_ = Request_.Body == nullptr;
  BodyBytes_ = 0;
  HasHead_ = false;
  Skipping_ = false;
  Skipped_ = 0;
  SkippedBytes_ = 0;
  InterimAnswers_ = 0;
  Delivered_ = false;
  Answer_ = {};
  std::string Out = std::move(Request_.Head);
  if (MaySendBody_ && Request_.Body && !Request_.Chunked) {
    BodyBytes_ = Request_.Body->size();
    Out += Request_.Body->take();
  }
  Stream_->write(Out);
  if (Request_.Body)
    Request_.Body->OnChange = [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->sendBody();
    };
  sendBody();
}

void ClientConnection::sendBody() {
  if (!Busy_ || !MaySendBody_ || !Stream_->isOpen())
    return;
  if (BodySent_) {
    reportBodySent();
    return;
  }
  const BodyPipePtr Body = Request_.Body;
  while (Body->size() > 0 && Stream_->unsentBytes() < MaxUnsentBytes) {
    const std::string Data = Body->take();
    BodyBytes_ += Data.size();
    Stream_->write(Request_.Chunked ? http::encodeChunk(Data) : Data);
  }
  if (Body->hasFailed()) {
    // A truncated request must not look complete to the server.
    fail(ClientFailure::NoAnswer);
    return;
  }
  if (!Body->isDone())
    return;
  if (Request_.Chunked)
    Stream_->write(http::LastChunk);
  BodySent_ = true;
  reportBodySent();
}

void ClientConnection::reportBodySent() {
  if (Stream_->unsentBytes() > 0)
    return;
  const auto Callback = std::move(Callbacks_.OnBodySent);
  Callbacks_.OnBodySent = nullptr;
  if (Callback)
    Callback();
}

void ClientConnection::onInput() {
  const auto Self = shared_from_this();
  if (!Busy_) {
    // These bytes belong to no request.
    Reusable_ = false;
    close();
    invokeCopy(OnIdleEnd);
    return;
  }
  while (Busy_ && !Stream_->input().empty()) {
    if (!HasHead_ && !readHead())
      return;
    if (Busy_ && HasHead_ && !readBody())
      return;
  }
}

bool ClientConnection::readHead() {
  std::string &Input = Stream_->input();
  const std::size_t End = Input.find("\r\n\r\n");
  if (End == std::string::npos) {
    if (Input.size() > http::MaxHeadBytes)
      fail(ClientFailure::BrokenAnswer);
    return false;
  }
  HTTPResponse Head;
  try {
    http::parseResponse(std::string_view(Input).substr(0, End + 4), Head);
    Input.erase(0, End + 4);
    const int Status = Head.getStatus();
    if (Status < HTTPResponse::HTTP_OK) {
      if (++InterimAnswers_ > MaxInterimAnswers) {
        fail(ClientFailure::BrokenAnswer);
        return false;
      }
      if (Status == HTTPResponse::HTTP_CONTINUE && !MaySendBody_) {
        MaySendBody_ = true;
        if (Callbacks_.OnContinue)
          Callbacks_.OnContinue();
        sendBody();
      }
      return true;
    }
    onAnswerHead(std::move(Head));
  } catch (const http::BadMessage &Error) {
    BOOST_LOG_TRIVIAL(info) << "http: malformed answer from " << To_.Address
                            << ": " << Error.what();
    fail(ClientFailure::BrokenAnswer);
    return false;
  }
  return true;
}

void ClientConnection::onAnswerHead(HTTPResponse Head) {
  const http::Framing Framing = http::bodyFraming(Head, Request_.Method);
  Decoder_ = http::BodyDecoder(Framing);
  HasHead_ = true;
  Skipping_ = Callbacks_.Accept && !Callbacks_.Accept(Head);
  if (Framing.Kind == http::FramingKind::UntilClose ||
      !http::keepsConnection(Head))
    Reusable_ = false;
  IdleLimit_ = statedIdleLimit(Head);
  Answer_.Head = std::move(Head);
  Answer_.Body = std::make_shared<BodyPipe>();
  Answer_.KnownLength =
      Framing.Kind == http::FramingKind::Fixed ? Framing.Length : -1;
  Answer_.Body->OnDrained = [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->Stream_->setReadingPaused(false);
  };
  if (Decoder_.isComplete())
    complete();
}

bool ClientConnection::readBody() {
  std::string &Input = Stream_->input();
  std::string Data;
  try {
    Input.erase(0, Decoder_.feed(Input, Data));
  } catch (const http::BadMessage &Error) {
    BOOST_LOG_TRIVIAL(info) << "http: malformed answer body from "
                            << To_.Address << ": " << Error.what();
    fail(ClientFailure::BrokenAnswer);
    return false;
  }
  if (!Skipping_)
    Answer_.Body->append(Data);
  else
    SkippedBytes_ += Data.size();
  if (SkippedBytes_ > MaxSkippedBytes) {
    fail(ClientFailure::BrokenAnswer);
    return false;
  }
  if (Decoder_.isComplete()) {
    complete();
    return true;
  }
  if (Skipping_)
    return true;
  if (!Delivered_)
    countHeld(Answer_.Body->size());
  const std::size_t Buffered = Answer_.Body->size();
  if (Buffered >= BufferedAnswerBytes || (Buffered > 0 && Delivered_) ||
      !mayHoldMore()) {
    Stream_->setReadingPaused(true);
    deliver();
  }
  return true;
}

bool ClientConnection::mayHoldMore() const {
  return !Budget_ || Held_ < MinHeldBytes ||
         Budget_->HeldBytes < Budget_->MaxBytes;
}

void ClientConnection::countHeld(std::size_t Bytes) {
  if (Budget_)
    Budget_->HeldBytes += Bytes - Held_;
  Held_ = Bytes;
}

void ClientConnection::deliver() {
  if (Delivered_)
    return;
  Delivered_ = true;
  countHeld(0);
  const auto Callback = Callbacks_.OnAnswer;
  if (Callback)
    Callback(Answer_);
}

void ClientConnection::complete() {
  HasHead_ = false;
  if (Skipping_) {
    Skipping_ = false;
    // The next answer may be the right one, but the connection is not reused.
    Reusable_ = false;
    if (++Skipped_ > MaxSkippedAnswers)
      fail(ClientFailure::BrokenAnswer);
    return;
  }
  const auto Self = shared_from_this();
  Busy_ = false;
  if (Request_.Body)
    Request_.Body->OnChange = nullptr;
  // A server may answer before it has read the whole body; it could then take
  // the rest of the body for the next request.
  const bool IsRejected =
      Answer_.Head.getStatus() >= HTTPResponse::HTTP_BAD_REQUEST;
  if (!BodySent_ || !Stream_->input().empty() ||
      (IsRejected && BodyBytes_ > LongBodyBytes))
    Reusable_ = false;
  Answer_.Body->OnDrained = nullptr;
  Answer_.Body->end();
  deliver();
  const ClientCallbacks Done = std::move(Callbacks_);
  Callbacks_ = {};
  if (Done.OnComplete)
    Done.OnComplete();
}

void ClientConnection::onEnd(StreamEnd How) {
  const auto Self = shared_from_this();
  Reusable_ = false;
  if (!Busy_) {
    invokeCopy(OnIdleEnd);
    return;
  }
  if (How == StreamEnd::NotConnected) {
    fail(ClientFailure::NotConnected);
    return;
  }
  // A body without a length is complete only after an orderly close.
  if (HasHead_ && How == StreamEnd::Closed && Decoder_.finish()) {
    complete();
    return;
  }
  fail(HasHead_ ? ClientFailure::BrokenAnswer : ClientFailure::NoAnswer);
}

void ClientConnection::fail(ClientFailure Why) {
  const auto Self = shared_from_this();
  Reusable_ = false;
  if (!Busy_)
    return;
  Busy_ = false;
  countHeld(0);
  if (Request_.Body)
    Request_.Body->OnChange = nullptr;
  const ClientCallbacks Done = std::move(Callbacks_);
  Callbacks_ = {};
  const BodyPipePtr Partial = Delivered_ ? Answer_.Body : nullptr;
  Stream_->close();
  if (Partial)
    Partial->fail();
  if (Done.OnFailure)
    Done.OnFailure(Why);
}

bool ClientConnection::isReusable() const {
  return Reusable_ && !Busy_ && Stream_->isOpen() && Stream_->input().empty();
}

bool ClientConnection::isConnected() const {
  return Stream_->isOpen() && Stream_->isConnected();
}

Milliseconds ClientConnection::idleLimit() const { return IdleLimit_; }

const Endpoint &ClientConnection::peer() const { return To_; }

void ClientConnection::close() {
  countHeld(0);
  Busy_ = false;
  Reusable_ = false;
  Callbacks_ = {};
  if (Request_.Body)
    Request_.Body->OnChange = nullptr;
  Stream_->close();
  if (!Answer_.Body)
    return;
  Answer_.Body->OnDrained = nullptr;
  Answer_.Body->fail();
}

void collectBody(const ClientAnswer &Answer,
                 const std::shared_ptr<std::string> &Into) {
  const auto Take = [Into](BodyPipe &From) {
    const std::string Data = From.take();
    if (Into->size() + Data.size() <= MaxCollectedBytes)
      *Into += Data;
  };
  Take(*Answer.Body);
  Answer.Body->OnChange = [Take, Weak = std::weak_ptr<BodyPipe>(Answer.Body)] {
    if (const auto More = Weak.lock())
      Take(*More);
  };
}

} // namespace lycheethread::sidecar
