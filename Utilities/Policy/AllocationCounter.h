#pragma once

#include <cstdint>

namespace fennelline {

/// Allocations and bytes asked for by this thread since it started. Counted in programs that link
/// AllocationCounter.cpp, which replaces the global operator new.
struct AllocationCount {
  std::int64_t m_calls = 0;
  std::int64_t m_bytes = 0;
};

AllocationCount CountAllocations();

} // namespace fennelline
