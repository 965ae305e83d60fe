// Checks the invariants of a simulated site from the outside: it observes every request, attempt, response
// and endpoint list of its gateways, and records a line of text for each violation.
//
// Contract: deterministic; the caller's times never decrease. It changes nothing that it observes.
#ifndef LEMONCROFT_SIMULATION_SITE_INVARIANT_CHECKER_H_
#define LEMONCROFT_SIMULATION_SITE_INVARIANT_CHECKER_H_

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

// How an engine has been for the check that nothing waits while engines idle.
struct IdleEngine {
  EngineId engine = 0;
  Nanos since = 0;
};

class SiteInvariantChecker {
 public:
  explicit SiteInvariantChecker(const Site& site);

  void Listed(Nanos now, int gateway, const std::vector<EngineEntry>& entries);
  void Taken(Nanos now, int gateway, const Request& request);
  void Sent(Nanos now, const Send& send);
  void Ended(Nanos now, RequestId id, int attempt, Outcome outcome);
  void Cancelled(Nanos now, const Cancel& cancel);
  void Probed(Nanos now, const Probe& probe);
  void Termed(Nanos now, const ResourceGrant& terms);
  void Served(Nanos now, RequestId id);
  void Refused(Nanos now, const RejectRequest& refuse);
  void Failed(Nanos now, const Fail& fail);
  void Withdrawn(Nanos now, RequestId id);
  // The client has waited to the end: from now on nobody waits for an answer.
  void GaveUp(Nanos now, RequestId id);
  // `avoided`: for each gateway, the engines that it leaves out for a while by its own choice.
  void CheckIdle(Nanos now, const std::vector<IdleEngine>& idle,
                 const std::vector<std::vector<EngineId>>& avoided);

  bool Open(RequestId id) const { return open_.contains(id); }
  std::size_t open() const { return open_.size(); }
  std::size_t count() const { return count_; }
  const std::vector<std::string>& breaches() const { return breaches_; }  // the first of them

 private:
  struct Attempt {
    EngineId engine = 0;
    Nanos sent_at = 0;
    bool out = true;
    bool may_have_run = true;
  };
  struct ActiveRequest {
    Request request;
    int gateway = 0;
    Nanos deadline = 0;
    Nanos waits_since = 0;
    std::vector<Attempt> attempts;
    bool answered = false;
    bool idle_told = false;
    bool out() const;
  };
  struct KeyLine {
    std::deque<RequestId> order;
    Nanos rest_until = 0;
  };
  struct GatewayState {
    std::map<EngineId, EngineEntry> listed;
    std::map<EngineId, Nanos> barred_since;  // told to drain or gone
    std::deque<Nanos> taken, further;
    std::map<std::uint64_t, KeyLine> keys;
  };

  void Breach(Nanos now, RequestId id, const std::string& what);
  ActiveRequest* Find(Nanos now, RequestId id, const char* what);
  const ClassSettings& Class(const ActiveRequest& life) const {
    return site_.settings.classes[life.request.class_id];
  }
  bool Ordered(const ActiveRequest& life) const { return Class(life).in_order && life.request.key != 0; }
  void Answered(Nanos now, RequestId id, ActiveRequest& life);
  void Leave(Nanos now, RequestId id);  // once it is over and nothing of it is out
  bool SameGroup(const ActiveRequest& life, EngineId a, EngineId b) const;
  std::size_t BudgetLeft(Nanos now, GatewayState& gateway) const;
  void CheckAttempts(Nanos now, const ActiveRequest& life);
  void CheckRepeat(Nanos now, const ActiveRequest& life, EngineId engine);
  void CheckOrder(Nanos now, const ActiveRequest& life);
  void CheckPlace(Nanos now, const ActiveRequest& life, EngineId engine);
  void CheckBudget(Nanos now, const ActiveRequest& life);
  bool MayWait(Nanos now, const ActiveRequest& life);
  bool MayTake(Nanos now, const ActiveRequest& life, EngineId engine);

  const Site& site_;
  std::vector<GatewayState> gateways_;
  std::map<RequestId, ActiveRequest> lives_;  // until nothing of them is out any more
  std::map<RequestId, int> open_;             // taken and without an answer; with their gateways
  std::size_t count_ = 0;
  std::vector<std::string> breaches_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_SIMULATION_SITE_INVARIANT_CHECKER_H_
