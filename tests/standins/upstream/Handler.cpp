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

/// Exit status that a shell reports for a process ended by abort(): 128 plus
/// SIGABRT.
constexpr int CrashCode = 134;
constexpr std::size_t MaxEchoBytes = 1024 * 1024;

struct ReadBody {
  std::string Echo;
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
    if (Result.Echo.size() < MaxEchoBytes)
      Result.Echo.append(Buffer.data(), Count);
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

class SlotGuard {
public:
  explicit SlotGuard(Faults &Shared)
      : Shared_(Shared), Acquired_(Shared.acquireSlot()) {}
  ~SlotGuard() {
    if (Acquired_)
      Shared_.releaseSlot();
  }
  SlotGuard(const SlotGuard &) = delete;
  SlotGuard &operator=(const SlotGuard &) = delete;
  bool isAcquired() const { return Acquired_; }

private:
  Faults &Shared_;
  bool Acquired_;
};

} // namespace

Handler::Handler(const Options &Config, Faults &Shared)
    : Options_(Config), Faults_(Shared) {}

void Handler::answer(HTTPServerResponse &Response,
                     const std::string &Body) const {
  Response.set("x-version", Options_.Version);
  const std::string Limit = Faults_.statedLimit();
  if (!Limit.empty())
    Response.set("lt-limit", Limit);
  if (Faults_.saysItLeaves())
    Response.set("lt-leaving", "1");
  Response.sendBuffer(Body.data(), Body.size());
}

void Handler::work(const Poco::URI &Uri, HTTPServerRequest &Request,
                   HTTPServerResponse &Response) {
  const FaultDecision Decision = Faults_.decideFault(Uri.getPath());
  const ReadBody Body = readBody(Request);
  if (!Body.Complete)
    return Response.setKeepAlive(false);
  Faults_.countExecution(Request.get("idempotency-key", ""));
  Faults_.recordRun(Request.get("x-run-id", "-"));
  if (Request.get("x-crash", "") == "1")
    std::_Exit(CrashCode);
  const int Delay = Decision.DelayMs + std::stoi(parameter(Uri, "ms", "0"));
  Faults_.work(Delay);
  if (Decision.Fail) {
    Response.setStatusAndReason(HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    return answer(Response, "failed on purpose\n");
  }
  if (startsWith(Uri.getPath(), "/upload"))
    return answer(Response,
                  std::to_string(Body.Bytes) + " " + Body.Digest + "\n");
  if (parameter(Uri, "digest", "0") == "1")
    return answer(Response, Body.Digest + "\n");
  if (startsWith(Uri.getPath(), "/echo"))
    return answer(Response, Body.Echo);
  const std::string Size = parameter(Uri, "bytes", "");
  answer(Response, Size.empty() ? "ok " + Options_.Version + "\n"
                                : std::string(std::stoul(Size), 'x'));
}

void Handler::forwardToNode(const Poco::URI &Uri, HTTPServerRequest &Request,
                            HTTPServerResponse &Response) {
  const Poco::Net::SocketAddress Node(Options_.Node);
  Poco::Net::HTTPClientSession Session(Node.host().toString(), Node.port());
  const std::string RunId = Request.get("x-run-id", "-");
  Faults_.recordRun(RunId);
  HTTPRequest OutgoingRequest(HTTPRequest::HTTP_GET,
                              parameter(Uri, "path", "/work"),
                              HTTPRequest::HTTP_1_1);
  OutgoingRequest.setHost(parameter(Uri, "service", ""));
  for (const auto &[Name, Value] : Request)
    if (startsWith(Name, "lt-"))
      OutgoingRequest.set(Name, Value);
  OutgoingRequest.set("x-run-id", RunId);
  Session.sendRequest(OutgoingRequest);
  HTTPResponse InnerResponse;
  std::string Body;
  Poco::StreamCopier::copyToString(Session.receiveResponse(InnerResponse),
                                   Body);
  Response.setStatusAndReason(InnerResponse.getStatus(),
                              InnerResponse.getReason());
  for (const auto &[Name, Value] : InnerResponse)
    if (startsWith(Name, "lt-") && Name != "lt-path")
      Response.set(Name, Value);
  Response.set("x-inner-path", InnerResponse.get("lt-path", ""));
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
  const SlotGuard Guard(Faults_);
  if (!Guard.isAcquired()) {
    Response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    Response.set("lt-shed", "1");
    Response.setKeepAlive(false);
    return answer(Response, "shed\n");
  }
  if (Path == "/chain" || !parameter(Uri, "service", "").empty())
    return forwardToNode(Uri, Request, Response);
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
