#include "testing/simulation/site_invariant_checker.h"

#include <algorithm>

namespace lemoncroft::simulation {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;
constexpr std::size_t kMaxStoredViolations = 12;
constexpr Nanos kMaxIdleWait = 2 * kSecond;  // limit for a request while an engine that may run it is idle
constexpr Nanos kResponseSlack = 10 * kMs;   // two ticks after the deadline

// Returns true if the rules demand a pause of the ordering key: the attempt may still run on its engine.
bool MustPauseKey(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

}  // namespace

SiteInvariantChecker::SiteInvariantChecker(const Site& site)
    : site_(site), gateways_(static_cast<std::size_t>(site.settings.gateway_count)) {}

bool SiteInvariantChecker::ActiveRequest::HasAttemptInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
}

void SiteInvariantChecker::AddViolation(Nanos now, RequestId id, const std::string& description) {
  ++violation_count_;
  if (violations_.size() >= kMaxStoredViolations) return;
  std::string text = "at " + std::to_string(now / kMs) + " ms: " + description;
  if (id != 0) text += " (request " + std::to_string(id) + ")";
  if (const auto it = requests_.find(id); it != requests_.end())
    text += " of class " + std::to_string(it->second.request.class_id) + " at gateway " +
            std::to_string(it->second.gateway);
  violations_.push_back(text);
}

SiteInvariantChecker::ActiveRequest* SiteInvariantChecker::FindRequest(Nanos now, RequestId id,
                                                                       const char* description) {
  const auto it = requests_.find(id);
  if (it != requests_.end()) return &it->second;
  AddViolation(now, id, std::string(description) + " for a request that has ended or was never submitted");
  return nullptr;
}

void SiteInvariantChecker::EndpointsListed(Nanos now, int gateway, const std::vector<EngineEntry>& entries) {
  GatewayState& state = gateways_[static_cast<std::size_t>(gateway)];
  for (const EngineEntry& entry : entries) {
    state.listed[entry.engine] = entry;
    if (entry.readiness == Readiness::kReady)
      state.unavailable_since.erase(entry.engine);
    else
      state.unavailable_since.try_emplace(entry.engine, now);
  }
}

void SiteInvariantChecker::Submitted(Nanos now, int gateway, const Request& request) {
  ActiveRequest& active = requests_[request.id];
  active.request = request;
  active.gateway = gateway;
  active.deadline = now + request.client_timeout;
  active.waiting_since = now;
  open_[request.id] = gateway;
  GatewayState& state = gateways_[static_cast<std::size_t>(gateway)];
  state.submitted.push_back(now);
  if (IsOrdered(active)) state.ordering_key_queues[request.ordering_key].order.push_back(request.id);
}

void SiteInvariantChecker::Sent(Nanos now, const Send& send) {
  ActiveRequest* active = FindRequest(now, send.id, "an attempt");
  if (active == nullptr) return;
  if (active->has_response) AddViolation(now, send.id, "an attempt after the response");
  CheckAttempts(now, *active);
  CheckRepeat(now, *active, send.engine);
  CheckOrder(now, *active);
  CheckPlacement(now, *active, send.engine);
  if (!active->attempts.empty()) CheckBudget(now, *active);
  active->attempts.push_back({send.engine, now});
}

void SiteInvariantChecker::CheckAttempts(Nanos now, const ActiveRequest& active) {
  const auto max_attempts = static_cast<std::size_t>(std::max(1, site_.settings.max_attempts));
  if (active.attempts.size() >= max_attempts)
    AddViolation(now, active.request.id, "more attempts than allowed");
  if (!site_.settings.may_hedge && active.HasAttemptInFlight())
    AddViolation(now, active.request.id, "two attempts in flight at once without hedging");
}

void SiteInvariantChecker::CheckRepeat(Nanos now, const ActiveRequest& active, EngineId engine) {
  const ClassSettings& c = Class(active);
  if (c.effect == Effect::kSafe) return;
  for (const Attempt& previous : active.attempts) {
    if (!previous.may_have_run) continue;
    if (c.effect == Effect::kUnsafe)
      return AddViolation(now, active.request.id, "a repeat of an unsafe request that may have run");
    if (now > previous.sent_at + c.repeat_window)
      return AddViolation(now, active.request.id, "a repeat of a keyed request after its repeat window");
    if (!SameGroup(active, previous.engine, engine))
      return AddViolation(now, active.request.id, "a repeat of a keyed request outside its repeat group");
  }
}

bool SiteInvariantChecker::SameGroup(const ActiveRequest& active, EngineId a, EngineId b) const {
  const EngineEntry& x = site_.engines[a - 1];
  const EngineEntry& y = site_.engines[b - 1];
  const RepeatGroup group = Class(active).repeat_group;
  if (group == RepeatGroup::kZone) return x.zone == y.zone;
  if (group == RepeatGroup::kCell) return x.cell == y.cell;
  return true;
}

