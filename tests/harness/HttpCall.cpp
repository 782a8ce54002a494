#include "HttpCall.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

namespace lycheethread::harness {

namespace {

namespace net = Poco::Net;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

void exchange(const HttpCall &Call, HttpAnswer &Answer) {
  net::HTTPClientSession Session("127.0.0.1", Call.Port);
  Session.setTimeout(
      Poco::Timespan(Call.Timeout.count() * MicrosecondsPerMillisecond));
  net::HTTPRequest Request(Call.Method, Call.Path, "HTTP/1.1");
  for (const auto &[Name, Value] : Call.Headers)
    Request.set(Name, Value);
  Request.setContentLength64(static_cast<Poco::Int64>(Call.Body.size()));
  try {
    std::ostream &Out = Session.sendRequest(Request);
    Out.write(Call.Body.data(), static_cast<std::streamsize>(Call.Body.size()));
    Out.flush();
  } catch (const Poco::Exception &Error) {
    // The server may refuse the request and close the connection before the
    // whole body is sent; the answer is read below.
    Answer.Error = Error.displayText();
  }
  net::HTTPResponse Response;
  std::istream &In = Session.receiveResponse(Response);
  const int Status = Response.getStatus();
  Poco::StreamCopier::copyToString64(In, Answer.Body);
  for (const auto &[Name, Value] : Response)
    Answer.Headers[Poco::toLower(Name)] = Value;
  const Poco::Int64 Length = Response.getContentLength64();
  if (Length >= 0 && Length != static_cast<Poco::Int64>(Answer.Body.size()))
    Answer.Error = "the answer is incomplete";
  else
    Answer.Status = Status;
}

} // namespace

std::string HttpAnswer::header(const std::string &Name) const {
  const auto It = Headers.find(Name);
  return It == Headers.end() ? "" : It->second;
}

HttpAnswer send(const HttpCall &Call) {
  HttpAnswer Answer;
  const auto Start = std::chrono::steady_clock::now();
  try {
    exchange(Call, Answer);
  } catch (const Poco::Exception &Error) {
    Answer.Error = Error.displayText();
  }
  Answer.Took = std::chrono::steady_clock::now() - Start;
  return Answer;
}

} // namespace lycheethread::harness
