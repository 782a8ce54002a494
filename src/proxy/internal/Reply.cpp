#include "proxy/internal/Reply.h"
#include "proxy/internal/Clock.h"

#include <array>
#include <cstdio>
#include <vector>

namespace lycheethread::proxy {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

constexpr std::size_t StreamBufferBytes = 64 * 1024;
constexpr std::size_t InitialStreamBytes = 8 * 1024;
constexpr Milliseconds WriteTimeout{10000};
const std::string EmptyText;

HTTPResponse makeHead(const Reply &To, int Status, const std::string &Reason) {
  HTTPResponse Head(HTTPMessage::HTTP_1_1,
                    static_cast<HTTPResponse::HTTPStatus>(Status), Reason);
  if (!To.KeepAlive)
    Head.set(HTTPMessage::CONNECTION, HTTPMessage::CONNECTION_CLOSE);
  else if (To.IsHttp10)
    Head.set(HTTPMessage::CONNECTION, HTTPMessage::CONNECTION_KEEP_ALIVE);
  return Head;
}

void prependToPath(HTTPResponse &Head, const NodeId &Node) {
  const std::string DownstreamPath = Head.get(headers::PathName, EmptyText);
  http::setField(Head, headers::PathName,
                 DownstreamPath.empty() ? Node.str()
                                        : Node.str() + ", " + DownstreamPath);
}

void writeAll(Reply &To, const std::string &Data) {
  To.Started = true;
  try {
    To.Connection.write(Data, after(steadyNow(), WriteTimeout));
  } catch (const std::runtime_error &Error) {
    throw CallerDisconnected(Error.what());
  }
}

void writeWithBody(Reply &To, HTTPResponse &Head, const std::string &Body) {
  Head.setContentLength64(static_cast<std::int64_t>(Body.size()));
  std::string Data = serialize(Head);
  if (To.Method != Poco::Net::HTTPRequest::HTTP_HEAD)
    Data += Body;
  writeAll(To, Data);
}

/// Forwards a single response.
class Relay {
public:
  Relay(Exchange &From, Reply &To, Milliseconds MaxStall, ResponseCopy *Copy)
      : From_(From), To_(To), MaxStall_(MaxStall), Copy_(Copy),
        Head_(makeHead(To, From.response().getStatus(),
                       From.response().getReason())) {
    copyEndToEndHeaders(From.response(), Head_);
    Head_.erase(headers::UpstreamName);
    prependToPath(Head_, To.Node);
    if (Copy != nullptr)
      Copy->ContentType =
          From.response().get(HTTPMessage::CONTENT_TYPE, EmptyText);
  }

  void run() {
    const Framing &Body = From_.body().framing();
    if (Body.Kind == FramingKind::None)
      return sendWithoutBody();
    if (Body.Kind == FramingKind::Fixed &&
        Body.Length <= static_cast<std::int64_t>(StreamBufferBytes))
      return sendBuffered(static_cast<std::size_t>(Body.Length));
    sendStream(Body);
  }

  std::int64_t bytes() const { return Bytes_; }

private:
  std::size_t read(char *Into, std::size_t Size) {
    const SteadyTime Limit = after(steadyNow(), MaxStall_);
    From_.waitForPeer(To_.Connection, Limit);
    const std::size_t Count = From_.body().read(Into, Size, Limit);
    Bytes_ += static_cast<std::int64_t>(Count);
    if (Copy_ != nullptr)
      recordPart({Into, Count});
    return Count;
  }

  void recordPart(std::string_view Part) {
    Copy_->IsComplete = Copy_->IsComplete && Copy_->Body.size() + Part.size() <=
                                                 requests::MaxRecordedBody;
    if (Copy_->IsComplete)
      Copy_->Body.append(Part);
  }

  void sendWithoutBody() {
    // In the response to a HEAD request, Content-Length is an end-to-end
    // header: it states the length that a GET would return.
    const HTTPResponse &Response = From_.response();
    if (Response.has(HTTPMessage::CONTENT_LENGTH))
      Head_.set(HTTPMessage::CONTENT_LENGTH,
                Response.get(HTTPMessage::CONTENT_LENGTH));
    writeAll(To_, serialize(Head_));
  }

  void sendBuffered(std::size_t Length) {
    Head_.setContentLength64(static_cast<std::int64_t>(Length));
    std::string Data = serialize(Head_);
    const std::size_t HeadSize = Data.size();
    Data.resize(HeadSize + Length);
    std::size_t Received = 0;
    while (Received < Length)
      Received += read(Data.data() + HeadSize + Received, Length - Received);
    writeAll(To_, Data);
  }

