#ifndef LYCHEETHREAD_TESTS_ROBUSTNESS_MUTATOR_H
#define LYCHEETHREAD_TESTS_ROBUSTNESS_MUTATOR_H

#include <cstdint>
#include <random>
#include <string>

namespace lycheethread::robustness {

/// Generates malformed inputs from valid ones, deterministic for a seed.
class Mutator {
public:
  explicit Mutator(std::uint64_t Seed);

  /// Returns a random number from 0 to \p Limit - 1.
  std::size_t nextBelow(std::size_t Limit);
  std::string randomBytes(std::size_t MaxLength);
  /// Returns \p Valid with one to four changes: flipped, inserted, removed or
  /// repeated bytes, or a truncated end.
  std::string mutate(std::string Valid);

private:
  void applyChange(std::string &Text);

  std::mt19937_64 Random_;
};

} // namespace lycheethread::robustness

#endif // LYCHEETHREAD_TESTS_ROBUSTNESS_MUTATOR_H
