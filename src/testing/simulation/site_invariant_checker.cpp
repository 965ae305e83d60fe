#include "testing/simulation/site_invariant_checker.h"

#include <algorithm>

namespace lemoncroft::simulation {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;
constexpr std::size_t kBreachesKept = 12;
constexpr Nanos kIdleMost = 2 * kSecond;  // that a request may wait while an engine for it is idle
constexpr Nanos kAnswerSlack = 10 * kMs;  // two ticks past the deadline

bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kFull && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
}

// Whether it ended is not known: a key rests after it.
bool Unknown(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

}  // namespace

SiteInvariantChecker::SiteInvariantChecker(const Site& site)
    : site_(site), gateways_(static_cast<std::size_t>(site.settings.gateways)) {}

bool SiteInvariantChecker::ActiveRequest::out() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

void SiteInvariantChecker::Breach(Nanos now, RequestId id, const std::string& what) {
  ++count_;
  if (breaches_.size() >= kBreachesKept) return;
  std::string text = "at " + std::to_string(now / kMs) + " ms: " + what;
  if (id != 0) text += " (request " + std::to_string(id) + ")";
  if (const auto it = lives_.find(id); it != lives_.end())
    text += " of class " + std::to_string(it->second.request.class_id) + " at gateway " +
            std::to_string(it->second.gateway);
  breaches_.push_back(text);
}

SiteInvariantChecker::ActiveRequest* SiteInvariantChecker::Find(Nanos now, RequestId id, const char* what) {
  const auto it = lives_.find(id);
  if (it != lives_.end()) return &it->second;
  Breach(now, id, std::string(what) + " for a request that is over or was never taken");
  return nullptr;
}

void SiteInvariantChecker::Listed(Nanos now, int gateway, const std::vector<EngineEntry>& entries) {
  GatewayState& state = gateways_[static_cast<std::size_t>(gateway)];
  for (const EngineEntry& entry : entries) {
    state.listed[entry.engine] = entry;
    if (entry.readiness == Readiness::kReady)
      state.barred_since.erase(entry.engine);
    else
      state.barred_since.try_emplace(entry.engine, now);
  }
}

void SiteInvariantChecker::Taken(Nanos now, int gateway, const Request& request) {
  ActiveRequest& life = lives_[request.id];
  life.request = request;
  life.gateway = gateway;
  life.deadline = now + request.client_timeout;
  life.waits_since = now;
  open_[request.id] = gateway;
  GatewayState& state = gateways_[static_cast<std::size_t>(gateway)];
  state.taken.push_back(now);
  if (Ordered(life)) state.keys[request.key].order.push_back(request.id);
}

void SiteInvariantChecker::Sent(Nanos now, const Send& send) {
  ActiveRequest* life = Find(now, send.id, "an attempt");
  if (life == nullptr) return;
  if (life->answered) Breach(now, send.id, "an attempt after the answer");
  CheckAttempts(now, *life);
  CheckRepeat(now, *life, send.engine);
  CheckOrder(now, *life);
  CheckPlace(now, *life, send.engine);
  if (!life->attempts.empty()) CheckBudget(now, *life);
  life->attempts.push_back({send.engine, now});
}

void SiteInvariantChecker::CheckAttempts(Nanos now, const ActiveRequest& life) {
  const auto most = static_cast<std::size_t>(std::max(1, site_.settings.max_attempts));
  if (life.attempts.size() >= most) Breach(now, life.request.id, "more attempts than allowed");
  if (!site_.settings.may_hedge && life.out()) Breach(now, life.request.id, "two attempts out at once");
}

void SiteInvariantChecker::CheckRepeat(Nanos now, const ActiveRequest& life, EngineId engine) {
  const ClassSettings& c = Class(life);
  if (c.effect == Effect::kSafe) return;
  for (const Attempt& before : life.attempts) {
    if (!before.may_have_run) continue;
    if (c.effect == Effect::kUnsafe) return Breach(now, life.request.id, "a repeat of an unsafe request");
    if (now > before.sent_at + c.repeat_window)
      return Breach(now, life.request.id, "a keyed repeat past its window");
    if (!SameGroup(life, before.engine, engine))
      return Breach(now, life.request.id, "a keyed repeat outside of its group");
  }
}

