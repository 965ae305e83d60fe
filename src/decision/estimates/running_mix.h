// The mean of the requests that are found running at a random moment, from those that this gateway has run:
// each counts for as long as it ran. Stands for requests of other gateways, of which only the number is
// known.
//
// Contract. No clock, no I/O. Owner: the decision module. Errors: none.
#ifndef LEMONCROFT_ESTIMATES_RUNNING_MIX_H_
#define LEMONCROFT_ESTIMATES_RUNNING_MIX_H_

#include "decision/estimates/class_estimates.h"

namespace lemoncroft::estimates {

class RunningMix {
 public:
  // An attempt has ended. `weight` of the sample grows with the time that it ran.
  void Record(double work, double threads, double memory_mb, double weight) {
    UpdateMovingMean(remaining_work_, work / 2, weight);  // it is found half done, on average
    UpdateMovingMean(threads_, threads, weight);
    UpdateMovingMean(memory_mb_, memory_mb, weight);
  }

  double remaining_work() const { return remaining_work_; }  // thread seconds
  double threads() const { return threads_; }
  double memory_mb() const { return memory_mb_; }

 private:
  double remaining_work_ = 0.1;
  double threads_ = 1;
  double memory_mb_ = 0;
};

}  // namespace lemoncroft::estimates

#endif  // LEMONCROFT_ESTIMATES_RUNNING_MIX_H_
