// What the answers of one class of queries teach about it: the work and the memory that a query needs, given
// its client's estimates, and how long the engines take for it now against their best.
//
// Contract. No clock, no I/O. Works in thread seconds: seconds times the threads that a query runs. Owner:
// the decision module, one for each class. Errors: none; an estimate or a figure of 0 means "not reported".
#ifndef LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
#define LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_

namespace lemoncroft::estimates {

// Moves a mean towards its newest sample.
inline void Blend(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

// One answered query.
struct Response {
  double estimated_work = 0;  // thread seconds, as its client estimated
  double reported_work = 0;   // thread seconds, as the engine reported
  double time = 0;            // thread seconds from the attempt's start to the answer
  double estimated_memory_mb = 0;
  double reported_memory_mb = 0;
  bool exploratory = false;  // of a query that went to renew a pace that few answers renew
};

class ClassEstimates {
 public:
  static constexpr int kMinResponses = 20;  // fewer don't make a mean to call best
  // Mean error of the log of expected work before any answer: a factor of 1.6, and of 2.7.
  static constexpr double kDeviationReported = 0.5, kDeviationUnreported = 1;

  // `assumed_work`: thread seconds that a query is taken to need before any has been answered. Estimates
  // whose errors no reported cost corrects are trusted less at first.
  ClassEstimates(double assumed_work, bool reports_cost)
      : deviation_(reports_cost ? kDeviationReported : kDeviationUnreported), mean_work_(assumed_work) {}

  // Thread seconds that a query needs. Estimates lie by class and scatter: what past answers make of one.
  double ExpectedWork(double estimate) const;
  // Thread seconds until the answer to a query of `work`, at the fleet's present pace.
  double ExpectedTime(double work) const;
  // The same at the best pace seen.
  double BestTime(double work) const;
  // Memory that a query will hardly exceed; 0 with no estimate.
  double ExpectedMemoryMb(double estimate_mb) const;

  // Takes an answer in. Returns how much slower it was than the class's best mean: 1 = as fast.
  double Learn(const Response& response);

  double mean_work() const { return mean_work_; }  // thread seconds
  double deviation() const { return deviation_; }  // mean error of the log of expected work
  bool known() const { return responses_ >= kMinResponses; }

 private:
  double Slope() const { return covariance_ / log_estimate_variance_; }
  // What an estimate says of its query's work against the class's mean, where costs aren't reported.
  double RelativeWork(double estimate) const;
  void LearnWork(double estimate, double reported);
  void LearnTime(double estimate, double time);
  void LearnRegression(double log_estimate, double log_work, double weight);
  double LearnPace(double sample, bool exploratory);
  void ForgetPace();
  void LearnMemory(double estimate_mb, double reported_mb);

  // Regression of the log of the true work on that of its estimate: means, variance, covariance. Where costs
  // aren't reported, of the log of the time instead.
  double log_estimate_mean_ = 0, log_work_mean_ = 0, log_estimate_variance_ = 0.5, covariance_ = 0.5;
  double deviation_;
  int work_samples_ = 0;
  bool cost_reported_ = false;  // an answer has reported its cost, whatever the settings say
  double mean_log_time_ = 0;  // where they aren't: recent mean of the log of the time, estimates allowed for
  double mean_work_;
  double recent_pace_ = 0;  // recent mean of the time (over the work, where it is reported)
  double best_pace_ = 0;    // the least recent mean seen
  double log_memory_ratio_mean_ = 0,
         log_memory_ratio_deviation_ = 0.2;  // of the log of memory needed over its estimate
  int memory_samples_ = 0;
  // Where costs aren't reported, the memory needed isn't either: its estimates are taken to be as rough as
  // those of work. Mean of their log.
  double log_memory_estimate_mean_ = 0;
  int memory_estimate_samples_ = 0;
  int responses_ = 0;
};

}  // namespace lemoncroft::estimates

#endif  // LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
