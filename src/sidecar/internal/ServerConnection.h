#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_SERVERCONNECTION_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_SERVERCONNECTION_H

#include "http/Http.h"
#include "sidecar/internal/HttpServer.h"

#include <map>
#include <unordered_set>
#include <vector>

namespace lycheethread::sidecar {

class ServerConnection;

/// State shared by the connections of one server.
struct ServerState {
  reactor::EventLoop &Loop;
  HttpServerOptions Options;
  std::unordered_set<std::shared_ptr<ServerConnection>> Connections;
  /// Connections that end after their last answer has been sent.
  std::vector<std::weak_ptr<reactor::TcpStream>> Ending;
  std::size_t InProgress = 0;
  bool Closing = false;
};

/// What a request and its connection share.
struct ServerRequest::State {
  std::weak_ptr<ServerConnection> From;
  http::RequestNumber Number{};
  Poco::Net::HTTPRequest Head;
  http::Framing Body;
  BodyPipePtr Pipe = std::make_shared<BodyPipe>();
  std::function<void()> OnGone;
  std::function<void()> OnFirst;
  bool Gone = false;
  /// The caller had closed its connection before the request was read.
  bool ClosedBefore = false;
  /// Read before the answers to earlier requests had been sent.
  bool Pipelined = false;
  bool Answered = false;
};

/// A connection of a caller. Reads requests while earlier ones are in progress
/// and writes the answers in the order of the requests.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(ServerState &Server,
                   std::shared_ptr<reactor::TcpStream> Stream);

  void start();
  void close();
  bool isIdle() const;
  bool isFirst(http::RequestNumber Number) const;
  void sendContinue(http::RequestNumber Number);
  /// Sends the answer, or holds it until the answers before it are written.
  void answer(http::RequestNumber Number, Poco::Net::HTTPResponse &Head,
              const BodyPipePtr &Body, std::int64_t KnownLength);

private:
  /// A request in progress and its answer.
  struct Exchange {
    /// Null for a message that was rejected before it became a request.
    ServerRequestPtr Request;
    /// Null until there is an answer.
    BodyPipePtr Answer;
    std::int64_t KnownLength = -1;
    /// The head of an answer that is held.
    std::unique_ptr<Poco::Net::HTTPResponse> HeldHead;
    /// Bytes of the held answer that count against the budget.
    std::size_t HeldBytes = 0;
    bool Started = false;
    bool Chunked = false;
    /// The caller knows the end of the answer only by that of the connection.
    bool EndsByClose = false;
    bool WantsContinue = false;
  };

  void onInput();
  bool readNext();
  bool mayReadHead() const;
  bool readHead();
  ServerRequestPtr openRequest(std::string_view Text);
  void readBody();
  void rejectBody();
  void resumeReading();
  void setTimer(Milliseconds Length);
  void onTimer();
  void refuse(int Status, const std::string &Text);

  bool hasBody(const Exchange &Item, int Status) const;
  void startAnswer(http::RequestNumber Number, Exchange &Item,
                   Poco::Net::HTTPResponse &Head);
  void onAnswerChange(http::RequestNumber Number);
  void sendAnswers();
  bool sendFront();
  bool finishFront(http::RequestNumber Number, Exchange &Item);
  void announceFirst();
  void endAfter(http::RequestNumber Number);
  void endBroken();
  void endGracefully();
  void cancel(const std::vector<http::RequestNumber> &Numbers);
  void countHeld(Exchange &Item, std::size_t Bytes);

  ServerState &Server_;
  std::shared_ptr<reactor::TcpStream> Stream_;
  http::AnswerOrder Order_;
  std::map<http::RequestNumber, Exchange> Exchanges_;
  /// The request whose body is being received; null otherwise.
  ServerRequestPtr Receiving_;
  http::BodyDecoder Decoder_;
  std::int64_t BodyBytes_ = 0;
  bool Reading_ = false;
  bool Sending_ = false;
  /// A request was read while another one was in progress.
  bool Pipelined_ = false;
  /// Idle time announced in the last answer.
  Milliseconds AnnouncedIdle_{0};
  reactor::TimerId Timer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_SERVERCONNECTION_H
