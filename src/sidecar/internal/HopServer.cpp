#include "sidecar/internal/HopServer.h"
#include "sidecar/internal/GossipCodec.h"
#include "sidecar/internal/HopHeaders.h"
#include "sidecar/internal/ReservedHeaders.h"

#include <Poco/NumberParser.h>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

const std::string RecordsPath = "/records?from=";

} // namespace

HopServer::HopServer(NodeContext &Context, UpstreamHop &Hop)
    : Context_(Context), Hop_(Hop) {}

void HopServer::handle(const ServerRequestPtr &Request) {
  const HTTPRequest &Head = Request->head();
  if (!Head.has(HopInfoName)) {
    if (Head.getURI().rfind(RecordsPath, 0) == 0)
      answerRecords(Request);
    else
      Request->answer(HTTPResponse::HTTP_NOT_FOUND,
                      "the request does not come from a node");
    return;
  }
  // The entry has given the request up; its connection ends next.
  if (Request->hasPeerClosed())
    return;
  if (Context_.Stopping && !Context_.Serving) {
    // It could not be finished before the node ends.
    answerOutcome(Request, notRun(RefusalReason::Draining));
    return;
  }
  const auto Info = decodeInfo(Head.get(HopInfoName), Context_.arrival());
  if (!Info) {
    Context_.Log.write(LogClass::Failure, Context_.now(), "hop-unreadable",
                       {{"info", Head.get(HopInfoName)}});
    Request->answer(HTTPResponse::HTTP_BAD_REQUEST,
                    "cannot decode the header " + HopInfoName);
    return;
  }
  HopJob Job;
  Job.Info = *Info;
  Job.Id = RequestId(Head.get(Context_.Platform.Headers.RequestId, ""));
  Job.Head = Head;
  removeReservedHeaders(Context_.Platform.Headers, Job.Info, Job.Head);
  if (Head.has(HopStatedName))
    Job.KnownLimit = decodeStated(Head.get(HopStatedName));
  Job.Framing = Request->framing();
  Job.Body = Request->body();
  if (Head.has("Expect"))
    Job.OnGranted = [Request] { Request->sendContinue(); };
  Job.OnEnd = [this, Request](HopOutcome Outcome) {
    Request->onGone(nullptr);
    answerOutcome(Request, std::move(Outcome));
  };
  const auto Started = std::make_shared<mesh::JobId>();
  Request->onGone([this, Started] { Hop_.cancel(*Started); });
  *Started = Hop_.submit(std::move(Job));
}

void HopServer::answerRecords(const ServerRequestPtr &Request) {
  Poco::Int64 From = 0;
  Poco::NumberParser::tryParse64(
      Request->head().getURI().substr(RecordsPath.size()), From);
  if (EncodedFrom_ != Offset(From) ||
      EncodedRevision_ != Context_.Records.Revision) {
    OperatorRecords Newer;
    Newer.Position = Context_.Records.Position;
    for (const auto &[Key, Record] : Context_.Records.Items)
      if (Record.At >= Offset(From))
        Newer.Items.emplace(Key, Record);
    Encoded_ = encodeRecords(Newer);
    EncodedFrom_ = Offset(From);
    EncodedRevision_ = Context_.Records.Revision;
  }
  Request->answer(HTTPResponse::HTTP_OK, Encoded_, "application/octet-stream");
}

void HopServer::answerOutcome(const ServerRequestPtr &Request,
                              HopOutcome Outcome) {
  const mesh::LoadReport Load = Outcome.Load.value_or(Hop_.load());
  const auto SetLoad = [&Load](HTTPResponse &Head) {
    http::setField(Head, HopLoadName, encodeLoad(Load));
    Head.erase(HopLimitName);
    if (Load.LimitPerSecond)
      Head.add(HopLimitName, encodeLimit(Load));
  };
  if (Outcome.End != HopResult::Answered) {
    HTTPResponse Head(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    Head.set(HopRefusalName, encodeRefusal(Outcome));
    SetLoad(Head);
    Request->answer(Head, BodyPipe::complete(""));
    return;
  }
  const HTTPResponse &From = Outcome.Answer.Head;
  HTTPResponse Head(From.getStatus(), From.getReason());
  http::copyEndToEndHeaders(From, Head);
  Head.erase(HopRefusalName);
  SetLoad(Head);
  Request->answer(Head, Outcome.Answer.Body, Outcome.Answer.KnownLength);
}

} // namespace lycheethread::sidecar
