// How fast waiting work leaves, and how far estimates have lately been off: running means of what was seen.
#ifndef LEMONCROFT_WAITING_PACE_H_
#define LEMONCROFT_WAITING_PACE_H_

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

// A rate over the last seconds, of amounts that come in lumps: exponentially weighted, by windows of time.
class Rate {
 public:
  explicit Rate(double memory_s) : memory_(memory_s) {}
  void Add(double amount) { window_ += amount; }
  // Ends a window of `seconds`; one that does not count is thrown away.
  void Close(double seconds, bool counts);
  double per_second() const { return value_; }
  bool known() const { return weight_ > 0; }
  double weight() const { return weight_; }  // 0 unknown, 1 as sure as it gets

 private:
  double memory_;
  double window_ = 0, value_ = 0, weight_ = 0;
};

// The pace of one lane: core-seconds that started in a second while others of the lane waited, for each core
// that could take them. Kept for a core, it follows at once when engines come, go or are held by runaways.
class Pace {
 public:
  Pace() : busy_(8.0), any_(4.0) {}
  void Started(Work work);
  // Ends a window in which `cores` could take work and some waited throughout, or not.
  void Close(Span window, bool waited, double cores);
  double Now(double cores) const;

 private:
  Rate busy_, any_;
  double amount_ = 0;
};

// Raw estimates against real waits: the bias that takes them to the middle of the real ones, and the spread
// that is left.
class Accuracy {
 public:
  void Learn(Span raw, Span real);
  Span Corrected(Span raw) const;
  Span Most(Span told) const;   // above most real waits
  Span Least(Span told) const;  // below most
  double bias() const { return bias_; }
  double spread() const { return spread_; }

 private:
  double bias_ = 0, spread_ = 0.2;  // of the logarithm
  int learned_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_WAITING_PACE_H_