void SiteInvariantChecker::CheckOrder(Nanos now, const ActiveRequest& active) {
  if (!IsOrdered(active)) return;
  const OrderingKeyQueue& queue =
      gateways_[static_cast<std::size_t>(active.gateway)].ordering_key_queues[active.request.ordering_key];
  if (queue.order.empty() || queue.order.front() != active.request.id)
    AddViolation(now, active.request.id,
                 "an attempt before an earlier request with the same ordering key has ended");
  if (now < queue.pause_until)
    AddViolation(now, active.request.id, "an attempt during the pause of its ordering key");
}

void SiteInvariantChecker::CheckPlacement(Nanos now, const ActiveRequest& active, EngineId engine) {
  const std::vector<EngineId>& allowed = site_.allowed_engines[active.request.class_id];
  if (std::find(allowed.begin(), allowed.end(), engine) == allowed.end())
    AddViolation(now, active.request.id, "an attempt on an engine that the placement of the class forbids");
  const GatewayState& state = gateways_[static_cast<std::size_t>(active.gateway)];
  if (!state.listed.contains(engine))
    AddViolation(now, active.request.id, "an attempt on an engine that is not listed");
  const auto unavailable = state.unavailable_since.find(engine);
  if (unavailable != state.unavailable_since.end() && now > unavailable->second + site_.settings.drain_grace)
    AddViolation(now, active.request.id, "an attempt on an engine that is draining or removed");
}

std::size_t SiteInvariantChecker::RemainingBudget(Nanos now, GatewayState& gateway) const {
  const RetryBudgetSettings& budget = *site_.settings.retry_budget;
  const Nanos from = now - budget.window;
  while (!gateway.submitted.empty() && gateway.submitted.front() <= from) gateway.submitted.pop_front();
  while (!gateway.retries.empty() && gateway.retries.front() <= from) gateway.retries.pop_front();
  const double allowed = budget.free + budget.ratio * static_cast<double>(gateway.submitted.size());
  const double remaining = allowed - static_cast<double>(gateway.retries.size());
  return remaining < 1 ? 0 : static_cast<std::size_t>(remaining);
}

void SiteInvariantChecker::CheckBudget(Nanos now, const ActiveRequest& active) {
  if (!site_.settings.retry_budget) return;
  GatewayState& state = gateways_[static_cast<std::size_t>(active.gateway)];
  if (RemainingBudget(now, state) == 0)
    AddViolation(now, active.request.id, "a further attempt beyond the retry budget");
  state.retries.push_back(now);
}

void SiteInvariantChecker::Ended(Nanos now, RequestId id, int attempt, Outcome outcome) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  ActiveRequest& active = it->second;
  Attempt& ended = active.attempts.at(static_cast<std::size_t>(attempt));
  ended.in_flight = false;
  ended.may_have_run = MayHaveRun(outcome);
  active.waiting_since = now;
  if (IsOrdered(active) && MustPauseKey(outcome)) {
    OrderingKeyQueue& queue =
        gateways_[static_cast<std::size_t>(active.gateway)].ordering_key_queues[active.request.ordering_key];
    queue.pause_until = now + site_.settings.ordering_key_pause;
  }
  EraseIfFinished(now, id);
}

void SiteInvariantChecker::EraseIfFinished(Nanos now, RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.has_response || it->second.HasAttemptInFlight()) return;
  if (IsOrdered(it->second)) {
    auto& ordering_key_queues = gateways_[static_cast<std::size_t>(it->second.gateway)].ordering_key_queues;
    OrderingKeyQueue& queue = ordering_key_queues[it->second.request.ordering_key];
    std::erase(queue.order, id);
    if (!queue.order.empty())
      requests_.at(queue.order.front()).waiting_since = std::max(now, queue.pause_until);
  }
  requests_.erase(it);
}

void SiteInvariantChecker::Cancelled(Nanos now, const Cancel& cancel) {
  if (!site_.settings.may_cancel) AddViolation(now, cancel.id, "a cancellation that the settings forbid");
  const auto it = requests_.find(cancel.id);
  if (it == requests_.end()) return;  // the request has ended meanwhile
  const auto attempts = static_cast<int>(it->second.attempts.size());
  if (cancel.attempt < 0 || cancel.attempt >= attempts)
    AddViolation(now, cancel.id, "a cancellation of an attempt that does not exist");
}

void SiteInvariantChecker::Probed(Nanos now, const Probe&) {
  if (!site_.settings.may_probe) AddViolation(now, 0, "a probe that the settings forbid");
}

