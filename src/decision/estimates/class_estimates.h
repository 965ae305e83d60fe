// What the answers of one class of queries teach about it: the work and the memory that a query needs, given
// its client's estimates, and how long the engines take for it now against their best.
//
// Contract. No clock, no I/O. Works in thread seconds: seconds times the threads that a query runs. Owner:
// the decision module, one for each class. Errors: none; an estimate or a figure of 0 means "not told".
#ifndef LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
#define LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_

namespace lemoncroft::estimates {

// Moves a mean towards its newest sample.
inline void Blend(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

// One answered query.
struct Answer {
  double estimated_work = 0;  // thread seconds, as its client estimated
  double told_work = 0;       // thread seconds, as the engine told
  double time = 0;            // thread seconds from the attempt's start to the answer
  double estimated_memory_mb = 0;
  double told_memory_mb = 0;
  bool trial = false;  // of a query that went to renew a pace that few answers renew
};

class ClassEstimates {
 public:
  static constexpr int kFewAnswers = 20;  // fewer don't make a mean to call best
  // Mean error of the log of expected work before any answer: a factor of 1.6, and of 2.7.
  static constexpr double kDeviationTold = 0.5, kDeviationUntold = 1;

  // `assumed_work`: thread seconds that a query is taken to need before any has been answered. Estimates
  // whose errors no told cost corrects are trusted less at first.
  ClassEstimates(double assumed_work, bool reports_cost)
      : deviation_(reports_cost ? kDeviationTold : kDeviationUntold), mean_work_(assumed_work) {}

  // Thread seconds that a query needs. Estimates lie by class and scatter: what past answers make of one.
  double Work(double estimate) const;
  // Thread seconds until the answer to a query of `work`, at the fleet's present pace.
  double Time(double work) const;
  // The same at the best pace seen.
  double BestTime(double work) const;
  // Memory that a query will hardly exceed; 0 with no estimate.
  double MemoryMb(double estimate_mb) const;

  // Takes an answer in. Returns how much slower it was than the class's best mean: 1 = as fast.
  double Learn(const Answer& answer);

  double mean_work() const { return mean_work_; }  // thread seconds
  double deviation() const { return deviation_; }  // mean error of the log of expected work
  bool known() const { return answers_ >= kFewAnswers; }

 private:
  double Slope() const { return covariance_ / estimate_variance_; }
  // What an estimate says of its query's work against the class's mean, where costs aren't told.
  double Relative(double estimate) const;
  void LearnWork(double estimate, double told);
  void LearnTime(double estimate, double time);
  void LearnRegression(double log_estimate, double log_work, double weight);
  double LearnPace(double sample, bool trial);
  void ForgetPace();
  void LearnMemory(double estimate_mb, double told_mb);

  // Regression of the log of the true work on that of its estimate: means, variance, covariance. Where costs
  // aren't told, of the log of the time instead.
  double estimate_mean_ = 0, true_mean_ = 0, estimate_variance_ = 0.5, covariance_ = 0.5;
  double deviation_;
  int works_learnt_ = 0;
  bool told_ = false;     // an answer has told its cost, whatever the settings say
  double usual_log_ = 0;  // where they aren't: recent mean of the log of the time, estimates allowed for
  double mean_work_;
  double recent_ = 0;  // recent mean of the time (over the work, where it is told)
  double best_ = 0;    // the least recent mean seen
  double memory_mean_ = 0, memory_deviation_ = 0.2;  // of the log of memory needed over its estimate
  int memories_told_ = 0;
  // Where costs aren't told, the memory needed isn't either: its estimates are taken to be as rough as those
  // of work. Mean of their log.
  double memory_estimate_mean_ = 0;
  int memories_estimated_ = 0;
  int answers_ = 0;
};

}  // namespace lemoncroft::estimates

#endif  // LEMONCROFT_ESTIMATES_CLASS_ESTIMATES_H_
