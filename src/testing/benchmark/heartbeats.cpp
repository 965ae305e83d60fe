#include "testing/benchmark/heartbeats.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace lemoncroft::benchmark {
namespace {

constexpr double kMissedBeforeFailure = 4;  // periods without a word, and it is called failed
constexpr double kMaxLatePeriods = 3, kLateIntervalPeriods = 6;

}  // namespace

HeartbeatResult PlayHeartbeats(const HeartbeatPlan& plan) {
  std::mt19937_64 random(plan.seed);
  const auto draw = [&random] { return static_cast<double>(random() >> 11) * 0x1.0p-53; };
  const std::size_t n = plan.members;
  HeartbeatResult result;
  std::vector<double> phase(n), held_until(n, 0);
  for (double& p : phase) p = draw();
  std::vector<std::vector<double>> heard(n, std::vector<double>(n, 0));
  std::vector<std::vector<bool>> failed(n, std::vector<bool>(n, false));
  std::vector<double> died(n, std::numeric_limits<double>::max());
  std::uint64_t wrong = 0, sent = 0;
  const double all = plan.periods * static_cast<double>(std::max<std::size_t>(1, plan.crashes));
  std::vector<std::vector<double>> told(n);  // of each that died, when others called it failed
  std::size_t next = 0;
  for (int beat = 0; beat < static_cast<int>(all); ++beat) {
    const double at = beat;
    if (plan.crashes > 0 && at >= plan.periods * (static_cast<double>(next) + 0.5) && next < plan.crashes)
      died[next] = at + draw(), ++next;
    if (std::fmod(at, kLateIntervalPeriods) < 1)
      for (std::size_t i = 0; i < plan.late; ++i) held_until[n - 1 - i] = at + kMaxLatePeriods * draw();
    for (std::size_t from = 0; from < n; ++from) {
      const double when = std::max(at + phase[from], held_until[from]);
      if (when >= died[from]) continue;
      sent += n - 1;
      for (std::size_t to = 0; to < n; ++to)
        if (to != from && !(draw() < plan.loss))
          heard[to][from] = std::max({heard[to][from], when, held_until[to]});
    }
    for (std::size_t by = 0; by < n; ++by) {
      if (at >= died[by]) continue;
      for (std::size_t of = 0; of < n; ++of) {
        const bool missing = of != by && at - heard[by][of] > kMissedBeforeFailure;
        if (missing && !failed[by][of]) {
          if (at < died[of]) ++wrong;
          if (died[of] <= at) told[of].push_back(heard[by][of] + kMissedBeforeFailure - died[of]);
        }
        failed[by][of] = missing;
      }
    }
  }
  for (const std::vector<double>& times : told) {
    if (times.empty()) continue;
    result.detect.push_back(*std::min_element(times.begin(), times.end()));
    result.known_all.push_back(*std::max_element(times.begin(), times.end()));
  }
  const double seconds = all * plan.period_s;
  result.false_failures_per_hour = static_cast<double>(wrong) * 3600 / seconds;
  result.messages_per_s = static_cast<double>(sent) / static_cast<double>(n) / seconds;
  result.bytes_per_s = result.messages_per_s * plan.bytes;
  return result;
}

}  // namespace lemoncroft::benchmark
