#include "sidecar/internal/ServerConnection.h"

#include <boost/log/trivial.hpp>

#include <algorithm>

namespace lycheethread::sidecar {

using http::RequestNumber;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using reactor::StreamEnd;
using reactor::TcpStream;

namespace {

/// Unsent answer bytes at which the producer of the body has to wait.
constexpr std::size_t MaxUnsentBytes = 8 * 1024;
/// Bytes of request bodies that wait for their handlers at which no further
/// request is read.
constexpr std::size_t MaxWaitingBodyBytes = BodyPipe::DefaultHighWater;
/// A connection is closed later than the idle time announced in its last
/// answer, so that a request sent within that time never meets a closed
/// connection.
constexpr Milliseconds IdleMargin{1500};

} // namespace

ServerConnection::ServerConnection(ServerState &Server,
                                   std::shared_ptr<TcpStream> Stream)
    : Server_(Server), Stream_(std::move(Stream)) {}

void ServerConnection::start() {
  const std::weak_ptr<ServerConnection> Weak = weak_from_this();
  const auto Bind = [Weak](void (ServerConnection::*Member)()) {
    return [Weak, Member] {
      if (const auto Self = Weak.lock())
        (Self.get()->*Member)();
    };
  };
  Stream_->setCallbacks({{},
                         Bind(&ServerConnection::onInput),
                         Bind(&ServerConnection::sendAnswers),
                         [Weak](StreamEnd) {
                           if (const auto Self = Weak.lock())
                             Self->close();
                         }});
  AnnouncedIdle_ = Server_.Options.Limits().IdleTimeout;
  setTimer(AnnouncedIdle_ + IdleMargin);
}

bool ServerConnection::isIdle() const {
  return Order_.Slots.empty() && Stream_->input().empty() &&
         Stream_->unsentBytes() == 0 && !Stream_->hasUnreadData();
}

void ServerConnection::setTimer(Milliseconds Length) {
  Server_.Loop.cancel(Timer_);
  Timer_ = Server_.Loop.runAfter(Length, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->onTimer();
  });
}

void ServerConnection::onTimer() {
  // Without input the idle time has expired, otherwise the time for the
  // headers. Requests in progress are answered before the refusal.
  if (!Stream_->input().empty())
    refuse(HTTPResponse::HTTP_REQUEST_TIMEOUT,
           "timed out waiting for the request headers");
  else if (Order_.Slots.empty())
    close();
}

void ServerConnection::close() {
  const auto Self = shared_from_this();
  Server_.Loop.cancel(Timer_);
  Stream_->close();
  Server_.Connections.erase(Self);
  cancel(http::removeAll(Order_));
}

/// Ends requests, already removed from the order, whose answers will not be
/// sent.
void ServerConnection::cancel(const std::vector<RequestNumber> &Numbers) {
  std::vector<ServerRequestPtr> Lost;
  for (const RequestNumber Number : Numbers) {
    const auto Found = Exchanges_.find(Number);
    Exchange &Item = Found->second;
    countHeld(Item, 0);
    if (Item.Answer)
      Item.Answer->OnChange = nullptr;
    if (Item.Request) {
      --Server_.InProgress;
      Item.Request->Shared->Gone = true;
      Item.Request->Shared->OnFirst = nullptr;
      Item.Request->Shared->Pipe->OnDrained = nullptr;
      if (Item.Request == Receiving_)
        Receiving_ = nullptr;
      Lost.push_back(std::move(Item.Request));
    }
    Exchanges_.erase(Found);
  }
  for (const ServerRequestPtr &Item : Lost) {
    // The handler learns of the disconnect before the body fails.
    const auto Callback = std::move(Item->Shared->OnGone);
    Item->Shared->OnGone = nullptr;
    if (Callback)
      Callback();
    Item->Shared->Pipe->fail();
  }
}

void ServerConnection::onInput() {
  // A nested call leaves the input to the loop that is running.
  if (Reading_)
    return;
  Reading_ = true;
  const auto Self = shared_from_this();
  std::size_t Count = 0;
  while (Stream_->isOpen() && readNext())
    if (++Count == http::MaxPipelinedRequests) {
      // Other connections have their turn first.
      resumeReading();
      break;
    }
  Reading_ = false;
}

/// Reads from the input; returns whether there may be more to read in it.
bool ServerConnection::readNext() {
  if (Receiving_) {
    readBody();
    return !Receiving_ && !Stream_->input().empty();
  }
  if (mayReadHead())
    return readHead();
  if (!Stream_->input().empty())
    Stream_->setReadingPaused(true);
  return false;
}

