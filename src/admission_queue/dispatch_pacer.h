// How fast waiting work leaves, and how far estimates have lately been off: running means of what was seen.
#ifndef LEMONCROFT_ADMISSION_QUEUE_DISPATCH_PACER_H_
#define LEMONCROFT_ADMISSION_QUEUE_DISPATCH_PACER_H_

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

// A rate over the last seconds, of amounts that come in lumps: exponentially weighted, by windows of time.
class RateEstimator {
 public:
  explicit RateEstimator(double memory_s) : memory_(memory_s) {}
  void Add(double amount) { window_ += amount; }
  // Ends a window of `seconds`; one that does not count is thrown away.
  void Close(double seconds, bool counts);
  double per_second() const { return value_; }
  bool open_requests() const { return weight_ > 0; }
  double weight() const { return weight_; }  // 0 unknown, 1 as sure as it gets

 private:
  double memory_;
  double window_ = 0, value_ = 0, weight_ = 0;
};

// The pace of one lane: core-seconds that started in a second while others of the lane waited, for each core
// that could take them. Kept for a core, it follows at once when engines come, go or are held by runaways.
class DispatchPacer {
 public:
  DispatchPacer() : busy_(8.0), any_(4.0) {}
  void Started(Work work);
  // Ends a window in which `cores` could take work and some waited throughout, or not.
  void Close(Span window, bool had_waiting, double cores);
  double Now(double cores) const;

 private:
  RateEstimator busy_, any_;
  double amount_ = 0;
};

// Raw estimates against real waits: the bias that takes them to the middle of the real ones, and the spread
// that is left.
class EstimateAccuracy {
 public:
  void Learn(Span raw_wait, Span real);
  Span Corrected(Span raw_wait) const;
  Span UpperBound(Span reported_work) const;  // above most real waits
  Span LowerBound(Span reported_work) const;  // below most
  double bias() const { return bias_; }
  double mean_error() const { return mean_error_; }

 private:
  double bias_ = 0, mean_error_ = 0.2;  // of the logarithm
  int learned_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_DISPATCH_PACER_H_
