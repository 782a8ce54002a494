#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_BODYPIPE_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_BODYPIPE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lycheethread::sidecar {

/// A bounded buffer that passes a body from the connection that receives it to
/// the connection that forwards it.
class BodyPipe {
public:
  static constexpr std::size_t DefaultHighWater = 64 * 1024;

  static std::shared_ptr<BodyPipe> complete(std::string Body);

  void append(std::string_view Data);
  /// Marks the body as complete.
  void end();
  /// Marks the body as cut off: the rest will not arrive.
  void fail();

  bool isEnded() const { return Ended_; }
  bool hasFailed() const { return Failed_; }
  /// Whether the body is complete and fully consumed.
  bool isDone() const { return Ended_ && Buffer_.empty(); }
  std::size_t size() const { return Buffer_.size(); }
  /// Whether part of the body has been consumed and cannot be read again.
  bool wasTaken() const { return Taken_; }
  /// Whether the producer should pause.
  bool isFull() const { return Buffer_.size() >= HighWater_; }
  void setHighWater(std::size_t Bytes) { HighWater_ = Bytes; }
  /// Takes and returns all buffered bytes.
  std::string take();

  /// Called when more bytes are buffered, or the body has ended or failed.
  std::function<void()> OnChange;
  /// Called when the buffer has been emptied.
  std::function<void()> OnDrained;

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
