#include "sidecar/internal/HttpServer.h"

#include <Poco/String.h>

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <unordered_set>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using reactor::EventLoop;
using reactor::StreamEnd;
using reactor::TcpStream;

/// Unsent answer bytes at which the producer of the body has to wait.
constexpr std::size_t MaxUnsentBytes = 8 * 1024;
/// A connection is closed later than the idle time announced in its last
/// answer, so that a request sent within that time never meets a closed
/// connection.
constexpr Milliseconds IdleMargin{1500};

class Connection;

} // namespace

struct ServerRequest::State {
  std::weak_ptr<Connection> From;
  HTTPRequest Head;
  http::Framing Body;
  BodyPipePtr Pipe = std::make_shared<BodyPipe>();
  std::function<void()> OnGone;
  bool Gone = false;
  /// The caller had closed its connection before the request was read.
  bool ClosedBefore = false;
  bool Answered = false;
};

namespace {

/// State shared by the connections of one server.
struct ServerState {
  EventLoop &Loop;
  HttpServerOptions Options;
  std::unordered_set<std::shared_ptr<Connection>> Connections;
  /// Connections that end after their last answer has been sent.
  std::vector<std::weak_ptr<TcpStream>> Ending;
  std::size_t InProgress = 0;
  bool Closing = false;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(ServerState &Server, std::shared_ptr<TcpStream> Stream);

  void start();
  void close();
  bool isIdle() const {
    return !Request_ && Stream_->input().empty() &&
           Stream_->unsentBytes() == 0 && !Stream_->hasUnreadData();
  }
  void sendContinue();
  void answer(HTTPResponse &Head, const BodyPipePtr &Body,
              std::int64_t KnownLength);

private:
  void onInput();
  void readHead();
  bool openRequest(std::string_view Text);
  void readBody();
  void onEnd();
  void sendAnswerBody();
  void finishAnswer();
  void nextRequest();
  void setTimer(Milliseconds Length);
  void onTimer();
  void refuse(int Status, const std::string &Text);
  void endGracefully();
  bool keepsAlive() const;

  ServerState &Server_;
  std::shared_ptr<TcpStream> Stream_;
  ServerRequestPtr Request_;
  http::BodyDecoder Decoder_;
  std::int64_t BodyBytes_ = 0;
  BodyPipePtr Answer_;
  bool AnswerChunked_ = false;
  bool KeepAlive_ = true;
  bool Reading_ = false;
  /// Idle time announced in the last answer.
  Milliseconds AnnouncedIdle_{0};
  reactor::TimerId Timer_;
};

Connection::Connection(ServerState &Server, std::shared_ptr<TcpStream> Stream)
    : Server_(Server), Stream_(std::move(Stream)) {}

void Connection::start() {
  const std::weak_ptr<Connection> Weak = weak_from_this();
  const auto Bind = [Weak](void (Connection::*Member)()) {
    return [Weak, Member] {
      if (const auto Self = Weak.lock())
        (Self.get()->*Member)();
    };
  };
  Stream_->setCallbacks({{},
                         Bind(&Connection::onInput),
                         Bind(&Connection::sendAnswerBody),
                         [Weak](StreamEnd) {
                           if (const auto Self = Weak.lock())
                             Self->onEnd();
                         }});
  AnnouncedIdle_ = Server_.Options.Limits().IdleTimeout;
  setTimer(AnnouncedIdle_ + IdleMargin);
}

void Connection::setTimer(Milliseconds Length) {
  Server_.Loop.cancel(Timer_);
  Timer_ = Server_.Loop.runAfter(Length, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->onTimer();
  });
}

void Connection::onTimer() {
  // Without input the idle time has expired, otherwise the time for the
  // headers.
  if (Stream_->input().empty())
    close();
  else
    refuse(HTTPResponse::HTTP_REQUEST_TIMEOUT,
           "timed out waiting for the request headers");
}

