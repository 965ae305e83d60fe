// The life of every request between its taking and its one final answer, in terms of no protocol.
//
// A front end hands in a ClientRequest and a ResponseSink; the decision module says where attempts go
// and when a request is given up; the back end runs the attempts.
#ifndef LEMONCROFT_BROKER_BROKER_H_
#define LEMONCROFT_BROKER_BROKER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "backend/engines.h"
#include "broker/admission_queue_host.h"
#include "broker/module_host.h"
#include "lemoncroft/gateway.h"
#include "metrics/counters.h"
#include "request/client_request.h"
#include "request/lease_fence.h"
#include "runtime/loop.h"
#include "settings/migration.h"
#include "settings/settings.h"

namespace lemoncroft::broker {

class Broker {
 public:
  struct Limits {
    std::size_t max_requests = 4096;                // open at a time
    std::size_t max_bytes = std::size_t{48} << 20;  // that they hold
  };

  Broker(runtime::Loop& loop, const settings::ActiveSettings& site, std::uint64_t seed,
         backend::Engines& engines, metrics::Counters& counters, Limits limits);

  // Holds requests in an admission queue ahead of the module. To be called before Start. Without it, requests
  // go to the module on arrival.
  void EnableAdmissionQueue(admission_queue::Settings settings);
  AdmissionQueueHost* admission_queue() { return queue_.get(); }  // null without one
  // Fences requests with the configuration lease; set before Start. Null: every action is permitted.
  void set_lease_fence(request::LeaseFence* lease_fence) {
    lease_fence_ = lease_fence;
    engines_.set_lease_fence(lease_fence);
  }
  void Start();
  // Takes a request; its answer may come within the call. Returns the number to abandon it by.
  RequestId Submit(request::ClientRequest request, std::unique_ptr<request::ResponseSink> sink);
  // Nobody waits for the answer any more: none will be given.
  void CancelRequest(RequestId id);
  void UpdateEndpoints(EngineList list);
  // New settings are in force; `like` as in Retuned.
  void ApplySettings(std::vector<int> inherits_estimates_from, std::size_t requests);
  void SetProcessShare(int parts) { host_.Post(ProcessShare{parts}); }
  // How many proxies serve, and this one's place among them, as the view of the fleet has it.
  void SetFleetSize(int serving, int place);
  settings::ReferencedNumbers NumbersInUse() const;  // by requests under way
  // From now on new requests are refused: the process is about to end.
  void RejectNewRequests() { closed_ = true; }
  bool idle() const { return lives_.empty() && !engines_.giving_up(); }     // nothing is out any more
  std::vector<EngineId> AvoidedEngines() const { return host_.Avoided(); }  // by the module's choice
  // Has the module answer what is open: nothing of it can be waited for any longer.
  void CompleteAllRequests() { host_.Post(Closing{}); }
  std::size_t open_requests() const { return open_; }  // requests without a final answer

 private:
  struct Ended {
    int attempt = 0;
    backend::Result result;
  };
  struct Abandoned {};
  struct Overdue {};
  struct TurnedAway {  // by the admission queue
    runtime::Span later{};
  };
  using News = std::variant<ResourceGrant, Send, Cancel, RejectRequest, Fail, Ended, Abandoned, Overdue,
                            admission_queue::Dispatch, TurnedAway, request::WaitNotice>;

  struct Running {
    EngineId engine = 0;
    runtime::Time started{};
    bool out = true;
    bool ran = false;  // it may have, as far as is known at its end
    runtime::Cancellation cancel;
  };

  struct ActiveRequest {
    RequestId id = 0;
    runtime::Time taken{};
    request::ClientRequest client_request;
    std::unique_ptr<request::ResponseSink> sink;
    ResourceGrant terms;
    std::vector<std::unique_ptr<Running>> attempts;  // by number
    std::deque<News> inbox;
    runtime::Gate arrived;
  };
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  // The one place where a request gets its answer.
  void Finish(const std::string& lane, request::ResponseSink& sink, const request::Response& answer);
  runtime::Task<> RunRequest(ActiveRequestPtr life);
  runtime::Task<News> Next(ActiveRequest& life, runtime::Time guard);
  void StartAttempt(const ActiveRequestPtr& life, const Send& send);
  bool Forbidden(const ActiveRequest& life, const Send& send) const;
  void ReportNotSent(ActiveRequest& life, const Send& send, bool finished);
  runtime::Span ComeBackMost() const;
  runtime::Task<> RunAttempt(ActiveRequestPtr life, int number, backend::Attempt attempt);
  void ApplyTerms(ActiveRequest& life, const ResourceGrant& terms);
  runtime::Span Advice(const ActiveRequest& life, const RejectRequest& refuse);
  void ReportAttemptEnded(const ActiveRequest& life, const Ended& ended, bool finished);
  runtime::Task<> RunProbe(EngineId engine);

  void CarryOut(const Action& action);
  void CarryOut(const admission_queue::Decision& decision);
  void Deliver(RequestId id, News news);
  Event Described(const ActiveRequest& life) const;

  runtime::Loop& loop_;
  const settings::ActiveSettings& site_;
  backend::Engines& engines_;
  metrics::Counters& counters_;
  Limits limits_;
  ModuleHost host_;
  std::unique_ptr<AdmissionQueueHost> queue_;
  std::unordered_map<RequestId, ActiveRequestPtr> lives_;
  std::unordered_map<std::string, RequestId> ids_;  // the clients' own, of these
  RequestId next_id_ = 1;
  std::size_t open_ = 0;
  std::size_t bytes_ = 0;
  bool closed_ = false;
  request::LeaseFence* lease_fence_ = nullptr;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_BROKER_H_