bool SiteInvariantChecker::SameGroup(const ActiveRequest& life, EngineId a, EngineId b) const {
  const EngineEntry& x = site_.engines[a - 1];
  const EngineEntry& y = site_.engines[b - 1];
  const RepeatGroup group = Class(life).group;
  if (group == RepeatGroup::kZone) return x.zone == y.zone;
  if (group == RepeatGroup::kCell) return x.cell == y.cell;
  return true;
}

void SiteInvariantChecker::CheckOrder(Nanos now, const ActiveRequest& life) {
  if (!Ordered(life)) return;
  const KeyLine& line = gateways_[static_cast<std::size_t>(life.gateway)].keys[life.request.key];
  if (line.order.empty() || line.order.front() != life.request.id)
    Breach(now, life.request.id, "an attempt before the one ahead of it in its key's order is over");
  if (now < line.rest_until) Breach(now, life.request.id, "an attempt while its key rests");
}

void SiteInvariantChecker::CheckPlace(Nanos now, const ActiveRequest& life, EngineId engine) {
  const std::vector<EngineId>& allowed = site_.may_take[life.request.class_id];
  if (std::find(allowed.begin(), allowed.end(), engine) == allowed.end())
    Breach(now, life.request.id, "an engine that the class's placement forbids");
  const GatewayState& state = gateways_[static_cast<std::size_t>(life.gateway)];
  if (!state.listed.contains(engine)) Breach(now, life.request.id, "an engine that is not listed");
  const auto barred = state.barred_since.find(engine);
  if (barred != state.barred_since.end() && now > barred->second + site_.settings.drain_grace)
    Breach(now, life.request.id, "an engine that drains or is gone");
}

std::size_t SiteInvariantChecker::BudgetLeft(Nanos now, GatewayState& gateway) const {
  const AttemptBudget& budget = *site_.settings.attempt_budget;
  const Nanos from = now - budget.budget_window;
  while (!gateway.taken.empty() && gateway.taken.front() <= from) gateway.taken.pop_front();
  while (!gateway.further.empty() && gateway.further.front() <= from) gateway.further.pop_front();
  const double allowed = budget.free + budget.ratio * static_cast<double>(gateway.taken.size());
  const double left = allowed - static_cast<double>(gateway.further.size());
  return left < 1 ? 0 : static_cast<std::size_t>(left);
}

void SiteInvariantChecker::CheckBudget(Nanos now, const ActiveRequest& life) {
  if (!site_.settings.attempt_budget) return;
  GatewayState& state = gateways_[static_cast<std::size_t>(life.gateway)];
  if (BudgetLeft(now, state) == 0) Breach(now, life.request.id, "a further attempt past the budget");
  state.further.push_back(now);
}

void SiteInvariantChecker::Ended(Nanos now, RequestId id, int attempt, Outcome outcome) {
  const auto it = lives_.find(id);
  if (it == lives_.end()) return;
  ActiveRequest& life = it->second;
  Attempt& ended = life.attempts.at(static_cast<std::size_t>(attempt));
  ended.out = false;
  ended.may_have_run = MayHaveRun(outcome);
  life.waits_since = now;
  if (Ordered(life) && Unknown(outcome)) {
    KeyLine& line = gateways_[static_cast<std::size_t>(life.gateway)].keys[life.request.key];
    line.rest_until = now + site_.settings.order_settle;
  }
  Leave(now, id);
}

void SiteInvariantChecker::Leave(Nanos now, RequestId id) {
  const auto it = lives_.find(id);
  if (it == lives_.end() || !it->second.answered || it->second.out()) return;
  if (Ordered(it->second)) {
    auto& keys = gateways_[static_cast<std::size_t>(it->second.gateway)].keys;
    KeyLine& line = keys[it->second.request.key];
    std::erase(line.order, id);
    if (!line.order.empty()) lives_.at(line.order.front()).waits_since = std::max(now, line.rest_until);
  }
  lives_.erase(it);
}

void SiteInvariantChecker::Cancelled(Nanos now, const Cancel& cancel) {
  if (!site_.settings.may_cancel) Breach(now, cancel.id, "a cancel that is not allowed");
  const auto it = lives_.find(cancel.id);
  if (it == lives_.end()) return;  // over in the meantime
  const auto attempts = static_cast<int>(it->second.attempts.size());
  if (cancel.attempt < 0 || cancel.attempt >= attempts) Breach(now, cancel.id, "a cancel of no attempt");
}

void SiteInvariantChecker::Probed(Nanos now, const Probe&) {
  if (!site_.settings.may_probe) Breach(now, 0, "a probe that is not allowed");
}

