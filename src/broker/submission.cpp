// The submission of requests: admission limits, the admission queue and the table of active requests.
#include <utility>

#include "broker/broker.h"

namespace lemoncroft::broker {

using decision::ToDuration;
using request::Response;
using request::ResponseStatus;
using runtime::Duration;
using runtime::Now;

RequestId Broker::Submit(request::ClientRequest client_request, std::unique_ptr<request::ResponseSink> sink) {
  const std::string& class_name = client_request.forwarded.class_name;
  counters_.CountReceived(class_name);
  if (const auto response = CheckAdmission(client_request)) {
    Respond(class_name, *sink, *response);
    return 0;
  }
  const RequestId id = next_id_++;
  if (queue_) {
    if (const auto rejection = SubmitToQueue(id, client_request, *sink)) {
      Respond(class_name, *sink, *rejection);
      return 0;
    }
  }
  auto request = std::make_shared<ActiveRequest>();
  request->id = id;
  request->submitted = Now();
  request->client_request = std::move(client_request);
  request->sink = std::move(sink);
  active_requests_.emplace(id, request);
  ids_by_client_id_.emplace(request->client_request_id(), id);
  ++open_requests_;
  open_bytes_ += request->client_request.forwarded.bytes();
  RegisterOrderingKey(*request);
  loop_.Spawn(RunRequest(std::move(request)));
  return id;
}

std::optional<Response> Broker::CheckAdmission(const request::ClientRequest& client_request) const {
  const request::ForwardedFields& forwarded = client_request.forwarded;
  const bool lease_admits = lease_fence_ == nullptr || lease_fence_->AdmitsClass(forwarded.class_name);
  const bool has_capacity =
      active_requests_.size() < limits_.max_requests && open_bytes_ + forwarded.bytes() <= limits_.max_bytes;
  if (rejects_new_requests_ || !lease_admits || !has_capacity) {
    return Response{ResponseStatus::kRejected, MaxRetryAfter(), {}};
  }
  // Engines identify a query only by the client's request id, so that two requests with the same id would be
  // confused. The second request fails while the first is open. When the first only waits for its attempts to
  // end, the second is rejected instead, because it may be retried.
  const auto duplicate = ids_by_client_id_.find(forwarded.request_id);
  if (duplicate == ids_by_client_id_.end()) return std::nullopt;
  const bool is_open = active_requests_.at(duplicate->second)->sink != nullptr;
  return Response{is_open ? ResponseStatus::kFailed : ResponseStatus::kRejected, {}, {}};
}

std::optional<Response> Broker::SubmitToQueue(RequestId id, const request::ClientRequest& client_request,
                                              request::ResponseSink& sink) {
  const auto result =
      queue_->Submit({id, client_request.tenant, client_request.class_id, client_request.estimated_work,
                      DecisionDeadlineOf(client_request), client_request.wants_wait_notices});
  if (result.rejected) {
    const bool sends_retry_after = site_->module.may_send_retry_after;
    return Response{
        ResponseStatus::kRejected, sends_retry_after ? result.rejected->retry_after : Duration::zero(), {}};
  }
  if (client_request.wants_wait_notices) {
    sink.NotifyWait({result.estimate.wait, result.estimate.upper_bound});
  }
  return std::nullopt;
}

Duration Broker::MaxRetryAfter() const {
  return site_->module.may_send_retry_after ? ToDuration(site_->module.max_retry_after) : Duration::zero();
}

}  // namespace lemoncroft::broker
