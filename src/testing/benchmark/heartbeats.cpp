#include "testing/benchmark/heartbeats.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace lemoncroft::benchmark {
namespace {

constexpr double kMissedBeforeFailure = 4;  // periods
constexpr double kMaxLatePeriods = 3, kLateIntervalPeriods = 6;
constexpr double kSecondsPerHour = 3600;

// Every member sends one heartbeat per period to all others, at a random phase within the period. Times are
// in periods.
class HeartbeatSimulation {
 public:
  explicit HeartbeatSimulation(const HeartbeatPlan& plan)
      : plan_(plan),
        random_(plan.seed),
        duration_(plan.periods * static_cast<double>(std::max<std::size_t>(1, plan.crashes))),
        phase_(plan.members),
        late_until_(plan.members, 0),
        crashed_at_(plan.members, std::numeric_limits<double>::max()),
        last_heard_(plan.members, std::vector<double>(plan.members, 0)),
        declared_failed_(plan.members, std::vector<bool>(plan.members, false)),
        detection_delays_(plan.members) {
    for (double& phase : phase_) phase = Draw();
  }

  HeartbeatResult Run() {
    for (int period = 0; period < static_cast<int>(duration_); ++period) {
      const double now = period;
      CrashNext(now);
      DelayLateMembers(now);
      for (std::size_t sender = 0; sender < plan_.members; ++sender) SendHeartbeats(sender, now);
      for (std::size_t observer = 0; observer < plan_.members; ++observer) CheckHeartbeats(observer, now);
    }
    return Result();
  }

 private:
  double Draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  void CrashNext(double now) {
    if (crashed_ >= plan_.crashes) return;
    if (now < plan_.periods * (static_cast<double>(crashed_) + 0.5)) return;
    crashed_at_[crashed_] = now + Draw();
    ++crashed_;
  }

  void DelayLateMembers(double now) {
    if (std::fmod(now, kLateIntervalPeriods) >= 1) return;
    for (std::size_t i = 0; i < plan_.late_members; ++i)
      late_until_[plan_.members - 1 - i] = now + kMaxLatePeriods * Draw();
  }

  void SendHeartbeats(std::size_t sender, double now) {
    const double sent_at = std::max(now + phase_[sender], late_until_[sender]);
    if (sent_at >= crashed_at_[sender]) return;
    sent_ += plan_.members - 1;
    for (std::size_t receiver = 0; receiver < plan_.members; ++receiver) {
      if (receiver == sender) continue;
      if (Draw() < plan_.loss) continue;
      double& last = last_heard_[receiver][sender];
      last = std::max({last, sent_at, late_until_[receiver]});
    }
  }

  void CheckHeartbeats(std::size_t observer, double now) {
    if (now >= crashed_at_[observer]) return;
    for (std::size_t subject = 0; subject < plan_.members; ++subject) {
      const double last = last_heard_[observer][subject];
      const bool missing = subject != observer && now - last > kMissedBeforeFailure;
      if (missing && !declared_failed_[observer][subject]) RecordFailure(subject, last, now);
      declared_failed_[observer][subject] = missing;
    }
  }

  void RecordFailure(std::size_t subject, double last_heard, double now) {
    if (now < crashed_at_[subject])
      ++false_failures_;
    else
      detection_delays_[subject].push_back(last_heard + kMissedBeforeFailure - crashed_at_[subject]);
  }

  HeartbeatResult Result() const {
    HeartbeatResult result;
    for (const std::vector<double>& delays : detection_delays_) {
      if (delays.empty()) continue;
      const auto [first, last] = std::minmax_element(delays.begin(), delays.end());
      result.first_detection_periods.push_back(*first);
      result.last_detection_periods.push_back(*last);
    }
    const double seconds = duration_ * plan_.period_s;
    result.false_failures_per_hour = static_cast<double>(false_failures_) * kSecondsPerHour / seconds;
    result.messages_per_s = static_cast<double>(sent_) / static_cast<double>(plan_.members) / seconds;
    result.bytes_per_s = result.messages_per_s * plan_.heartbeat_bytes;
    return result;
  }

  const HeartbeatPlan& plan_;
  std::mt19937_64 random_;
  double duration_;
  std::vector<double> phase_, late_until_, crashed_at_;  // by member
  std::vector<std::vector<double>> last_heard_;          // by observer and subject
  std::vector<std::vector<bool>> declared_failed_;       // by observer and subject
  std::vector<std::vector<double>> detection_delays_;    // by crashed member, one entry per observer
  std::size_t crashed_ = 0;
  std::uint64_t false_failures_ = 0, sent_ = 0;
};

}  // namespace

HeartbeatResult SimulateHeartbeats(const HeartbeatPlan& plan) { return HeartbeatSimulation(plan).Run(); }

}  // namespace lemoncroft::benchmark
