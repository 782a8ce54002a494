#include "proxy/internal/RequestBody.h"

#include <algorithm>
#include <limits>

namespace lycheethread::proxy {

namespace {

constexpr std::size_t GrowStepBytes = 8 * 1024;

} // namespace

RequestBody::RequestBody(HttpConnection &From, Framing Body)
    : From_(From), Reader_(From, Body),
      Max_(std::numeric_limits<std::int64_t>::max()) {}

void RequestBody::limit(ByteCount Max) {
  Max_ = Max.value();
  const Framing &Body = Reader_.framing();
  if (Body.Kind == FramingKind::Fixed && Body.Length > Max_)
    throw CallerError(RefusalReason::BodyTooLarge, "the body is too large");
}

std::size_t RequestBody::read(char *To, std::size_t Size, SteadyTime Deadline) {
  std::size_t Count = 0;
  try {
    Count = Reader_.read(To, Size, Deadline);
  } catch (const ConnectionBroken &Error) {
    throw CallerDisconnected(Error.what());
  } catch (const ConnectionTimeout &Error) {
    throw CallerError(RefusalReason::Deadline, Error.what());
  } catch (const BadMessage &Error) {
    throw CallerError(RefusalReason::BadRequest, Error.what());
  }
  Received_ += static_cast<std::int64_t>(Count);
  if (Received_ > Max_)
    throw CallerError(RefusalReason::BodyTooLarge, "the body is too large");
  return Count;
}

void RequestBody::bufferFirstPart(SteadyTime Deadline) {
  while (!Reader_.isComplete() && Buffered_.size() < MaxReplayBodyBytes &&
         !Streamed_) {
    const std::size_t Old = Buffered_.size();
    Buffered_.resize(std::min(MaxReplayBodyBytes, Old + GrowStepBytes));
    const std::size_t Count =
        read(Buffered_.data() + Old, Buffered_.size() - Old, Deadline);
    Buffered_.resize(Old + Count);
  }
}

std::size_t RequestBody::readRemaining(char *To, std::size_t Size,
                                       SteadyTime Deadline) {
  if (Reader_.isComplete())
    return 0;
  Streamed_ = true;
  return read(To, Size, Deadline);
}

Framing RequestBody::framing() const {
  const Framing &Original = Reader_.framing();
  if (Original.Kind == FramingKind::Chunked && Reader_.isComplete() &&
      canReplay())
    return {FramingKind::Fixed, static_cast<std::int64_t>(Buffered_.size())};
  return Original;
}

} // namespace lycheethread::proxy
