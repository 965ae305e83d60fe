// A library that is preloaded into a proxy of a trial. It makes the proxy's wall clock jump by an hour,
// forward and back, every few seconds; the monotonic clock is unchanged. It is not part of any shipped
// program.
#include <dlfcn.h>
#include <sys/time.h>

#include <ctime>

namespace {

constexpr time_t kJumpSeconds = 3600, kIntervalSeconds = 3;

using ClockGetTime = int (*)(clockid_t, timespec*);

int RealClockGetTime(clockid_t clock, timespec* out) {
  static const auto kReal = reinterpret_cast<ClockGetTime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  return kReal(clock, out);
}

// Returns the current offset of the wall clock: none for one interval, forward for the next, then none
// again, then back.
time_t CurrentOffset() {
  timespec now{};
  RealClockGetTime(CLOCK_MONOTONIC, &now);
  const time_t interval = now.tv_sec / kIntervalSeconds;
  if (interval % 2 == 0) return 0;
  return interval % 4 == 1 ? kJumpSeconds : -kJumpSeconds;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* out) {
  const int result = RealClockGetTime(clock, out);
  if (result == 0 && clock == CLOCK_REALTIME) out->tv_sec += CurrentOffset();
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
