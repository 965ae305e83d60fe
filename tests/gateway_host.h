// A host for tests of one Gateway, which keeps the time, delivers events and records actions; and functions
// that make default settings, engines and requests.
#ifndef LEMONCROFT_TESTS_GATEWAY_HOST_H_
#define LEMONCROFT_TESTS_GATEWAY_HOST_H_

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft {

inline constexpr Nanos kMs = 1'000'000;
inline constexpr Nanos kSecond = 1000 * kMs;

// Drives one Gateway in virtual time. It records actions instead of performing them.
class Host {
 public:
  explicit Host(Settings settings, std::uint64_t seed = 7) : gateway_(std::move(settings), seed) {}

  struct Sent {
    RequestId id;
    EngineId engine;
    int attempt;
    Nanos at;
    Nanos not_after;
  };

  // Passes the events to the gateway and records the actions that it returns.
  void Step(std::vector<Event> events) {
    std::vector<Action> actions;
    gateway_.Step(now, events, actions);
    for (const Action& action : actions) Record(action);
  }
  // Advances the time to `at` and fires the timers that become due.
  void RunUntil(Nanos at) {
    while (!wakes_.empty() && *wakes_.begin() <= at) {
      now = *wakes_.begin();
      wakes_.erase(wakes_.begin());
      Step({TimerFired{0}});
    }
    now = at;
  }
  // Delivers an endpoint list.
  void DeliverList(std::vector<EngineEntry> entries, ListKind kind = ListKind::kFull) {
    Step({EngineList{kind, std::make_shared<const std::vector<EngineEntry>>(std::move(entries))}});
  }
  // Ends the last attempt of the request.
  void EndAttempt(RequestId id, Outcome outcome, Nanos waited = kMs, Nanos work = 0, bool finished = false) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempts_[id] - 1;
    e.engine = engine_of[id];
    e.outcome = outcome;
    e.elapsed = waited;
    e.work = work;
    e.request_finished = finished || outcome == Outcome::kOk;
    Step({e});
  }
  int Attempts(RequestId id) { return attempts_[id]; }

  Nanos now = 100 * kSecond;
  std::vector<Sent> sends;
  std::map<RequestId, EngineId> engine_of;  // the engine of the last attempt
  std::map<RequestId, Nanos> rejected;      // the time of the rejection
  std::map<RequestId, Nanos> failed;        // the time of the failure
  std::map<RequestId, Nanos> retry_after;   // for rejected requests
  std::set<RequestId> cancels;
  std::vector<EngineId> probes;
  std::map<RequestId, ResourceGrant> grants;  // the last grant

 private:
  void Record(const Action& action) {
    if (auto* send = std::get_if<Send>(&action)) {
      sends.push_back({send->id, send->engine, attempts_[send->id]++, now, send->not_after});
      engine_of[send->id] = send->engine;
    } else if (auto* reject = std::get_if<RejectRequest>(&action)) {
      rejected[reject->id] = now;
      retry_after[reject->id] = reject->retry_after;
    } else if (auto* fail = std::get_if<FailRequest>(&action)) {
      failed[fail->id] = now;
    } else if (auto* cancel = std::get_if<Cancel>(&action)) {
      cancels.insert(cancel->id);
    } else if (auto* grant = std::get_if<ResourceGrant>(&action)) {
      grants[grant->id] = *grant;
    } else if (auto* probe = std::get_if<Probe>(&action)) {
      probes.push_back(probe->engine);
    } else if (auto* wake = std::get_if<WakeAt>(&action)) {
      wakes_.insert(wake->at);
    }
  }

  Gateway gateway_;
  std::map<RequestId, int> attempts_;
  std::multiset<Nanos> wakes_;
};

inline ClassSettings DefaultClass(double priority_weight = 1, int threads = 1) {
  ClassSettings c;
  c.latency_objective = kSecond;
  c.latency_objective_stretch = 1;
  c.client_timeout = 5 * kSecond;
  c.priority_weight = priority_weight;
  c.late_weight_share = 0.3;
  c.threads = threads;
  c.repeat_window = 5 * kSecond;
  return c;
}

inline Settings DefaultSettings() {
  Settings s;
  s.gateway_count = 2;
  s.classes = {DefaultClass()};
  s.kinds = {{8, 16384}};
  s.drain_grace = 250 * kMs;
  s.may_cancel = true;
  s.may_send_retry_after = true;
  s.max_retry_after = 2 * kSecond;
  s.max_attempts = 3;
  s.report_fields = {ReportField::kInflight, ReportField::kUtil};
  s.reports_in_responses = true;
  return s;
}

inline EngineEntry ReadyEngine(EngineId id, Nanos started_at = 0) {
  EngineEntry e;
  e.engine = id;
  e.started_at = started_at;
  return e;
}

inline Request MakeRequest(RequestId id, std::uint16_t class_id = 0, Nanos client_timeout = 4 * kSecond,
                           Nanos work = 100 * kMs) {
  Request r;
  r.id = id;
  r.class_id = class_id;
  r.client_timeout = client_timeout;
  r.estimated_work = work;
  r.table_group = static_cast<std::uint32_t>(id % 17);
  return r;
}

}  // namespace lemoncroft

#endif  // LEMONCROFT_TESTS_GATEWAY_HOST_H_
