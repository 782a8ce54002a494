#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_BODYPIPE_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_BODYPIPE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lycheethread::sidecar {

/// Carries a body from the connection that receives it to the one that sends
/// it on, with a bounded buffer.
class BodyPipe {
public:
  static constexpr std::size_t DefaultHighWater = 64 * 1024;

  static std::shared_ptr<BodyPipe> complete(std::string Body);

  void append(std::string_view Data);
  /// The body is complete.
  void end();
  /// The rest of the body will not come.
  void fail();

  bool isEnded() const { return Ended_; }
  bool hasFailed() const { return Failed_; }
  /// Nothing more to take now or later.
  bool isDone() const { return Ended_ && Buffer_.empty(); }
  std::size_t size() const { return Buffer_.size(); }
  /// Whether part of the body has been taken and cannot be taken again.
  bool wasTaken() const { return Taken_; }
  /// The producer should pause.
  bool isFull() const { return Buffer_.size() >= HighWater_; }
  void setHighWater(std::size_t Bytes) { HighWater_ = Bytes; }
  /// Takes everything that is buffered.
  std::string take();

  /// Called when there are more bytes, or the body has ended or failed.
  std::function<void()> OnChange;
  /// Called when the buffer has been emptied.
  std::function<void()> OnRoom;

private:
  void notify();

  std::string Buffer_;
  std::size_t HighWater_ = DefaultHighWater;
  bool Taken_ = false;
  bool Ended_ = false;
  bool Failed_ = false;
};

using BodyPipePtr = std::shared_ptr<BodyPipe>;

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_BODYPIPE_H
