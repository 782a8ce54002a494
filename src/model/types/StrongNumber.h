#ifndef LYCHEETHREAD_MODEL_TYPES_STRONGNUMBER_H
#define LYCHEETHREAD_MODEL_TYPES_STRONGNUMBER_H

#include <cstdint>
#include <ostream>

namespace lycheethread {

/// 64-bit count or position that can be compared only with values of the same
/// type.
template <typename Tag> class StrongNumber {
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::int64_t Value) : Value_(Value) {}

  constexpr std::int64_t value() const { return Value_; }
  constexpr StrongNumber next() const { return StrongNumber(Value_ + 1); }

  friend constexpr bool operator==(StrongNumber L, StrongNumber R) {
    return L.Value_ == R.Value_;
  }
  friend constexpr bool operator!=(StrongNumber L, StrongNumber R) {
    return L.Value_ != R.Value_;
  }
  friend constexpr bool operator<(StrongNumber L, StrongNumber R) {
    return L.Value_ < R.Value_;
  }
  friend constexpr bool operator<=(StrongNumber L, StrongNumber R) {
    return L.Value_ <= R.Value_;
  }
  friend constexpr bool operator>(StrongNumber L, StrongNumber R) {
    return L.Value_ > R.Value_;
  }
  friend constexpr bool operator>=(StrongNumber L, StrongNumber R) {
    return L.Value_ >= R.Value_;
  }
  friend std::ostream &operator<<(std::ostream &Out, StrongNumber Number) {
    return Out << Number.Value_;
  }

private:
  std::int64_t Value_ = 0;
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_STRONGNUMBER_H
