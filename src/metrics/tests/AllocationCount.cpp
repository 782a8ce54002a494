#include "AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::size_t Allocations = 0;

} // namespace

// The default array forms call these. They have a source of their own because
// the compiler warns of mismatched pairs where it can inline them.
void *operator new(std::size_t Size) {
  ++Allocations;
  void *const Memory = std::malloc(Size == 0 ? 1 : Size);
  if (Memory == nullptr)
    throw std::bad_alloc();
  return Memory;
}

void operator delete(void *Memory) noexcept { std::free(Memory); }

void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

namespace lycheethread::metrics {

std::size_t allocationCount() { return Allocations; }

} // namespace lycheethread::metrics
