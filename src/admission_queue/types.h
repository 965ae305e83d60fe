// Settings, requests and decisions of the admission queue.
//
// The queue sits in front of the decision module. It orders waiting requests by tenant budget and aged
// priority, estimates how long each request will wait, and dispatches requests to the module as fast as the
// module starts them. The module still chooses engines and retries attempts.
//
// The queue performs no I/O and reads no clock: every call takes the current time, which must never decrease.
// The same settings and calls produce the same decisions. docs/admission_queue.md describes the design.
#ifndef LEMONCROFT_ADMISSION_QUEUE_TYPES_H_
#define LEMONCROFT_ADMISSION_QUEUE_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lemoncroft::admission_queue {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// CPU time of one core. Whole nanoseconds, so that sums are exact in any order.
using Work = std::chrono::nanoseconds;
using RequestId = std::uint64_t;
using TenantId = std::uint32_t;  // index into Settings::tenants
using ClassId = std::uint32_t;   // index into Settings::classes

inline double Seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
// Converts seconds to a Duration. Clamps to +/- 46 days; returns zero for NaN.
Duration FromSeconds(double seconds);

// The budget and limits of one tenant.
struct TenantBudget {
  std::string name;
  double cores = 0;             // core-seconds per second over the whole fleet; 0: all requests are rejected
  Duration burst{};             // how far the tenant may get ahead of others, in seconds of its budget
  int max_threads = 0;          // used at a time, over the whole fleet; 0: no limit
  std::size_t max_waiting = 0;  // requests waiting at this proxy; 0: no limit
  std::vector<ClassId> barred_classes;
};

// Properties of one request class.
struct ClassPolicy {
  std::string name;
  double priority_weight = 1;
  int threads = 1;
  Work default_work{};  // assumed for a request without an estimate
  Duration max_wait{};  // from submission to dispatch or rejection; zero: limited by the deadline only
  bool light = false;   // light and heavy classes are dispatched from separate lanes
};

struct Settings {
  std::vector<TenantBudget> tenants;
  std::vector<ClassPolicy> classes;
  Duration ageing = std::chrono::seconds(2);  // waiting time that outweighs a tenfold priority weight
  double heavy_threads_per_core = 1.4;        // threads of heavy classes that may run per core
  double budget_share = 1;                    // this proxy's fraction of the fleet's budgets, 0 to 1
  std::size_t max_waiting = 200'000;          // requests of all tenants together
  Duration max_retry_after{};                 // upper limit of Reject::retry_after; zero: none
};

// A request submitted to the queue.
struct QueuedRequest {
  RequestId id = 0;
  TenantId tenant = 0;
  ClassId class_id = 0;
  Work estimated_work{};       // zero: unknown; implausible values are clamped
  Time deadline{};             // the time at which the client stops waiting
  bool wants_updates = false;  // the client is notified of revised estimates
};

// kNoBudget: the tenant has no budget, the tenant or class is unknown, or the id is in use.
enum class RejectReason { kNone, kNoBudget, kClassBarred, kTenantQueueFull, kQueueFull, kTooLate };
// Returns a text for the log.
const char* Description(RejectReason reason);

// An estimate of the time from now until the first attempt of a request starts.
struct WaitEstimate {
  Duration wait{};
  Duration upper_bound{};  // exceeded by few actual waits, according to the recent estimation error
};

// Decisions, returned by AdmissionQueue::Step.

// Pass the request to the decision module.
struct Dispatch {
  RequestId id = 0;
};
// Reject the request. None of its attempts has started.
struct Reject {
  RequestId id = 0;
  RejectReason reason = RejectReason::kNone;
  Duration retry_after{};
};
// The estimate of a request with `wants_updates` has changed considerably.
struct EstimateUpdate {
  RequestId id = 0;
  WaitEstimate estimate;
};
// A line for the log.
struct LogEvent {
  std::string text;
};
using Decision = std::variant<Dispatch, Reject, EstimateUpdate, LogEvent>;

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_TYPES_H_