void SiteInvariantChecker::Termed(Nanos now, const ResourceGrant& terms) {
  if (terms.priority < 0 || terms.priority > 3) Breach(now, terms.id, "a priority that does not exist");
}

void SiteInvariantChecker::Answered(Nanos now, RequestId id, ActiveRequest& life) {
  if (life.answered) return Breach(now, id, "a second answer");
  life.answered = true;
  if (now > life.deadline + kAnswerSlack) Breach(now, id, "an answer past the deadline");
  open_.erase(id);
}

void SiteInvariantChecker::Served(Nanos now, RequestId id) {
  if (ActiveRequest* life = Find(now, id, "served"); life != nullptr) {
    Answered(now, id, *life);
    Leave(now, id);
  }
}

void SiteInvariantChecker::Refused(Nanos now, const RejectRequest& refuse) {
  ActiveRequest* life = Find(now, refuse.id, "a refusal");
  if (life == nullptr) return;
  const bool may_have_run = std::any_of(life->attempts.begin(), life->attempts.end(),
                                        [](const Attempt& a) { return a.may_have_run; });
  if (Class(*life).effect != Effect::kSafe && may_have_run)
    Breach(now, refuse.id, "a refusal where the request may have run");
  if (refuse.retry_after > 0 && !site_.settings.may_send_retry_after)
    Breach(now, refuse.id, "advice that is not allowed");
  if (refuse.retry_after > site_.settings.max_retry_after) Breach(now, refuse.id, "advice past the longest");
  Answered(now, refuse.id, *life);
  Leave(now, refuse.id);
}

void SiteInvariantChecker::Failed(Nanos now, const Fail& fail) {
  if (ActiveRequest* life = Find(now, fail.id, "a failure"); life != nullptr) {
    Answered(now, fail.id, *life);
    Leave(now, fail.id);
  }
}

void SiteInvariantChecker::Withdrawn(Nanos now, RequestId id) {
  const auto it = lives_.find(id);
  if (it == lives_.end()) return;
  it->second.answered = true;
  open_.erase(id);
  Leave(now, id);
}

void SiteInvariantChecker::GaveUp(Nanos now, RequestId id) {
  if (!open_.contains(id)) return;
  Breach(now, id, "no answer by the deadline");
  Withdrawn(now, id);
}

// Whether a rule holds the request back.
bool SiteInvariantChecker::MayWait(Nanos now, const ActiveRequest& life) {
  GatewayState& state = gateways_[static_cast<std::size_t>(life.gateway)];
  if (Ordered(life) && state.keys[life.request.key].order.front() != life.request.id) return true;
  return !life.attempts.empty() && site_.settings.attempt_budget && BudgetLeft(now, state) == 0;
}

bool SiteInvariantChecker::MayTake(Nanos now, const ActiveRequest& life, EngineId engine) {
  const std::vector<EngineId>& allowed = site_.may_take[life.request.class_id];
  if (std::find(allowed.begin(), allowed.end(), engine) == allowed.end()) return false;
  for (const Attempt& before : life.attempts)
    if (before.may_have_run && Class(life).effect == Effect::kKeyed &&
        !SameGroup(life, before.engine, engine))
      return false;
  const auto& listed = gateways_[static_cast<std::size_t>(life.gateway)].listed;
  const auto it = listed.find(engine);
  if (it == listed.end() || it->second.readiness != Readiness::kReady) return false;
  const Nanos warm_at =
      it->second.started_at + site_.settings.slow_start_duration + site_.settings.overload_window;
  return it->second.started_at == 0 || now > warm_at;
}

void SiteInvariantChecker::CheckIdle(Nanos now, const std::vector<IdleEngine>& idle,
                                     const std::vector<std::vector<EngineId>>& avoided) {
  for (const auto& [id, gateway] : open_) {
    ActiveRequest& life = lives_.at(id);
    if (life.idle_told || life.out()) continue;
    if (MayWait(now, life)) life.waits_since = now;
    if (now - life.waits_since <= kIdleMost) continue;
    const std::vector<EngineId>& out = avoided[static_cast<std::size_t>(gateway)];
    for (const IdleEngine& engine : idle) {
      if (now - engine.since <= kIdleMost || !MayTake(now, life, engine.engine)) continue;
      if (std::find(out.begin(), out.end(), engine.engine) != out.end()) continue;
      life.idle_told = true;
      Breach(now, id, "it waits while engine " + std::to_string(engine.engine) + " is idle");
      break;
    }
  }
}

}  // namespace lemoncroft::simulation
