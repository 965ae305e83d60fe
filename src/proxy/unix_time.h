// The wall clock, for what operators read. No decision depends on it.
#ifndef LEMONCROFT_PROXY_UNIX_TIME_H_
#define LEMONCROFT_PROXY_UNIX_TIME_H_

#include <chrono>
#include <cstdint>

namespace lemoncroft::proxy {

// Returns the Unix time in milliseconds.
inline std::int64_t UnixMs() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_UNIX_TIME_H_
