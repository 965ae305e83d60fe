// Periodic reviews of the waiting requests of AdmissionQueue: rejects requests that can't start in time and
// reports changed estimates.

#include <algorithm>

#include "admission_queue/admission_queue.h"

namespace lemoncroft::admission_queue {

using namespace std::chrono_literals;

namespace {

constexpr Duration kMinReviewInterval = 100ms;  // between two reviews of a waiting request
constexpr std::size_t kMaxReviewsPerStep = 2048;
// An estimate is reported again when the expected start moves by more than this fraction of the wait and by
// more than kMinEstimateChange.
constexpr double kMinEstimateChangeRatio = 0.4;
constexpr Duration kMinEstimateChange = 750ms;

}  // namespace

void AdmissionQueue::ReviewDueRequests(Time now, std::vector<Decision>& decisions) {
  std::size_t remaining = kMaxReviewsPerStep;
  for (; !review_backlog_.empty() && remaining > 0; --remaining) {
    const RequestId id = review_backlog_.back();  // the last ids are the most likely to be late
    review_backlog_.pop_back();
    if (const auto it = requests_.find(id); it != requests_.end())
      ReviewRequest(id, it->second, now, decisions, false);
  }
  for (; remaining > 0; --remaining) {
    const std::optional<RequestId> id = review_timers_.PopDue(now);
    if (!id) break;
    const auto it = requests_.find(*id);
    if (it == requests_.end() || it->second.dispatched) continue;
    if (it->second.next_review > now + TimerWheel::kSlotDuration)
      review_timers_.Add(it->second.next_review, *id);  // beyond the wheel's span, or rescheduled since
    else
      ReviewRequest(*id, it->second, now, decisions, true);
  }
}

RejectReason AdmissionQueue::ReviewResult(const Request& r, const WaitEstimate& estimate, Time now) const {
  const RejectReason barred = BarredReason(r.tenant, r.class_id);
  if (barred != RejectReason::kNone) return barred;
  const bool late = now + TimerWheel::kSlotDuration >= r.latest_start ||
                    now + lanes_[LaneOf(r.class_id)].accuracy.LowerBound(estimate.wait) > r.latest_start;
  return late ? RejectReason::kTooLate : RejectReason::kNone;
}

Reject AdmissionQueue::RejectWaiting(RequestId id, Request& r, RejectReason reason, Time now) {
  RemoveFromQueue(r);
  Request resubmitted = r;  // as if submitted now, behind all waiting requests of its class
  resubmitted.place = tenants_[r.tenant].class_queues[r.class_id].end();
  resubmitted.submitted_at = now;
  const Duration slack = r.latest_start - r.submitted_at;
  const Duration retry_after = reason == RejectReason::kTooLate
                                   ? CorrectedEstimate(resubmitted, now).upper_bound - slack
                                   : settings_.max_retry_after;
  const QueuedRequest request{id, r.tenant, r.class_id, r.work, r.latest_start, r.wants_updates};
  const Reject reject = MakeReject(request, reason, retry_after);
  requests_.erase(id);
  return reject;
}

void AdmissionQueue::ReviewRequest(RequestId id, Request& r, Time now, std::vector<Decision>& decisions,
                                   bool reschedule) {
  if (r.dispatched) return;
  const WaitEstimate estimate = CorrectedEstimate(r, now);
  const RejectReason reason = ReviewResult(r, estimate, now);
  if (reason != RejectReason::kNone) {
    decisions.emplace_back(RejectWaiting(id, r, reason, now));
    return;
  }
  const Time start = now + estimate.wait;
  const Duration change = start > r.reported_start ? start - r.reported_start : r.reported_start - start;
  if (change > std::max(kMinEstimateChange, FromSeconds(kMinEstimateChangeRatio * Seconds(estimate.wait)))) {
    r.reported_start = start;
    if (r.wants_updates) decisions.emplace_back(EstimateUpdate{id, estimate});
  }
  if (reschedule) ScheduleReview(id, r, now, estimate.wait);
}

// A request that wants updates is reviewed more often as its start approaches. Any other request is reviewed
// a quarter of its wait after its expected start or when half of its slack has passed, whichever is later: it
// can't be late before. Each is reviewed at its latest start if that is earlier. Changes of the fleet or the
// budgets put all waiting requests into the backlog instead.
void AdmissionQueue::ScheduleReview(RequestId id, Request& r, Time now, Duration wait) {
  const Duration slack = r.latest_start - now - wait;
  const Duration delay = r.wants_updates ? wait / 3 : std::max(wait + wait / 4, slack / 2);
  r.next_review = std::min(now + std::max(kMinReviewInterval, delay), std::max(now, r.latest_start));
  review_timers_.Add(r.next_review, id);
}

}  // namespace lemoncroft::admission_queue