bool ServerConnection::mayReadHead() const {
  if (!http::mayReadRequest(Order_, Server_.Closing))
    return false;
  if (Order_.Slots.empty())
    return true;
  std::size_t Waiting = 0;
  for (const auto &[Number, Item] : Exchanges_)
    Waiting += Item.Request ? Item.Request->body()->size() : 0;
  const AnswerBudget &Budget = *Server_.Options.HeldAnswers;
  return Waiting < MaxWaitingBodyBytes && Budget.HeldBytes < Budget.MaxBytes;
}

bool ServerConnection::readHead() {
  std::string &Input = Stream_->input();
  const std::size_t Lines = Input.find_first_not_of("\r\n");
  Input.erase(0, std::min(Lines, Input.size()));
  if (Input.empty())
    return false;
  const mesh::CallerLimits Limits = Server_.Options.Limits();
  const std::size_t End = Input.find("\r\n\r\n");
  const std::size_t Size = End == std::string::npos ? Input.size() : End + 4;
  if (Size > Limits.MaxHeadBytes) {
    refuse(HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
           "the request headers are too large");
    return false;
  }
  if (End == std::string::npos) {
    setTimer(Limits.HeadTimeout);
    return false;
  }
  const std::string Head = Input.substr(0, Size);
  Input.erase(0, Size);
  const ServerRequestPtr Opened = openRequest(Head);
  if (!Opened)
    return false;
  Server_.Loop.cancel(Timer_);
  if (Decoder_.isComplete()) {
    Opened->body()->end();
  } else {
    Receiving_ = Opened;
    readBody();
  }
  if (!Opened->Shared->Gone && !Opened->isAnswered())
    Server_.Options.Handle(Opened);
  return !Receiving_ && !Input.empty();
}

ServerRequestPtr ServerConnection::openRequest(std::string_view Text) {
  auto Opened = std::make_shared<ServerRequest>();
  ServerRequest::State &State = *Opened->Shared;
  try {
    http::parseRequest(Text, State.Head);
    State.Body = http::bodyFraming(State.Head);
  } catch (const http::BadMessage &Error) {
    refuse(HTTPResponse::HTTP_BAD_REQUEST, Error.what());
    return nullptr;
  }
  if (State.Body.Kind == http::FramingKind::Fixed &&
      State.Body.Length > Server_.Options.Limits().MaxBodyBytes) {
    refuse(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
           "the request body is too large");
    return nullptr;
  }
  const bool AllSent = Stream_->unsentBytes() == 0;
  State.Pipelined = !Order_.Slots.empty() || !AllSent;
  Pipelined_ = Pipelined_ || State.Pipelined;
  State.From = weak_from_this();
  State.ClosedBefore = Stream_->hasPeerClosed();
  State.Number = http::addRequest(Order_, !http::keepsConnection(State.Head));
  if (Order_.Slots.size() == 1)
    http::takeNewFirst(Order_, AllSent);
  Exchanges_[State.Number].Request = Opened;
  ++Server_.InProgress;
  Decoder_ = http::BodyDecoder(State.Body);
  BodyBytes_ = 0;
  State.Pipe->OnDrained = [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->Stream_->setReadingPaused(false);
      Self->onInput();
    }
  };
  return Opened;
}

void ServerConnection::readBody() {
  const ServerRequestPtr Request = Receiving_;
  const BodyPipePtr Pipe = Request->body();
  std::string &Input = Stream_->input();
  std::string Data;
  try {
    Input.erase(0, Decoder_.feed(Input, Data));
  } catch (const http::BadMessage &Error) {
    BOOST_LOG_TRIVIAL(warning)
        << "http: malformed request body: " << Error.what();
    rejectBody();
    return;
  }
  // A request that is answered before its body is complete stays the one being
  // received until the connection ends.
  const bool IsComplete = Decoder_.isComplete();
  if (IsComplete)
    Receiving_ = nullptr;
  BodyBytes_ += static_cast<std::int64_t>(Data.size());
  if (BodyBytes_ > Server_.Options.Limits().MaxBodyBytes) {
    // The receiver of the first part must not take it for the whole body.
    Pipe->fail();
    if (!Request->Shared->Gone && !Request->isAnswered())
      Request->answer(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                      "the request body is too large");
    return;
  }
  Pipe->append(Data);
  if (IsComplete)
    Pipe->end();
  else if (Pipe->isFull())
    Stream_->setReadingPaused(true);
}

/// Ends the connection at a malformed body, after the answers to the requests
/// before it.
void ServerConnection::rejectBody() {
  const auto Before = http::requestBefore(Order_, Receiving_->Shared->Number);
  if (Before)
    endAfter(*Before);
  else
    endBroken();
}

void ServerConnection::resumeReading() {
  Stream_->setReadingPaused(false);
  if (Stream_->input().empty())
    return;
  Server_.Loop.defer([Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && Self->Stream_->isOpen())
      Self->onInput();
  });
}