void Connection::close() {
  const auto Self = shared_from_this();
  Server_.Loop.cancel(Timer_);
  Stream_->close();
  Server_.Connections.erase(Self);
  if (!Request_)
    return;
  const ServerRequestPtr Lost = std::move(Request_);
  --Server_.InProgress;
  if (Answer_)
    Answer_->OnChange = nullptr;
  Lost->Shared->Gone = true;
  Lost->Shared->Pipe->OnDrained = nullptr;
  // The handler learns of the disconnect before the body fails.
  const auto Callback = std::move(Lost->Shared->OnGone);
  if (Callback)
    Callback();
  Lost->Shared->Pipe->fail();
}

void Connection::onEnd() { close(); }

void Connection::onInput() {
  if (Reading_)
    return;
  Reading_ = true;
  const auto Self = shared_from_this();
  if (!Request_)
    readHead();
  else if (!Decoder_.isComplete())
    readBody();
  else
    // The next request is read after this one has been answered.
    Stream_->setReadingPaused(true);
  Reading_ = false;
}

void Connection::readHead() {
  std::string &Input = Stream_->input();
  const std::size_t Lines = Input.find_first_not_of("\r\n");
  Input.erase(0, std::min(Lines, Input.size()));
  if (Input.empty())
    return;
  const mesh::CallerLimits Limits = Server_.Options.Limits();
  const std::size_t End = Input.find("\r\n\r\n");
  const std::size_t Size = End == std::string::npos ? Input.size() : End + 4;
  if (Size > Limits.MaxHeadBytes) {
    refuse(HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
           "the request headers are too large");
    return;
  }
  if (End == std::string::npos) {
    setTimer(Limits.HeadTimeout);
    return;
  }
  const std::string Head = Input.substr(0, Size);
  Input.erase(0, Size);
  if (!openRequest(Head))
    return;
  Server_.Loop.cancel(Timer_);
  if (Decoder_.isComplete())
    Request_->body()->end();
  else
    readBody();
  if (Request_) {
    // A copy: the handler may answer, which ends the request.
    const ServerRequestPtr Handled = Request_;
    Server_.Options.Handle(Handled);
  }
}

bool Connection::openRequest(std::string_view Text) {
  auto Opened = std::make_shared<ServerRequest>();
  try {
    http::parseRequest(Text, Opened->Shared->Head);
    Opened->Shared->Body = http::bodyFraming(Opened->Shared->Head);
  } catch (const http::BadMessage &Error) {
    refuse(HTTPResponse::HTTP_BAD_REQUEST, Error.what());
    return false;
  }
  if (Opened->Shared->Body.Kind == http::FramingKind::Fixed &&
      Opened->Shared->Body.Length > Server_.Options.Limits().MaxBodyBytes) {
    refuse(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
           "the request body is too large");
    return false;
  }
  Opened->Shared->From = weak_from_this();
  Opened->Shared->ClosedBefore = Stream_->hasPeerClosed();
  Request_ = Opened;
  ++Server_.InProgress;
  Decoder_ = http::BodyDecoder(Opened->Shared->Body);
  BodyBytes_ = 0;
  KeepAlive_ = http::keepsConnection(Opened->Shared->Head);
  Opened->Shared->Pipe->OnDrained = [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->Stream_->setReadingPaused(false);
      Self->onInput();
    }
  };
  return true;
}

void Connection::readBody() {
  std::string &Input = Stream_->input();
  const BodyPipePtr Pipe = Request_->body();
  std::string Data;
  try {
    Input.erase(0, Decoder_.feed(Input, Data));
  } catch (const http::BadMessage &Error) {
    BOOST_LOG_TRIVIAL(warning)
        << "http: malformed request body: " << Error.what();
    close();
    return;
  }
  BodyBytes_ += static_cast<std::int64_t>(Data.size());
  if (BodyBytes_ > Server_.Options.Limits().MaxBodyBytes) {
    // The receiver of the first part must not take it for the whole body.
    Pipe->fail();
    if (Request_ && !Request_->isAnswered())
      Request_->answer(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                       "the request body is too large");
    return;
  }
  Pipe->append(Data);
  if (Decoder_.isComplete())
    Pipe->end();
  if (Pipe->isFull())
    Stream_->setReadingPaused(true);
}

