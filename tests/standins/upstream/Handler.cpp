#include "Handler.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StreamCopier.h>

#include <array>
#include <cstdint>
#include <cstdlib>

namespace lycheethread::upstream {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Exit code of a process that a signal ended by abort().
constexpr int CrashCode = 134;
constexpr std::size_t MaxEcho = 1024 * 1024;

struct ReadBody {
  std::string First;
  std::string Digest;
  std::int64_t Bytes = 0;
  bool Complete = true;
};

ReadBody readBody(HTTPServerRequest &Request) {
  ReadBody Result;
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  std::array<char, 65536> Buffer{};
  std::istream &In = Request.stream();
  while (In.good()) {
    In.read(Buffer.data(), Buffer.size());
    const auto Count = static_cast<std::size_t>(In.gcount());
    Engine.update(Buffer.data(), Count);
    Result.Bytes += static_cast<std::int64_t>(Count);
    if (Result.First.size() < MaxEcho)
      Result.First.append(Buffer.data(), Count);
  }
  Result.Digest = Poco::DigestEngine::digestToHex(Engine.digest());
  Result.Complete = !Request.hasContentLength() ||
                    Request.getContentLength64() == Result.Bytes;
  return Result;
}

std::string parameter(const Poco::URI &Uri, const std::string &Name,
                      const std::string &Default) {
  for (const auto &[Key, Value] : Uri.getQueryParameters())
    if (Key == Name)
      return Value;
  return Default;
}

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.rfind(Prefix, 0) == 0;
}

class Slot {
public:
  explicit Slot(Faults &Of) : Of_(Of), Taken_(Of.enter()) {}
  ~Slot() {
    if (Taken_)
      Of_.leave();
  }
  Slot(const Slot &) = delete;
  Slot &operator=(const Slot &) = delete;
  bool isTaken() const { return Taken_; }

private:
  Faults &Of_;
  bool Taken_;
};

} // namespace

Handler::Handler(const Options &Used, Faults &Shared)
    : Options_(Used), Faults_(Shared) {}

void Handler::answer(HTTPServerResponse &Response,
                     const std::string &Body) const {
  Response.set("x-version", Options_.Version);
  Response.sendBuffer(Body.data(), Body.size());
}

void Handler::work(const Poco::URI &Uri, HTTPServerRequest &Request,
                   HTTPServerResponse &Response) {
  const Treatment Done = Faults_.treat(Uri.getPath());
  const ReadBody Body = readBody(Request);
  if (!Body.Complete)
    return Response.setKeepAlive(false);
  Faults_.countExecution(Request.get("idempotency-key", ""));
  Faults_.recordRun(Request.get("x-run-id", "-"));
  if (Request.get("x-crash", "") == "1")
    std::_Exit(CrashCode);
  const int Delay = Done.DelayMs + std::stoi(parameter(Uri, "ms", "0"));
  Faults_.work(Delay);
  if (Done.Fail) {
    Response.setStatusAndReason(HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    return answer(Response, "failed on purpose\n");
  }
  if (startsWith(Uri.getPath(), "/upload"))
    return answer(Response,
                  std::to_string(Body.Bytes) + " " + Body.Digest + "\n");
  if (parameter(Uri, "digest", "0") == "1")
    return answer(Response, Body.Digest + "\n");
  if (startsWith(Uri.getPath(), "/echo"))
    return answer(Response, Body.First);
  const std::string Size = parameter(Uri, "bytes", "");
  answer(Response, Size.empty() ? "ok " + Options_.Version + "\n"
                                : std::string(std::stoul(Size), 'x'));
}

void Handler::chain(const Poco::URI &Uri, HTTPServerRequest &Request,
                    HTTPServerResponse &Response) {
  const Poco::Net::SocketAddress Node(Options_.Node);
  Poco::Net::HTTPClientSession Session(Node.host().toString(), Node.port());
  const std::string RunId = Request.get("x-run-id", "-");
  Faults_.recordRun(RunId);
  HTTPRequest Onward(HTTPRequest::HTTP_GET, parameter(Uri, "path", "/work"),
                     HTTPRequest::HTTP_1_1);
  Onward.setHost(parameter(Uri, "service", ""));
  for (const auto &[Name, Value] : Request)
    if (startsWith(Name, "lt-"))
      Onward.set(Name, Value);
  Onward.set("x-run-id", RunId);
  Session.sendRequest(Onward);
  HTTPResponse Inner;
  std::string Body;
  Poco::StreamCopier::copyToString(Session.receiveResponse(Inner), Body);
  Response.setStatusAndReason(Inner.getStatus(), Inner.getReason());
  for (const auto &[Name, Value] : Inner)
    if (startsWith(Name, "lt-") && Name != "lt-path")
      Response.set(Name, Value);
  Response.set("x-inner-path", Inner.get("lt-path", ""));
  answer(Response, "chain: " + Body);
}

void Handler::serve(HTTPServerRequest &Request, HTTPServerResponse &Response) {
  const Poco::URI Uri(Request.getURI());
  const std::string &Path = Uri.getPath();
  if (Path == "/control/executions")
    return answer(Response, Faults_.executions());
  if (Path == "/control") {
    Faults_.control(Uri);
    return answer(Response, "ok\n");
  }
  if (Path == "/health") {
    if (!Faults_.isHealthy())
      Response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    return answer(Response, Faults_.isHealthy() ? "ok\n" : "bad\n");
  }
  const Slot Own(Faults_);
  if (!Own.isTaken()) {
    Response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    Response.set("lt-shed", "1");
    Response.setKeepAlive(false);
    return answer(Response, "shed\n");
  }
  if (Path == "/chain" || !parameter(Uri, "service", "").empty())
    return chain(Uri, Request, Response);
  work(Uri, Request, Response);
}

void Handler::handleRequest(HTTPServerRequest &Request,
                            HTTPServerResponse &Response) {
  try {
    serve(Request, Response);
  } catch (const std::exception &Error) {
    if (Response.sent())
      return;
    Response.setStatusAndReason(HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    Response.setKeepAlive(false);
    answer(Response, std::string("error: ") + Error.what() + "\n");
  }
}

} // namespace lycheethread::upstream
