#include "proxy/internal/Reply.h"
#include "proxy/internal/Clock.h"

#include <array>
#include <cstdio>
#include <vector>

namespace lycheethread::proxy {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

constexpr std::size_t StreamBytes = 64 * 1024;
constexpr std::size_t FirstStreamBytes = 8 * 1024;
constexpr Milliseconds WriteTime{10000};
const std::string NoText;

HTTPResponse makeHead(const Reply &To, int Status, const std::string &Reason) {
  HTTPResponse Head(HTTPMessage::HTTP_1_1,
                    static_cast<HTTPResponse::HTTPStatus>(Status), Reason);
  if (!To.KeepAlive)
    Head.set(HTTPMessage::CONNECTION, HTTPMessage::CONNECTION_CLOSE);
  else if (To.IsHttp10)
    Head.set(HTTPMessage::CONNECTION, HTTPMessage::CONNECTION_KEEP_ALIVE);
  return Head;
}

void addPath(HTTPResponse &Head, const NodeId &Node) {
  const std::string Deeper = Head.get(headers::PathName, NoText);
  Head.set(headers::PathName,
           Deeper.empty() ? Node.str() : Node.str() + ", " + Deeper);
}

void writeAll(Reply &To, const std::string &Data) {
  To.Started = true;
  try {
    To.To.write(Data, after(steadyNow(), WriteTime));
  } catch (const std::runtime_error &Error) {
    throw CallerDisconnected(Error.what());
  }
}

void writeSimple(Reply &To, HTTPResponse &Head, const std::string &Body) {
  Head.setContentLength64(static_cast<std::int64_t>(Body.size()));
  std::string Data = serialize(Head);
  if (To.Method != Poco::Net::HTTPRequest::HTTP_HEAD)
    Data += Body;
  writeAll(To, Data);
}

/// One relay of one answer.
class Relay {
public:
  Relay(Exchange &From, Reply &To, Milliseconds Stall, AnswerCopy *Copy)
      : From_(From), To_(To), Stall_(Stall), Copy_(Copy),
        Head_(makeHead(To, From.answer().getStatus(),
                       From.answer().getReason())) {
    copyEndToEndHeaders(From.answer(), Head_);
    Head_.erase(headers::UpstreamName);
    addPath(Head_, To.Node);
    if (Copy != nullptr)
      Copy->ContentType = From.answer().get(HTTPMessage::CONTENT_TYPE, NoText);
  }

  void run() {
    const Framing &Body = From_.body().framing();
    if (Body.Kind == FramingKind::None)
      return sendWithoutBody();
    if (Body.Kind == FramingKind::Fixed &&
        Body.Length <= static_cast<std::int64_t>(StreamBytes))
      return sendSmall(static_cast<std::size_t>(Body.Length));
    sendStream(Body);
  }

  std::int64_t bytes() const { return Bytes_; }

private:
  std::size_t read(char *Into, std::size_t Size) {
    const SteadyTime Limit = after(steadyNow(), Stall_);
    From_.waitForPeer(To_.To, Limit);
    const std::size_t Count = From_.body().read(Into, Size, Limit);
    Bytes_ += static_cast<std::int64_t>(Count);
    if (Copy_ != nullptr)
      keep({Into, Count});
    return Count;
  }

  void keep(std::string_view Part) {
    Copy_->Whole = Copy_->Whole && Copy_->Body.size() + Part.size() <=
                                       requests::MaxRecordedBody;
    if (Copy_->Whole)
      Copy_->Body.append(Part);
  }

  void sendWithoutBody() {
    // The length of what a GET would return is an end-to-end header here.
    const HTTPResponse &Answer = From_.answer();
    if (Answer.has(HTTPMessage::CONTENT_LENGTH))
      Head_.set(HTTPMessage::CONTENT_LENGTH,
                Answer.get(HTTPMessage::CONTENT_LENGTH));
    writeAll(To_, serialize(Head_));
  }

  void sendSmall(std::size_t Length) {
    Head_.setContentLength64(static_cast<std::int64_t>(Length));
    std::string Data = serialize(Head_);
    const std::size_t HeadSize = Data.size();
    Data.resize(HeadSize + Length);
    std::size_t Have = 0;
    while (Have < Length)
      Have += read(Data.data() + HeadSize + Have, Length - Have);
    writeAll(To_, Data);
  }

