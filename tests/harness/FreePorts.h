#ifndef LYCHEETHREAD_TESTS_HARNESS_FREEPORTS_H
#define LYCHEETHREAD_TESTS_HARNESS_FREEPORTS_H

#include <cstdint>

namespace lycheethread::harness {

/// Returns a port of 127.0.0.1 that is free for TCP and UDP and that this
/// process has not returned before. Throws std::runtime_error when no block of
/// ports is free.
std::uint16_t freePort();

} // namespace lycheethread::harness

#endif // LYCHEETHREAD_TESTS_HARNESS_FREEPORTS_H
