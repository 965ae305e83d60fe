// The mean of the requests that run at a random moment, learnt from the requests of this gateway. Each is
// weighted by the time that it ran. The mean stands for requests of other gateways, of which only the number
// is known.
#ifndef LEMONCROFT_ESTIMATES_RUNNING_MIX_H_
#define LEMONCROFT_ESTIMATES_RUNNING_MIX_H_

#include "decision/estimates/class_estimates.h"

namespace lemoncroft::estimates {

class RunningMix {
 public:
  // Records an ended attempt. `weight` grows with the time that the attempt ran.
  void Record(double work, double threads, double memory_mb, double weight) {
    UpdateMovingMean(remaining_work_, work / 2, weight);  // half of the work remains on average
    UpdateMovingMean(threads_, threads, weight);
    UpdateMovingMean(memory_mb_, memory_mb, weight);
  }

  double remaining_work() const { return remaining_work_; }  // in thread seconds
  double threads() const { return threads_; }
  double memory_mb() const { return memory_mb_; }

 private:
  double remaining_work_ = 0.1;
  double threads_ = 1;
  double memory_mb_ = 0;
};

}  // namespace lemoncroft::estimates

#endif  // LEMONCROFT_ESTIMATES_RUNNING_MIX_H_
