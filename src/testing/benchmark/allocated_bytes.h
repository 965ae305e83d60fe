// The memory that the process has allocated and not yet freed, as reported by the allocator.
#ifndef LEMONCROFT_TESTING_BENCHMARK_ALLOCATED_BYTES_H_
#define LEMONCROFT_TESTING_BENCHMARK_ALLOCATED_BYTES_H_

#if defined(__SANITIZE_ADDRESS__)
#include <cstddef>

// Defined in the sanitizer's runtime library; GCC ships no header that declares it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#else
#include <malloc.h>
#endif

namespace lemoncroft::benchmark {

// Returns the number of bytes in use. AddressSanitizer replaces the allocator, and mallinfo2 doesn't cover
// the replacement.
inline double AllocatedBytes() {
#if defined(__SANITIZE_ADDRESS__)
  return static_cast<double>(__sanitizer_get_current_allocated_bytes());
#else
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
#endif
}

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_ALLOCATED_BYTES_H_
