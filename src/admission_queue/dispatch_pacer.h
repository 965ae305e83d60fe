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
  void Add(double amount) { window_amount_ += amount; }
  // Ends a window that lasted `seconds`. The window is discarded unless `included` is true.
  void EndWindow(double seconds, bool included);
  double per_second() const { return rate_; }
  bool known() const { return weight_ > 0; }
  double weight() const { return weight_; }  // confidence, from 0 (no window counted) towards 1

 private:
  double time_constant_;      // seconds
  double window_amount_ = 0;  // added in the current window
  double rate_ = 0, weight_ = 0;
};

// The dispatch rate of one lane: core-seconds started per second while requests of the lane waited. The rate
// is stored per available core, so that it follows a change of capacity at once.
class DispatchRateMeter {
 public:
  DispatchRateMeter() : rate_while_waiting_(8.0), overall_rate_(4.0) {}
  void AddStarted(Work work);
  // Ends a window during which `cores` were available. `had_waiting` is true if requests waited throughout.
  void EndWindow(Duration window, bool had_waiting, double cores);
  // Returns the core-seconds per second with `cores` available, greater than zero if `cores` is.
  double PerSecond(double cores) const;

 private:
  // Rates over the windows in which requests waited throughout, and over all windows.
  RateEstimator rate_while_waiting_, overall_rate_;
  double started_core_seconds_ = 0;  // in the current window
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_DISPATCH_PACER_H_
