// Estimates for one class of requests, learnt from responses: the work and memory that a request needs, given
// its client's estimates, and the slowdown of the class, which is the time of a response divided by its work.
//
// Clients' estimates are biased by class and scatter. A regression of the log of the reported work on the log
// of its estimate corrects them. Where engines don't report the work, the regression uses the log of the time
// instead, and the slowdown is the time divided by the relative work, that is, the time of a request with an
// average estimate.
//
// Work and times are in thread seconds: seconds times the threads that a request uses. An estimate or a
// reported value of 0 means "unknown".
#ifndef LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
#define LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_

namespace lemoncroft::estimates {

// Updates an exponentially weighted moving mean with its newest sample.
inline void UpdateMovingMean(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

// The response to one request.
struct Response {
  double estimated_work = 0;  // the client's estimate, in thread seconds
  double reported_work = 0;   // as reported by the engine, in thread seconds
  double time = 0;            // from the send to the response, in thread seconds
  double estimated_memory_mb = 0;
  double reported_memory_mb = 0;
  bool exploratory = false;  // sent although the recent slowdown ruled out the latency objective
};

class ClassEstimates {
 public:
  static constexpr int kMinResponses = 20;  // before the best slowdown is known
  // Mean error of the log of the expected work before any response, where engines report the work and where
  // they don't.
  static constexpr double kDeviationReported = 0.5;
  static constexpr double kDeviationUnreported = 1;

  // `assumed_work`: mean work until there are responses. `reports_cost`: engines report the work.
  ClassEstimates(double assumed_work, bool reports_cost)
      : deviation_(reports_cost ? kDeviationReported : kDeviationUnreported), mean_work_(assumed_work) {}

  // Returns the expected work of a request with this estimate.
  double ExpectedWork(double estimate) const;
  // Returns the expected time to the response to a request of `work`, at the recent slowdown.
  double ExpectedTime(double work) const;
  // Returns the same at the best slowdown.
  double BestTime(double work) const;
  // Returns an amount of memory that a request is unlikely to exceed; 0 without an estimate.
  double ExpectedMemoryMb(double estimate_mb) const;

  // Learns from a response. Returns its latency ratio: its slowdown divided by the best slowdown.
  double Learn(const Response& response);

  double mean_work() const { return mean_work_; }  // in thread seconds
  double deviation() const { return deviation_; }  // mean error of the log of the expected work
  // Returns true once there are enough responses to know the best slowdown.
  bool best_slowdown_known() const { return responses_ >= kMinResponses; }

 private:
  double Slope() const { return covariance_ / log_estimate_variance_; }
  // Returns the work of a request with this estimate divided by the mean work of the class, where the work
  // isn't reported.
  double RelativeWork(double estimate) const;
  void LearnWork(double estimate, double reported);
  void LearnTime(double estimate, double time);
  void LearnRegression(double log_estimate, double log_work, double weight);
  double LearnSlowdown(double sample, bool exploratory);
  void ResetSlowdown();
  void LearnMemory(double estimate_mb, double reported_mb);

  // Regression of the log of the work (or of the time, where the work isn't reported) on the log of its
  // estimate.
  double log_estimate_mean_ = 0;
  double log_work_mean_ = 0;
  double log_estimate_variance_ = 0.5;
  double covariance_ = 0.5;
  double deviation_;
  int work_samples_ = 0;
  bool cost_reported_ = false;  // a response has reported its work; independent of the settings
  // Recent mean of the log of the time divided by the relative work, where the work isn't reported.
  double mean_log_time_ = 0;
  double mean_work_;
  // Recent mean of the time divided by the work or, where the work isn't reported, by the relative work.
  double recent_slowdown_ = 0;
  double best_slowdown_ = 0;  // lowest recent mean
  // Log of the reported memory divided by its estimate.
  double log_memory_ratio_mean_ = 0;
  double log_memory_ratio_deviation_ = 0.2;
  int memory_samples_ = 0;
  // Where the memory isn't reported, its estimates are assumed to be as inaccurate as those of the work.
  double log_memory_estimate_mean_ = 0;
  int memory_estimate_samples_ = 0;
  int responses_ = 0;
};

}  // namespace lemoncroft::estimates

#endif  // LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
