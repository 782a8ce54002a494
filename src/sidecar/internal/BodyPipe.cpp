#include "sidecar/internal/BodyPipe.h"

namespace lycheethread::sidecar {

std::shared_ptr<BodyPipe> BodyPipe::complete(std::string Body) {
  auto Pipe = std::make_shared<BodyPipe>();
  Pipe->Buffer_ = std::move(Body);
  Pipe->Ended_ = true;
  return Pipe;
}

void BodyPipe::append(std::string_view Data) {
  if (Data.empty() || Ended_ || Failed_)
    return;
  Buffer_.append(Data);
  notify();
}

void BodyPipe::end() {
  if (Ended_ || Failed_)
    return;
  Ended_ = true;
  notify();
}

void BodyPipe::fail() {
  if (Ended_ || Failed_)
    return;
  Failed_ = true;
  notify();
}

std::string BodyPipe::take() {
  std::string Taken;
  Taken.swap(Buffer_);
  Taken_ = Taken_ || !Taken.empty();
  const auto Callback = OnDrained;
  if (!Taken.empty() && Callback)
    Callback();
  return Taken;
}

void BodyPipe::notify() {
  const auto Callback = OnChange;
  if (Callback)
    Callback();
}

} // namespace lycheethread::sidecar
