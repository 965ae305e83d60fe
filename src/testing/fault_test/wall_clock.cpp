// A library that the rig loads into a proxy under trial: its wall clock jumps by an hour, forward and back
// again, every few seconds. Its monotonic clock is left alone. In no shipped program.
#include <dlfcn.h>
#include <sys/time.h>

#include <ctime>

namespace {

constexpr time_t kJump = 3600, kEvery = 3;

using ClockGetTime = int (*)(clockid_t, timespec*);

int Real(clockid_t clock, timespec* out) {
  static const auto kReal = reinterpret_cast<ClockGetTime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  return kReal(clock, out);
}

time_t Shift() {
  timespec now{};
  Real(CLOCK_MONOTONIC, &now);
  return now.tv_sec / kEvery % 2 == 0 ? 0 : now.tv_sec / kEvery % 4 == 1 ? kJump : -kJump;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* out) {
  const int result = Real(clock, out);
  if (result == 0 && clock == CLOCK_REALTIME) out->tv_sec += Shift();
  return result;
}

extern "C" int gettimeofday(timeval* out, void*) {
  timespec now{};
  const int result = clock_gettime(CLOCK_REALTIME, &now);
  out->tv_sec = now.tv_sec;
  out->tv_usec = now.tv_nsec / 1000;
  return result;
}

extern "C" time_t time(time_t* out) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}
