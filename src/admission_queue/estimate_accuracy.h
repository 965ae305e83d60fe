// Compares raw wait estimates with actual waits, and maintains a bias correction and the mean error that
// remains after it.
#ifndef LEMONCROFT_ADMISSION_QUEUE_ESTIMATE_ACCURACY_H_
#define LEMONCROFT_ADMISSION_QUEUE_ESTIMATE_ACCURACY_H_

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class EstimateAccuracy {
 public:
  void AddSample(Duration raw_wait, Duration actual_wait);
  Duration Corrected(Duration raw_wait) const;
  // Bounds around a corrected estimate; most actual waits lie within them.
  Duration UpperBound(Duration corrected_wait) const;
  Duration LowerBound(Duration corrected_wait) const;
  double bias() const { return bias_; }
  double mean_error() const { return mean_error_; }

 private:
  double bias_ = 0, mean_error_ = 0.2;  // of the logarithm of the wait
  int sample_count_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_ESTIMATE_ACCURACY_H_
