#ifndef LYCHEETHREAD_MODEL_TYPES_STRONGID_H
#define LYCHEETHREAD_MODEL_TYPES_STRONGID_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lycheethread {

/// String id that can be compared only with ids of the same type.
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Text) : Text_(std::move(Text)) {}

  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }

  friend bool operator==(const StrongId &L, const StrongId &R) {
    return L.Text_ == R.Text_;
  }
  friend bool operator!=(const StrongId &L, const StrongId &R) {
    return L.Text_ != R.Text_;
  }
  friend bool operator<(const StrongId &L, const StrongId &R) {
    return L.Text_ < R.Text_;
  }
  friend std::ostream &operator<<(std::ostream &Out, const StrongId &Id) {
    return Out << Id.Text_;
  }

private:
  std::string Text_;
};

} // namespace lycheethread

template <typename Tag> struct std::hash<lycheethread::StrongId<Tag>> {
  std::size_t operator()(const lycheethread::StrongId<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.str());
  }
};

#endif // LYCHEETHREAD_MODEL_TYPES_STRONGID_H
