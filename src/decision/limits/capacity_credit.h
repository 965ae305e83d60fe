// One gateway's part of the capacity of the fleet, held on average over time: a credit in thread seconds that
// grows with the gateway's own demand and is charged for what its attempts take.
//
// With many gateways the part of one engine's concurrency limit that falls to each is less than one request,
// so that the limit can only hold over the whole fleet and over time. A gateway without credit waits after a
// burst of its own even if engines have capacity left.
//
// Contract. No clock: `Advance` is passed the time that has gone by. Units: thread seconds; demand in thread
// seconds a second. Owner: the decision module, one for each gateway. Errors: none.
#ifndef LEMONCROFT_LIMITS_CAPACITY_CREDIT_H_
#define LEMONCROFT_LIMITS_CAPACITY_CREDIT_H_

namespace lemoncroft::limits {

// The fleet as the gateway sees it now.
struct FleetCapacity {
  double listed_cores = 0;
  double subset_cores = 0;         // of the engines in the gateway's subset
  int gateways = 1;                // that share the fleet
  double latency_ratio = 1;        // of recent responses
  double heaviest_class_work = 0;  // mean work of the heaviest class
};

class CapacityCredit {
 public:
  static constexpr double kAssumedLoad = 0.85;  // of the fleet's cores, before any demand has been seen

  // A request that needs `work` has come.
  void RecordDemand(double work);

  // Credits `seconds` of the gateway's part. Until the first engine is listed demand is assumed and the
  // credit is `initial_fill` of the most, from 0 to 1: drawn at random it keeps gateways from starting in
  // step.
  void Advance(double seconds, const FleetCapacity& fleet, double initial_fill);
  // Whether an engine has been listed, so that `initial_fill` has no effect any more.
  bool started() const { return started_; }

  bool HasCredit() const { return credit_ > 0; }
  // Charges an attempt, by what it is expected to take.
  void Reserve(double expected) { credit_ -= expected; }
  // Corrects the charge of an ended attempt to what it took.
  void Settle(double reserved, double taken) { credit_ += reserved - taken; }

  // The gateway's demand over the cores of its subset.
  double load() const { return load_; }
  // The gateway's part of the fleet's usual traffic, 0 to 1.
  double demand_share() const { return demand_share_; }

 private:
  double demand_ = 0;
  double credit_ = 0;
  double load_ = 0;
  double demand_share_ = 0;
  bool started_ = false;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_CAPACITY_CREDIT_H_
