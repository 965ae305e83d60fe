// Limits one gateway to its part of the fleet's capacity, on average over time. The credit, in thread
// seconds, grows with the gateway's own demand and is charged for what its attempts take.
//
// With many gateways, each gateway's part of an engine's concurrency limit is less than one request. The
// limit can therefore only hold over all engines and over time. After a burst, the heavy requests of a
// gateway without credit wait, even if engines have spare capacity. The scheduler makes exceptions for some
// requests and engines (Scheduler::BypassesCredit and Scheduler::CreditAllows).
//
// The decision module has one CapacityCredit for each gateway. It reads no clock: `Advance` is passed the
// elapsed time. Demand is in thread seconds per second.
#ifndef LEMONCROFT_LIMITS_CAPACITY_CREDIT_H_
#define LEMONCROFT_LIMITS_CAPACITY_CREDIT_H_

namespace lemoncroft::limits {

// The gateway's current view of the fleet of engines.
struct FleetCapacity {
  double listed_cores = 0;
  double subset_cores = 0;         // of the engines in the gateway's subset
  int gateways = 1;                // number of gateways that share the engines
  double latency_ratio = 1;        // mean of recent responses of all engines
  double heaviest_class_work = 0;  // mean work of the heaviest class
};

class CapacityCredit {
 public:
  static constexpr double kAssumedLoad = 0.85;  // of the fleet's cores, until there is demand

  // Records the arrival of a request that needs `work`.
  void RecordDemand(double work);

  // Adds the credit of `seconds`. Until the first engine is listed, the demand is assumed, and the credit is
  // the share `initial_fill` of its maximum, from 0 to 1. A random `initial_fill` keeps gateways from
  // starting in step.
  void Advance(double seconds, const FleetCapacity& fleet, double initial_fill);
  // Returns true once an engine has been listed. `initial_fill` has no effect from then on.
  bool started() const { return started_; }

  bool HasCredit() const { return credit_ > 0; }
  // Charges an attempt with the thread seconds that it is expected to take.
  void Reserve(double expected) { credit_ -= expected; }
  // Corrects the charge of an ended attempt to the thread seconds that it took.
  void Settle(double reserved, double taken) { credit_ += reserved - taken; }

  // Returns the gateway's demand divided by the cores of its subset.
  double load() const { return load_; }
  // Returns the gateway's demand divided by the cores of its subset and by the latency ratio of the fleet, at
  // most 1. Used as an estimate of the gateway's share of the fleet's traffic.
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