void SiteInvariantChecker::Granted(Nanos now, const ResourceGrant& grant) {
  if (grant.priority < 0 || grant.priority > 3) AddViolation(now, grant.id, "a priority that does not exist");
}

void SiteInvariantChecker::RecordResponse(Nanos now, RequestId id, ActiveRequest& active) {
  if (active.has_response) return AddViolation(now, id, "a second response");
  active.has_response = true;
  if (now > active.deadline + kResponseSlack) AddViolation(now, id, "a response after the deadline");
  open_.erase(id);
}

void SiteInvariantChecker::Served(Nanos now, RequestId id) {
  if (ActiveRequest* active = FindRequest(now, id, "a served response"); active != nullptr) {
    RecordResponse(now, id, *active);
    EraseIfFinished(now, id);
  }
}

void SiteInvariantChecker::Rejected(Nanos now, const RejectRequest& rejection) {
  ActiveRequest* active = FindRequest(now, rejection.id, "a rejection");
  if (active == nullptr) return;
  const bool may_have_run = std::any_of(active->attempts.begin(), active->attempts.end(),
                                        [](const Attempt& a) { return a.may_have_run; });
  if (Class(*active).effect != Effect::kSafe && may_have_run)
    AddViolation(now, rejection.id, "a rejection of a request that may have run");
  if (rejection.retry_after > 0 && !site_.settings.may_send_retry_after)
    AddViolation(now, rejection.id, "a retry-after that the settings forbid");
  if (rejection.retry_after > site_.settings.max_retry_after)
    AddViolation(now, rejection.id, "a retry-after beyond the maximum");
  RecordResponse(now, rejection.id, *active);
  EraseIfFinished(now, rejection.id);
}

void SiteInvariantChecker::Failed(Nanos now, const FailRequest& fail) {
  if (ActiveRequest* active = FindRequest(now, fail.id, "a failure"); active != nullptr) {
    RecordResponse(now, fail.id, *active);
    EraseIfFinished(now, fail.id);
  }
}

void SiteInvariantChecker::Abandoned(Nanos now, RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  it->second.has_response = true;
  open_.erase(id);
  EraseIfFinished(now, id);
}

void SiteInvariantChecker::TimedOut(Nanos now, RequestId id) {
  if (!open_.contains(id)) return;
  AddViolation(now, id, "no response by the deadline");
  Abandoned(now, id);
}

// Returns true if the ordering key or the retry budget prevents an attempt.
bool SiteInvariantChecker::IsHeldBack(Nanos now, const ActiveRequest& active) {
  GatewayState& state = gateways_[static_cast<std::size_t>(active.gateway)];
  if (IsOrdered(active) &&
      state.ordering_key_queues[active.request.ordering_key].order.front() != active.request.id)
    return true;
  return !active.attempts.empty() && site_.settings.retry_budget && RemainingBudget(now, state) == 0;
}

bool SiteInvariantChecker::MayRunOn(Nanos now, const ActiveRequest& active, EngineId engine) {
  const std::vector<EngineId>& allowed = site_.allowed_engines[active.request.class_id];
  if (std::find(allowed.begin(), allowed.end(), engine) == allowed.end()) return false;
  for (const Attempt& previous : active.attempts)
    if (previous.may_have_run && Class(active).effect == Effect::kKeyed &&
        !SameGroup(active, previous.engine, engine))
      return false;
  const auto& listed = gateways_[static_cast<std::size_t>(active.gateway)].listed;
  const auto it = listed.find(engine);
  if (it == listed.end() || it->second.readiness != Readiness::kReady) return false;
  const Nanos warm_at =
      it->second.started_at + site_.settings.slow_start_duration + site_.settings.overload_window;
  return it->second.started_at == 0 || now > warm_at;
}

void SiteInvariantChecker::CheckIdle(Nanos now, const std::vector<IdleEngine>& idle,
                                     const std::vector<std::vector<EngineId>>& avoided) {
  for (const auto& [id, gateway] : open_) {
    ActiveRequest& active = requests_.at(id);
    if (active.idle_reported || active.HasAttemptInFlight()) continue;
    if (IsHeldBack(now, active)) active.waiting_since = now;
    if (now - active.waiting_since <= kMaxIdleWait) continue;
    const std::vector<EngineId>& out = avoided[static_cast<std::size_t>(gateway)];
    for (const IdleEngine& engine : idle) {
      if (now - engine.since <= kMaxIdleWait || !MayRunOn(now, active, engine.engine)) continue;
      if (std::find(out.begin(), out.end(), engine.engine) != out.end()) continue;
      active.idle_reported = true;
      AddViolation(now, id, "a request waits while engine " + std::to_string(engine.engine) + " is idle");
      break;
    }
  }
}

}  // namespace lemoncroft::simulation
