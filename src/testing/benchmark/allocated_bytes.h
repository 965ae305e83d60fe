// How much memory the process has allocated and not freed, by the allocator's own figures.
#ifndef LEMONCROFT_TESTING_BENCHMARK_ALLOCATED_BYTES_H_
#define LEMONCROFT_TESTING_BENCHMARK_ALLOCATED_BYTES_H_

#if defined(__SANITIZE_ADDRESS__)
#include <cstddef>

// Of the sanitizer's run-time library; GCC ships no header for it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#else
#include <malloc.h>
#endif

namespace lemoncroft::benchmark {

// Bytes in use. AddressSanitizer has an allocator of its own, of which mallinfo2 knows nothing.
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
