// The terms of the waiting line: what it is set up with, what it is told, what it answers.
//
// The line stands in front of the decision module. It orders requests that wait by team budget and by worth
// that ages, estimates how long each will wait, and hands them to the module as fast as the module starts
// them. Which engine runs a query, and whether an attempt is made again, stay with the module.
//
// Contract. No I/O, no clock: every call is passed the time, which never runs backwards. The same settings
// and calls give the same decisions. docs/waiting.md tells what was weighed; the members here give units.
#ifndef LEMONCROFT_ADMISSION_QUEUE_TYPES_H_
#define LEMONCROFT_ADMISSION_QUEUE_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lemoncroft::admission_queue {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Span>;
using Work = std::chrono::nanoseconds;  // of one core; whole numbers, so that sums stay exact
using RequestId = std::uint64_t;
using TenantId = std::uint32_t;
using ClassId = std::uint32_t;

inline double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }
// Out of range (a month and more) is clamped; NaN is zero.
Span FromSeconds(double seconds);

struct TenantBudget {
  std::string name;
  double cores = 0;             // core-seconds a second over the whole fleet; 0: the team may not send at all
  Span burst{};                 // how far ahead of the others a team may run, in seconds of its budget
  int max_threads = 0;          // running at a time, over the whole fleet; 0: as many as there are
  std::size_t max_waiting = 0;  // requests waiting at this proxy; 0: as many as there may be
  std::vector<ClassId> barred_classes;  // classes that it may not use
};

struct ClassPolicy {
  std::string name;
  double priority_weight = 1;
  int threads = 1;
  Work default_work{};  // what a request without an estimate is taken to need, until answers have told
  Span max_wait{};      // it starts or is refused within; zero: only by its client's patience
  bool light = false;   // short: handed over apart from the heavy ones, as the module counts them apart
};

struct Settings {
  std::vector<TenantBudget> tenants;
  std::vector<ClassPolicy> classes;
  Span ageing = std::chrono::seconds(2);  // the age that outweighs ten times the worth
  double heavy_threads_per_core = 1.4;    // threads of heavy classes a core that may run
  double budget_share = 1;                // of the fleet's budgets that is this proxy's, 0 to 1
  std::size_t max_waiting = 200'000;      // requests, of all teams together
  Span max_retry_after{};                 // advice is never longer; zero: no limit
};

// A request as the line knows it.
struct QueuedRequest {
  RequestId id = 0;
  TenantId tenant = 0;
  ClassId class_id = 0;
  Work estimated_work{};       // zero: none; what is absurd is bounded
  Time deadline{};             // when its client stops waiting
  bool wants_updates = false;  // its client wants to be told of revised estimates
};

enum class RejectReason { kNone, kNoBudget, kClassBarred, kTenantQueueFull, kQueueFull, kTooLate };
const char* Description(RejectReason reason);

// An estimate of the wait from now until the request is first sent to an engine.
struct WaitEstimate {
  Span wait{};
  Span upper_bound{};  // with the error that such estimates have lately had
};

// ---- What the line decides ----

struct Dispatch {  // to the decision module
  RequestId id = 0;
};
struct Reject {  // final; never ran
  RequestId id = 0;
  RejectReason reason = RejectReason::kNone;
  Span retry_after{};  // when to come back
};
struct EstimateUpdate {  // a watched request's estimate has changed
  RequestId id = 0;
  WaitEstimate estimate;
};
struct LogEvent {  // for the log
  std::string text;
};
using Decision = std::variant<Dispatch, Reject, EstimateUpdate, LogEvent>;

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_TYPES_H_
