#include "sidecar/internal/UpstreamRequest.h"

#include <algorithm>

namespace lycheethread::sidecar {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

ClientRequest makeUpstreamRequest(const NodeContext &Context,
                                  const HopJob &From) {
  const HeaderNames &Names = Context.Platform.Headers;
  HTTPRequest Head(From.Head.getMethod(), From.Head.getURI(),
                   HTTPMessage::HTTP_1_1);
  http::copyEndToEndHeaders(From.Head, Head);
  const Milliseconds Left = elapsed(Context.now(), From.Info.DeadlineAt);
  http::setField(Head, Names.Deadline,
                 std::to_string(std::max<std::int64_t>(1, Left.count())));
  http::setField(Head, Names.ExpectInstance,
                 Context.Registered.Current.Id.str());
  http::setField(Head, Names.CallerService, From.Info.Caller.str());
  ClientRequest Request;
  Request.Method = From.Head.getMethod();
  http::Framing Body = From.Framing;
  if (Body.Kind == http::FramingKind::Chunked && From.Body->isEnded())
    Body = {http::FramingKind::Fixed,
            static_cast<std::int64_t>(From.Body->size())};
  http::setFraming(Head, Body);
  Request.Chunked = Body.Kind == http::FramingKind::Chunked;
  Request.Head = http::serialize(Head);
  if (Body.Kind != http::FramingKind::None)
    Request.Body = From.Body;
  return Request;
}

} // namespace lycheethread::sidecar
