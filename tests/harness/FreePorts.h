#ifndef LYCHEETHREAD_TESTS_HARNESS_FREEPORTS_H
#define LYCHEETHREAD_TESTS_HARNESS_FREEPORTS_H

#include <cstdint>

namespace lycheethread::harness {

/// A port of 127.0.0.1 that is free for TCP and UDP and that this process did
/// not hand out before. Throws std::runtime_error when there is none.
std::uint16_t freePort();

} // namespace lycheethread::harness

#endif // LYCHEETHREAD_TESTS_HARNESS_FREEPORTS_H
