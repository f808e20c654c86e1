#include "Utilities/Policy/AllocationCounter.h"

#include <cstdlib>
#include <new>

namespace {

thread_local fennelline::AllocationCount gCount; // NOLINT(readability-identifier-naming)

} // namespace

namespace fennelline {

AllocationCount CountAllocations() {
  return gCount;
}

} // namespace fennelline

void* operator new(std::size_t aSize) {
  ++gCount.m_calls;
  gCount.m_bytes += static_cast<std::int64_t>(aSize);
  void* memory = std::malloc(aSize); // NOLINT
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* aMemory) noexcept {
  std::free(aMemory); // NOLINT
}

void operator delete(void* aMemory, std::size_t /*aSize*/) noexcept {
  std::free(aMemory); // NOLINT
}
