// The load that one gateway has put on one engine: its attempts in flight, the work sent recently, and the
// backlog of attempts that were abandoned and may still run.
//
// Work is in thread seconds: seconds times the threads that a request uses. RecordEnd is called once for each
// RecordSend, with the same charge.
#ifndef LEMONCROFT_LIMITS_SENT_LOAD_H_
#define LEMONCROFT_LIMITS_SENT_LOAD_H_

#include <algorithm>
#include <array>
#include <cmath>

namespace lemoncroft::limits {

struct AttemptCharge {
  bool light = false;  // light and heavy classes are counted separately
  double threads = 0;
  double memory_mb = 0;
  double work = 0;  // expected work
};

class SentLoad {
 public:
  static constexpr double kRecentTimeConstantSeconds = 8;  // of the decay of the recent work

  void RecordSend(const AttemptCharge& charge) {
    threads_[charge.light] += charge.threads;
    memory_mb_ += charge.memory_mb;
    recent_ += charge.work;
  }

  // `adds_backlog`: the attempt ended without a response, and the engine may act on a cancellation late or
  // never. The work of the attempt is then added to the backlog.
  void RecordEnd(const AttemptCharge& charge, bool adds_backlog) {
    threads_[charge.light] -= charge.threads;
    memory_mb_ -= charge.memory_mb;
    if (adds_backlog) backlog_ += charge.work;
  }

  // Advances the time by `seconds`. The engine works off the backlog at `rate`, in thread seconds per second.
  void Advance(double seconds, double rate) {
    recent_ *= std::exp(-seconds / kRecentTimeConstantSeconds);
    backlog_ = std::max(0.0, backlog_ - rate * seconds);
  }

  // Resets the recent work and the backlog after a restart of the engine.
  void ResetForRestart() {
    recent_ = 0;
    backlog_ = 0;
  }

  double threads() const { return threads_[0] + threads_[1]; }
  double threads(bool light) const { return threads_[light]; }
  double memory_mb() const { return memory_mb_; }
  double recent() const { return recent_; }
  double backlog() const { return backlog_; }

 private:
  std::array<double, 2> threads_{};  // of heavy and of light requests
  double memory_mb_ = 0;
  double recent_ = 0;
  double backlog_ = 0;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_SENT_LOAD_H_
