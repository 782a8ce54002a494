#include "sidecar/internal/UpstreamRequest.h"
#include "sidecar/internal/ReservedHeaders.h"

namespace lycheethread::sidecar {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

ClientRequest makeUpstreamRequest(const NodeContext &Context,
                                  const HopJob &From) {
  HTTPRequest Head(From.Head.getMethod(), From.Head.getURI(),
                   HTTPMessage::HTTP_1_1);
  http::copyEndToEndHeaders(From.Head, Head);
  setUpstreamHeaders(Context.Platform.Headers, From.Info,
                     Context.Registered.Current.Id, Context.now(), Head);
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
