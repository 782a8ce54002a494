#ifndef LYCHEETHREAD_TESTS_ROBUSTNESS_MUTATOR_H
#define LYCHEETHREAD_TESTS_ROBUSTNESS_MUTATOR_H

#include <cstdint>
#include <random>
#include <string>

namespace lycheethread::robustness {

/// Makes bad inputs from good ones; the same seed gives the same inputs.
class Mutator {
public:
  explicit Mutator(std::uint64_t Seed);

  /// 0 to \p Limit - 1.
  std::size_t below(std::size_t Limit);
  std::string randomBytes(std::size_t MaxLength);
  /// \p Good with one to four changes: flipped, inserted, removed or repeated
  /// bytes, or a cut end.
  std::string mutated(std::string Good);

private:
  void change(std::string &Text);

  std::mt19937_64 Random_;
};

} // namespace lycheethread::robustness

#endif // LYCHEETHREAD_TESTS_ROBUSTNESS_MUTATOR_H