  void sendStream(const Framing &Body) {
    const bool Fixed = Body.Kind == FramingKind::Fixed;
    Chunked_ = !Fixed && !To_.IsHttp10;
    if (!Fixed && To_.IsHttp10) {
      To_.KeepAlive = false;
      Head_.set(HTTPMessage::CONNECTION, HTTPMessage::CONNECTION_CLOSE);
    }
    const bool EndsByClose = !Fixed && !Chunked_;
    if (EndsByClose)
      To_.Connection.setResetOnClose(true);
    setFraming(Head_, Fixed ? Body
                            : Framing{Chunked_ ? FramingKind::Chunked
                                               : FramingKind::UntilClose,
                                      0});
    std::string Pending = serialize(Head_);
    std::vector<char> Buffer(InitialStreamBytes);
    while (const std::size_t Count = read(Buffer.data(), Buffer.size())) {
      appendPart(Pending, {Buffer.data(), Count});
      writeAll(To_, Pending);
      Pending.clear();
      Buffer.resize(StreamBufferBytes);
    }
    if (Chunked_)
      Pending += "0\r\n\r\n";
    if (!Pending.empty())
      writeAll(To_, Pending);
    if (EndsByClose)
      To_.Connection.setResetOnClose(false);
  }

  void appendPart(std::string &Pending, std::string_view Part) const {
    if (!Chunked_) {
      Pending.append(Part);
      return;
    }
    std::array<char, 24> Size{};
    const int Digits =
        std::snprintf(Size.data(), Size.size(), "%zx\r\n", Part.size());
    Pending.append(Size.data(), static_cast<std::size_t>(Digits));
    Pending.append(Part).append("\r\n");
  }

  Exchange &From_;
  Reply &To_;
  Milliseconds MaxStall_;
  ResponseCopy *Copy_;
  HTTPResponse Head_;
  bool Chunked_ = false;
  std::int64_t Bytes_ = 0;
};

} // namespace

AttemptResult relayResponse(Exchange &From, Reply &To, Milliseconds MaxStall,
                            ResponseCopy *Copy) {
  AttemptResult Result;
  Result.Status = From.response().getStatus();
  Relay Forwarding(From, To, MaxStall, Copy);
  const auto Failure = [&To](RefusalReason Reason, const char *Detail) {
    AttemptResult Failed = refused(Reason, Executed::Unknown, Detail);
    if (To.Started)
      Failed.End = AttemptEnd::Truncated;
    return Failed;
  };
  try {
    Forwarding.run();
  } catch (const CallerDisconnected &Error) {
    Result.End = AttemptEnd::CallerClosed;
    Result.Detail = Error.what();
    Result.IsResponseComplete = From.body().isComplete();
    return Result;
  } catch (const ConnectionTimeout &Error) {
    return Failure(RefusalReason::UpstreamTimeout, Error.what());
  } catch (const std::runtime_error &Error) {
    return Failure(RefusalReason::UpstreamFailed, Error.what());
  }
  Result.IsResponseComplete = true;
  Result.ResponseBytes = ByteCount(Forwarding.bytes());
  From.finish();
  return Result;
}

void writeRefusal(Reply &To, const CallContext &Call,
                  const AttemptResult &Result) {
  const int Status = statusOf(Result.Reason);
  HTTPResponse Head =
      makeHead(To, Status,
               HTTPResponse::getReasonForStatus(
                   static_cast<HTTPResponse::HTTPStatus>(Status)));
  const std::string Reason(toString(Result.Reason));
  const std::string ExecutionStatus(toString(Result.ExecutionStatus));
  Head.set(headers::RefusalIdName, Result.Id.str());
  Head.set(headers::ReasonName, Reason);
  Head.set(headers::ExecutedName, ExecutionStatus);
  Head.set(headers::DepthName, std::to_string(Call.Depth));
  if (!Call.Id.empty())
    Head.set(headers::RequestIdName, Call.Id.str());
  prependToPath(Head, To.Node);
  if (Result.Fault == UpstreamFailure::Crashed)
    Head.set(headers::UpstreamName, "crashed");
  else if (Result.Fault == UpstreamFailure::NoConnection)
    Head.set(headers::UpstreamName, "no-connection");
  if (const int Seconds = retryAfterSeconds(Result.Reason))
    Head.set(headers::RetryAfterName, std::to_string(Seconds));
  Head.setContentType("application/json");
  // Ids and codes contain no characters that need to be escaped in JSON.
  writeWithBody(To, Head,
                R"({"refusal":")" + Result.Id.str() + R"(","reason":")" +
                    Reason + R"(","executed":")" + ExecutionStatus + "\"}\n");
}

void writeRecorded(Reply &To, const requests::RecordedAnswer &Answer) {
  HTTPResponse Head =
      makeHead(To, Answer.Status,
               HTTPResponse::getReasonForStatus(
                   static_cast<HTTPResponse::HTTPStatus>(Answer.Status)));
  Head.set(headers::ExecutedName, std::string(toString(Executed::Yes)));
  prependToPath(Head, To.Node);
  // The record comes from the log.
  if (!Answer.ContentType.empty() && http::isFieldValue(Answer.ContentType))
    Head.setContentType(Answer.ContentType);
  writeWithBody(To, Head, Answer.Body.value_or(EmptyText));
}

void writeContinue(HttpConnection &To, SteadyTime Deadline) {
  try {
    To.write("HTTP/1.1 100 Continue\r\n\r\n", Deadline);
  } catch (const std::runtime_error &Error) {
    throw CallerDisconnected(Error.what());
  }
}

} // namespace lycheethread::proxy
