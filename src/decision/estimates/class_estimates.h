// Estimates for one class of requests, learnt from responses: the work and memory that a request needs, given
// its client's estimates, and the class's pace, which is the time of a response over its work.
//
// Clients' estimates are biased by class and scatter. A regression of the log of the reported work on the log
// of its estimate corrects them. Where engines don't report the work, the regression is on the log of the
// time.
//
// Contract. No clock, no I/O. Units: thread seconds (seconds times the threads that a request runs), MB.
// Owner: the decision module, one for each class. Errors: none; an estimate or a figure of 0 means "unknown".
#ifndef LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
#define LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_

namespace lemoncroft::estimates {

// Moves a mean towards its newest sample.
inline void UpdateMovingMean(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

// A response to one request.
struct Response {
  double estimated_work = 0;  // thread seconds, as its client estimated
  double reported_work = 0;   // thread seconds, as the engine reported
  double time = 0;            // thread seconds from the send to the response
  double estimated_memory_mb = 0;
  double reported_memory_mb = 0;
  bool exploratory = false;  // sent although the recent pace ruled out the latency objective
};

class ClassEstimates {
 public:
  static constexpr int kMinResponses = 20;  // before a best pace is known
  // Mean error of the log of the expected work before any response, where engines report the work and not.
  static constexpr double kDeviationReported = 0.5;
  static constexpr double kDeviationUnreported = 1;

  // `assumed_work`: mean work before any response. `reports_cost`: engines report the work.
  ClassEstimates(double assumed_work, bool reports_cost)
      : deviation_(reports_cost ? kDeviationReported : kDeviationUnreported), mean_work_(assumed_work) {}

  // Work of a request with this estimate.
  double ExpectedWork(double estimate) const;
  // Thread seconds until the response to a request of `work`, at the recent pace.
  double ExpectedTime(double work) const;
  // The same at the best pace seen.
  double BestTime(double work) const;
  // Memory that a request will hardly exceed; 0 without an estimate.
  double ExpectedMemoryMb(double estimate_mb) const;

  // Learns from a response. Returns its latency ratio: its pace over the best pace, 1 = as fast.
  double Learn(const Response& response);

  double mean_work() const { return mean_work_; }  // thread seconds
  double deviation() const { return deviation_; }  // mean error of the log of the expected work
  // Whether enough responses have come for a best pace.
  bool best_slowdown_known() const { return responses_ >= kMinResponses; }

 private:
  double Slope() const { return covariance_ / log_estimate_variance_; }
  // Work of a request with this estimate over the class's mean work, where the work isn't reported.
  double RelativeWork(double estimate) const;
  void LearnWork(double estimate, double reported);
  void LearnTime(double estimate, double time);
  void LearnRegression(double log_estimate, double log_work, double weight);
  double LearnSlowdown(double sample, bool exploratory);
  void ResetSlowdown();
  void LearnMemory(double estimate_mb, double reported_mb);

  // Regression of the log of the work (or of the time, where the work isn't reported) on that of its
  // estimate.
  double log_estimate_mean_ = 0;
  double log_work_mean_ = 0;
  double log_estimate_variance_ = 0.5;
  double covariance_ = 0.5;
  double deviation_;
  int work_samples_ = 0;
  bool cost_reported_ = false;  // by some response, whatever the settings say
  double mean_log_time_ = 0;    // recent, of the time over the relative work; where the work isn't reported
  double mean_work_;
  double recent_slowdown_ = 0;  // recent mean of the time, over the work where it is reported
  double best_slowdown_ = 0;    // least recent pace seen
  // Log of the memory needed over its estimate.
  double log_memory_ratio_mean_ = 0;
  double log_memory_ratio_deviation_ = 0.2;
  int memory_samples_ = 0;
  // Where the memory isn't reported its estimates are assumed to be as rough as those of the work.
  double log_memory_estimate_mean_ = 0;
  int memory_estimate_samples_ = 0;
  int responses_ = 0;
};

}  // namespace lemoncroft::estimates

#endif  // LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
