// Measures the rate at which the work of a lane starts.
#ifndef LEMONCROFT_ADMISSION_QUEUE_DISPATCH_PACER_H_
#define LEMONCROFT_ADMISSION_QUEUE_DISPATCH_PACER_H_

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

// An exponentially weighted moving average of a rate, updated once per time window.
class RateEstimator {
 public:
  // `time_constant` of the exponential decay is in seconds.
  explicit RateEstimator(double time_constant) : time_constant_(time_constant) {}
  void Add(double amount) { window_ += amount; }
  // Ends a window that lasted `seconds`. The window is discarded unless `counts` is true.
  void Close(double seconds, bool counts);
  double per_second() const { return value_; }
  bool known() const { return weight_ > 0; }
  double weight() const { return weight_; }  // confidence, from 0 (no window counted) towards 1

 private:
  double time_constant_;  // seconds
  double window_ = 0;     // amount added in the current window
  double value_ = 0, weight_ = 0;
};

// The dispatch rate of one lane: core-seconds started per second while requests of the lane waited. The rate
// is stored per available core, so that it follows a change of capacity at once.
class DispatchPacer {
 public:
  DispatchPacer() : busy_(8.0), any_(4.0) {}
  void Started(Work work);
  // Ends a window during which `cores` were available. `had_waiting` is true if requests waited throughout.
  void Close(Span window, bool had_waiting, double cores);
  // Returns the core-seconds per second with `cores` available, greater than zero if `cores` is.
  double Now(double cores) const;

 private:
  RateEstimator busy_, any_;  // of windows with requests waiting throughout, and of all windows
  double amount_ = 0;         // core-seconds started in the current window
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_DISPATCH_PACER_H_
