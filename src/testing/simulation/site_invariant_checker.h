// Checks the invariants of a simulated site from outside the gateways. It observes every request, attempt,
// response and endpoint list of the gateways and records a line of text for each violation.
//
// Deterministic. The caller's times must never decrease.
#ifndef LEMONCROFT_TESTING_SIMULATION_SITE_INVARIANT_CHECKER_H_
#define LEMONCROFT_TESTING_SIMULATION_SITE_INVARIANT_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lemoncroft/gateway.h"
#include "testing/simulation/site_shapes.h"

namespace lemoncroft::simulation {

// An idle engine and the time since which it has been idle.
struct IdleEngine {
  EngineId engine = 0;
  Nanos since = 0;
};

class SiteInvariantChecker {
 public:
  explicit SiteInvariantChecker(const Site& site);

  void EndpointsListed(Nanos now, int gateway, const std::vector<EngineEntry>& entries);
  void Submitted(Nanos now, int gateway, const Request& request);
  void Sent(Nanos now, const Send& send);
  void Ended(Nanos now, RequestId id, int attempt, Outcome outcome);
  void Cancelled(Nanos now, const Cancel& cancel);
  void Probed(Nanos now, const Probe& probe);
  void Granted(Nanos now, const ResourceGrant& grant);
  void Served(Nanos now, RequestId id);
  void Rejected(Nanos now, const RejectRequest& rejection);
  void Failed(Nanos now, const FailRequest& fail);
  void Abandoned(Nanos now, RequestId id);
  // Reports that the client's timeout has passed: the client no longer waits for a response.
  void TimedOut(Nanos now, RequestId id);
  // Checks that no request waits while an engine that may run it is idle. `avoided` contains, for each
  // gateway, the engines that the gateway itself has excluded temporarily.
  void CheckIdle(Nanos now, const std::vector<IdleEngine>& idle,
                 const std::vector<std::vector<EngineId>>& avoided);

  bool IsOpen(RequestId id) const { return open_.contains(id); }
  std::size_t open_count() const { return open_.size(); }
  std::size_t violation_count() const { return violation_count_; }
  const std::vector<std::string>& violations() const { return violations_; }  // the first violations

 private:
  struct Attempt {
    EngineId engine = 0;
    Nanos sent_at = 0;
    bool in_flight = true;
    bool may_have_run = true;
  };
  struct ActiveRequest {
    Request request;
    int gateway = 0;
    Nanos deadline = 0;
    Nanos waiting_since = 0;
    std::vector<Attempt> attempts;
    bool has_response = false;
    bool idle_reported = false;
    bool HasAttemptInFlight() const;
  };
  struct OrderingKeyQueue {
    std::deque<RequestId> order;
    Nanos pause_until = 0;
  };
  struct GatewayState {
    std::map<EngineId, EngineEntry> listed;
    std::map<EngineId, Nanos> unavailable_since;  // start of the time in which it is not ready
    std::deque<Nanos> submitted, retries;
    std::map<std::uint64_t, OrderingKeyQueue> ordering_key_queues;
  };

  void AddViolation(Nanos now, RequestId id, const std::string& description);
  ActiveRequest* FindRequest(Nanos now, RequestId id, const char* description);
  const ClassSettings& Class(const ActiveRequest& active) const {
    return site_.settings.classes[active.request.class_id];
  }
  bool IsOrdered(const ActiveRequest& active) const {
    return Class(active).in_order && active.request.ordering_key != 0;
  }
  void RecordResponse(Nanos now, RequestId id, ActiveRequest& active);
  void EraseIfFinished(Nanos now, RequestId id);  // if the request has a response and no attempt in flight
  bool SameGroup(const ActiveRequest& active, EngineId a, EngineId b) const;
  std::size_t RemainingBudget(Nanos now, GatewayState& gateway) const;
  void CheckAttempts(Nanos now, const ActiveRequest& active);
  void CheckRepeat(Nanos now, const ActiveRequest& active, EngineId engine);
  void CheckOrder(Nanos now, const ActiveRequest& active);
  void CheckPlacement(Nanos now, const ActiveRequest& active, EngineId engine);
  void CheckBudget(Nanos now, const ActiveRequest& active);
  bool IsHeldBack(Nanos now, const ActiveRequest& active);
  bool MayRunOn(Nanos now, const ActiveRequest& active, EngineId engine);

  const Site& site_;
  std::vector<GatewayState> gateways_;
  std::map<RequestId, ActiveRequest> requests_;  // until they have a response and no attempt in flight
  std::map<RequestId, int> open_;                // requests without a response, and their gateways
  std::size_t violation_count_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_SITE_INVARIANT_CHECKER_H_