void ServerConnection::refuse(int Status, const std::string &Text) {
  BOOST_LOG_TRIVIAL(info) << "http: request refused with " << Status << ": "
                          << Text;
  Server_.Loop.cancel(Timer_);
  const RequestNumber Number = http::addRequest(Order_, true);
  Exchanges_[Number];
  HTTPResponse Head(static_cast<HTTPResponse::HTTPStatus>(Status));
  answer(Number, Head, BodyPipe::complete(Text), -1);
}

bool ServerConnection::isFirst(RequestNumber Number) const {
  return http::isFirst(Order_, Number);
}

void ServerConnection::sendContinue(RequestNumber Number) {
  // Before the answers to earlier requests it would be taken for a part of
  // them.
  if (http::requestBefore(Order_, Number))
    Exchanges_.at(Number).WantsContinue = true;
  else
    Stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

bool ServerConnection::hasBody(const Exchange &Item, int Status) const {
  const bool IsHead = Item.Request && Item.Request->head().getMethod() ==
                                          HTTPRequest::HTTP_HEAD;
  return !IsHead && Status != HTTPResponse::HTTP_NO_CONTENT &&
         Status != HTTPResponse::HTTP_NOT_MODIFIED;
}

void ServerConnection::answer(RequestNumber Number, HTTPResponse &Head,
                              const BodyPipePtr &Body,
                              std::int64_t KnownLength) {
  const auto Self = shared_from_this();
  Exchange &Item = Exchanges_.at(Number);
  const bool HasBody = hasBody(Item, Head.getStatus());
  Item.Answer = HasBody ? Body : BodyPipe::complete("");
  Item.KnownLength = KnownLength;
  const bool EndsAtClose =
      HasBody && !Body->isEnded() && KnownLength < 0 && Item.Request &&
      Item.Request->head().getVersion() == HTTPMessage::HTTP_1_0;
  const bool IsReceiving = Item.Request && Item.Request == Receiving_;
  http::setReady(Order_, Number);
  if (EndsAtClose || IsReceiving)
    endAfter(Number);
  if (!Stream_->isOpen())
    return;
  if (!Item.Answer->isEnded())
    Item.Answer->OnChange = [Weak = weak_from_this(), Number] {
      if (const auto Owner = Weak.lock())
        Owner->onAnswerChange(Number);
    };
  if (http::nextToWrite(Order_) == Number && !Sending_ &&
      Stream_->unsentBytes() < MaxUnsentBytes) {
    startAnswer(Number, Item, Head);
  } else {
    Item.HeldHead = std::make_unique<HTTPResponse>(Head);
    onAnswerChange(Number);
  }
  sendAnswers();
}

void ServerConnection::onAnswerChange(RequestNumber Number) {
  const auto Found = Exchanges_.find(Number);
  if (Found == Exchanges_.end())
    return;
  const auto Self = shared_from_this();
  Exchange &Item = Found->second;
  if (!Item.Started) {
    countHeld(Item, Item.Answer->size());
    // The connection will end there.
    if (Item.Answer->hasFailed())
      endAfter(Number);
  }
  sendAnswers();
}

void ServerConnection::countHeld(Exchange &Item, std::size_t Bytes) {
  Server_.Options.HeldAnswers->HeldBytes += Bytes - Item.HeldBytes;
  Item.HeldBytes = Bytes;
}

void ServerConnection::startAnswer(RequestNumber Number, Exchange &Item,
                                   HTTPResponse &Head) {
  const bool HasBody = hasBody(Item, Head.getStatus());
  const bool IsHead = Item.Request && Item.Request->head().getMethod() ==
                                          HTTPRequest::HTTP_HEAD;
  bool EndsConnection = http::isLastAnswer(Order_, Number, Server_.Closing);
  if (IsHead) {
    if (Item.KnownLength >= 0)
      Head.setContentLength64(Item.KnownLength);
  } else if (HasBody && Item.Answer->isEnded()) {
    Head.setContentLength64(static_cast<std::int64_t>(Item.Answer->size()));
  } else if (HasBody && Item.KnownLength >= 0) {
    Head.setContentLength64(Item.KnownLength);
  } else if (HasBody &&
             Item.Request->head().getVersion() != HTTPMessage::HTTP_1_0) {
    Head.setChunkedTransferEncoding(true);
    Item.Chunked = true;
  } else if (HasBody) {
    Item.EndsByClose = EndsConnection = true;
    Stream_->setResetOnClose();
  }
  Head.setVersion(HTTPMessage::HTTP_1_1);
  if (EndsConnection) {
    http::setField(Head, HTTPMessage::CONNECTION,
                   HTTPMessage::CONNECTION_CLOSE);
  } else {
    AnnouncedIdle_ = Server_.Options.Limits().IdleTimeout;
    const auto Seconds =
        std::chrono::duration_cast<std::chrono::seconds>(AnnouncedIdle_)
            .count();
    http::setField(Head, "Keep-Alive", "timeout=" + std::to_string(Seconds));
  }
  Item.Started = true;
  countHeld(Item, 0);
  // A single write for headers and body saves a packet and a system call.
  std::string Out = http::serialize(Head);
  const BodyPipePtr Answer = Item.Answer;
  if (!Item.Chunked)
    Out += Answer->take();
  Stream_->write(Out);
  if (EndsConnection)
    endAfter(Number);
}

/// Writes what may be written of the answers, in the order of the requests.
void ServerConnection::sendAnswers() {
  // Taking bytes from an answer or ending a request may lead back here; the
  // loop that is running goes on with what was added.
  if (Sending_)
    return;
  const auto Self = shared_from_this();
  Sending_ = true;
  while (Stream_->isOpen() && sendFront()) {
  }
  Sending_ = false;
  announceFirst();
}

/// Returns whether the front answer was completed and the connection stays
/// open.
bool ServerConnection::sendFront() {
  const auto Number = http::nextToWrite(Order_);
  if (!Number)
    return false;
  Exchange &Item = Exchanges_.at(*Number);
  if (!Item.Started) {
    // The output of a caller that takes nothing must not grow answer by
    // answer.
    if (Stream_->unsentBytes() >= MaxUnsentBytes)
      return false;
    const std::unique_ptr<HTTPResponse> Head = std::move(Item.HeldHead);
    startAnswer(*Number, Item, *Head);
  }
  if (!Stream_->isOpen())
    return false;
  const BodyPipePtr Answer = Item.Answer;
  const bool IsChunked = Item.Chunked;
  while (Stream_->isOpen() && Answer->size() > 0 &&
         Stream_->unsentBytes() < MaxUnsentBytes) {
    const std::string Data = Answer->take();
    Stream_->write(IsChunked ? http::encodeChunk(Data) : Data);
  }
  if (!Stream_->isOpen())
    return false;
  if (Answer->hasFailed()) {
    if (Item.EndsByClose)
      close();
    else
      endBroken();
    return false;
  }
  return Answer->isDone() && finishFront(*Number, Item);
}

bool ServerConnection::finishFront(RequestNumber Number, Exchange &Item) {
  if (Item.Chunked)
    Stream_->write(http::LastChunk);
  Item.Answer->OnChange = nullptr;
  const Exchange Done = std::move(Item);
  Exchanges_.erase(Number);
  const bool StaysOpen = http::finishFront(Order_);
  if (Done.Request) {
    Done.Request->body()->OnDrained = nullptr;
    Done.Request->onGone(nullptr);
    Done.Request->onFirst(nullptr);
    --Server_.InProgress;
  }
  if (!StaysOpen) {
    endGracefully();
    return false;
  }
  if (Order_.Slots.empty()) {
    setTimer(AnnouncedIdle_ + IdleMargin);
  } else {
    Exchange &Next = Exchanges_.at(Order_.Slots.front().Number);
    if (Next.WantsContinue && !Next.Answer && Next.Request == Receiving_)
      Stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  resumeReading();
  return true;
}

/// Tells the front request that no answer before it is outstanding.
void ServerConnection::announceFirst() {
  // A caller that has left would send the request again elsewhere.
  if (!Stream_->isOpen() || Stream_->hasPeerClosed())
    return;
  const auto Number = http::takeNewFirst(Order_, Stream_->unsentBytes() == 0);
  if (!Number)
    return;
  const ServerRequestPtr Request = Exchanges_.at(*Number).Request;
  if (!Request || Request->isAnswered())
    return;
  const auto Callback = std::move(Request->Shared->OnFirst);
  Request->Shared->OnFirst = nullptr;
  if (Callback)
    Callback();
}

/// Lets the connection end after an answer; the requests behind it count as
/// unread, so their work is cancelled.
void ServerConnection::endAfter(RequestNumber Number) {
  cancel(http::endAfter(Order_, Number));
}

/// Ends the connection in the middle of an answer with a length or chunks.
/// Without the last chunk or the full length the caller sees that the answer is
/// truncated.
void ServerConnection::endBroken() {
  if (!Pipelined_) {
    close();
    return;
  }
  // Earlier answers may not have been sent yet, and unread requests would
  // reset the connection before the caller has read them.
  const auto Self = shared_from_this();
  endGracefully();
  cancel(http::removeAll(Order_));
}

void ServerConnection::endGracefully() {
  Server_.Loop.cancel(Timer_);
  Stream_->closeGracefully();
  std::vector<std::weak_ptr<TcpStream>> &Ending = Server_.Ending;
  Ending.erase(
      std::remove_if(Ending.begin(), Ending.end(),
                     [](const auto &Stream) { return Stream.expired(); }),
      Ending.end());
  Ending.push_back(Stream_);
  Server_.Connections.erase(shared_from_this());
}

} // namespace lycheethread::sidecar