  void sendStream(const Framing &Body) {
    const bool Fixed = Body.Kind == FramingKind::Fixed;
    Chunked_ = !Fixed && !To_.IsHttp10;
    if (!Fixed && To_.IsHttp10) {
      To_.KeepAlive = false;
      Head_.set(HTTPMessage::CONNECTION, HTTPMessage::CONNECTION_CLOSE);
    }
    setFraming(Head_, Fixed ? Body
                            : Framing{Chunked_ ? FramingKind::Chunked
                                               : FramingKind::UntilClose,
                                      0});
    std::string Pending = serialize(Head_);
    std::vector<char> Buffer(FirstStreamBytes);
    while (const std::size_t Count = read(Buffer.data(), Buffer.size())) {
      appendPart(Pending, {Buffer.data(), Count});
      writeAll(To_, Pending);
      Pending.clear();
      Buffer.resize(StreamBytes);
    }
    if (Chunked_)
      Pending += "0\r\n\r\n";
    if (!Pending.empty())
      writeAll(To_, Pending);
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
  Milliseconds Stall_;
  AnswerCopy *Copy_;
  HTTPResponse Head_;
  bool Chunked_ = false;
  std::int64_t Bytes_ = 0;
};

} // namespace

AttemptResult relayAnswer(Exchange &From, Reply &To, Milliseconds Stall,
                          AnswerCopy *Copy) {
  AttemptResult Result;
  Result.Status = From.answer().getStatus();
  Relay Run(From, To, Stall, Copy);
  const auto Broken = [&To](RefusalReason Reason, const char *Why) {
    AttemptResult Failed = refused(Reason, Executed::Unknown, Why);
    if (To.Started)
      Failed.End = AttemptEnd::Truncated;
    return Failed;
  };
  try {
    Run.run();
  } catch (const CallerDisconnected &Error) {
    Result.End = AttemptEnd::CallerClosed;
    Result.Detail = Error.what();
    Result.AnswerComplete = From.body().isComplete();
    return Result;
  } catch (const ConnectionTimeout &Error) {
    return Broken(RefusalReason::UpstreamTimeout, Error.what());
  } catch (const std::runtime_error &Error) {
    return Broken(RefusalReason::UpstreamFailed, Error.what());
  }
  Result.AnswerComplete = true;
  Result.AnswerBytes = ByteCount(Run.bytes());
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
  addPath(Head, To.Node);
  if (Result.Fault == UpstreamFailure::Crashed)
    Head.set(headers::UpstreamName, "crashed");
  else if (Result.Fault == UpstreamFailure::NoConnection)
    Head.set(headers::UpstreamName, "no-connection");
  if (const int Seconds = retryAfterSeconds(Result.Reason))
    Head.set(headers::RetryAfterName, std::to_string(Seconds));
  Head.setContentType("application/json");
  // Ids and codes hold no character that JSON escapes.
  writeSimple(To, Head,
              R"({"refusal":")" + Result.Id.str() + R"(","reason":")" + Reason +
                  R"(","executed":")" + ExecutionStatus + "\"}\n");
}

void writeRecorded(Reply &To, const requests::RecordedAnswer &Answer) {
  HTTPResponse Head =
      makeHead(To, Answer.Status,
               HTTPResponse::getReasonForStatus(
                   static_cast<HTTPResponse::HTTPStatus>(Answer.Status)));
  Head.set(headers::ExecutedName, std::string(toString(Executed::Yes)));
  addPath(Head, To.Node);
  if (!Answer.ContentType.empty())
    Head.setContentType(Answer.ContentType);
  writeSimple(To, Head, Answer.Body.value_or(NoText));
}

void writeContinue(HttpConnection &To, SteadyTime Deadline) {
  try {
    To.write("HTTP/1.1 100 Continue\r\n\r\n", Deadline);
  } catch (const std::runtime_error &Error) {
    throw CallerDisconnected(Error.what());
  }
}

} // namespace lycheethread::proxy