void Connection::sendContinue() {
  Stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

bool Connection::keepsAlive() const {
  return KeepAlive_ && !Server_.Closing && Decoder_.isComplete();
}

void Connection::answer(HTTPResponse &Head, const BodyPipePtr &Body,
                        std::int64_t KnownLength) {
  const int Status = Head.getStatus();
  const bool HasBody = Request_->head().getMethod() != HTTPRequest::HTTP_HEAD &&
                       Status != HTTPResponse::HTTP_NO_CONTENT &&
                       Status != HTTPResponse::HTTP_NOT_MODIFIED;
  AnswerChunked_ = false;
  if (!HasBody && Request_->head().getMethod() == HTTPRequest::HTTP_HEAD) {
    if (KnownLength >= 0)
      Head.setContentLength64(KnownLength);
  } else if (HasBody && Body->isEnded()) {
    Head.setContentLength64(static_cast<std::int64_t>(Body->size()));
  } else if (HasBody && KnownLength >= 0) {
    Head.setContentLength64(KnownLength);
  } else if (HasBody &&
             Request_->head().getVersion() == HTTPMessage::HTTP_1_0) {
    KeepAlive_ = false;
  } else if (HasBody) {
    Head.setChunkedTransferEncoding(true);
    AnswerChunked_ = true;
  }
  Head.setVersion(HTTPMessage::HTTP_1_1);
  if (keepsAlive()) {
    AnnouncedIdle_ = Server_.Options.Limits().IdleTimeout;
    const auto Seconds =
        std::chrono::duration_cast<std::chrono::seconds>(AnnouncedIdle_)
            .count();
    http::setField(Head, "Keep-Alive", "timeout=" + std::to_string(Seconds));
  } else {
    http::setField(Head, HTTPMessage::CONNECTION,
                   HTTPMessage::CONNECTION_CLOSE);
    KeepAlive_ = false;
  }
  Answer_ = HasBody ? Body : BodyPipe::complete("");
  // A single write for headers and body saves a packet and a system call.
  std::string Out = http::serialize(Head);
  if (!AnswerChunked_)
    Out += Answer_->take();
  Stream_->write(Out);
  Answer_->OnChange = [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->sendAnswerBody();
  };
  sendAnswerBody();
}

void Connection::sendAnswerBody() {
  if (!Answer_)
    return;
  const auto Self = shared_from_this();
  while (Answer_ && Answer_->size() > 0 &&
         Stream_->unsentBytes() < MaxUnsentBytes) {
    const std::string Data = Answer_->take();
    if (Answer_)
      Stream_->write(AnswerChunked_ ? http::encodeChunk(Data) : Data);
  }
  if (!Answer_)
    return;
  if (Answer_->hasFailed()) {
    // Without the last chunk or the full length the caller sees that the answer
    // is truncated.
    close();
    return;
  }
  if (Answer_->isDone())
    finishAnswer();
}

void Connection::finishAnswer() {
  if (AnswerChunked_)
    Stream_->write(http::LastChunk);
  Answer_->OnChange = nullptr;
  Answer_ = nullptr;
  Request_->body()->OnDrained = nullptr;
  Request_->onGone(nullptr);
  Request_ = nullptr;
  --Server_.InProgress;
  if (!KeepAlive_ || !Decoder_.isComplete()) {
    endGracefully();
    return;
  }
  nextRequest();
}

void Connection::endGracefully() {
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

void Connection::nextRequest() {
  setTimer(AnnouncedIdle_ + IdleMargin);
  Stream_->setReadingPaused(false);
  if (Stream_->input().empty())
    return;
  Server_.Loop.defer([Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && Self->Stream_->isOpen())
      Self->onInput();
  });
}

void Connection::refuse(int Status, const std::string &Text) {
  BOOST_LOG_TRIVIAL(info) << "http: request refused with " << Status << ": "
                          << Text;
  HTTPResponse Head(static_cast<HTTPResponse::HTTPStatus>(Status));
  Head.setContentLength64(static_cast<std::int64_t>(Text.size()));
  Head.setVersion(HTTPMessage::HTTP_1_1);
  Head.set(HTTPMessage::CONNECTION, HTTPMessage::CONNECTION_CLOSE);
  Stream_->write(http::serialize(Head) + Text);
  endGracefully();
}

} // namespace

struct HttpServer::Impl {
  ServerState State;
  std::unique_ptr<reactor::TcpListener> Listener;
};

ServerRequest::ServerRequest() : Shared(std::make_unique<State>()) {}

ServerRequest::~ServerRequest() = default;

const HTTPRequest &ServerRequest::head() const { return Shared->Head; }

const http::Framing &ServerRequest::framing() const { return Shared->Body; }

const BodyPipePtr &ServerRequest::body() const { return Shared->Pipe; }

bool ServerRequest::hasPeerClosed() const {
  return Shared->Gone || Shared->ClosedBefore;
}

bool ServerRequest::isAnswered() const { return Shared->Answered; }

void ServerRequest::onGone(std::function<void()> Callback) {
  Shared->OnGone = std::move(Callback);
}

void ServerRequest::sendContinue() {
  const auto From = Shared->From.lock();
  if (From && !Shared->Gone && !Shared->Answered)
    From->sendContinue();
}

void ServerRequest::answer(HTTPResponse &Head, const BodyPipePtr &Body,
                           std::int64_t KnownLength) {
  const auto From = Shared->From.lock();
  if (!From || Shared->Gone || Shared->Answered)
    return;
  Shared->Answered = true;
  From->answer(Head, Body, KnownLength);
}

void ServerRequest::answer(int Status, const std::string &Body,
                           const std::string &ContentType) {
  HTTPResponse Head(static_cast<HTTPResponse::HTTPStatus>(Status));
  Head.setContentType(ContentType);
  answer(Head, BodyPipe::complete(Body));
}

HttpServer::HttpServer(EventLoop &Loop, const Endpoint &At,
                       HttpServerOptions Options)
    : Impl_(new Impl{{Loop, std::move(Options), {}, {}, 0, false}, nullptr}) {
  Impl_->Listener = std::make_unique<reactor::TcpListener>(
      Loop, At, [Used = &Impl_->State](std::shared_ptr<TcpStream> Stream) {
        const auto Accepted =
            std::make_shared<Connection>(*Used, std::move(Stream));
        Used->Connections.insert(Accepted);
        Accepted->start();
      });
}

HttpServer::~HttpServer() {
  const auto Copy = Impl_->State.Connections;
  for (const auto &Item : Copy)
    Item->close();
}

std::size_t HttpServer::inProgress() const { return Impl_->State.InProgress; }

bool HttpServer::isQuiet() const {
  const ServerState &State = Impl_->State;
  return std::all_of(State.Connections.begin(), State.Connections.end(),
                     [](const auto &Item) { return Item->isIdle(); }) &&
         std::all_of(State.Ending.begin(), State.Ending.end(),
                     [](const auto &Item) {
                       const auto Stream = Item.lock();
                       return !Stream || Stream->unsentBytes() == 0;
                     });
}

void HttpServer::announceClose() { Impl_->State.Closing = true; }

void HttpServer::closeIdle() {
  const auto Copy = Impl_->State.Connections;
  for (const auto &Item : Copy)
    if (Item->isIdle())
      Item->close();
}

} // namespace lycheethread::sidecar
