// The interface of the lemoncroft decision module: its inputs (Settings, Event), its outputs (Action) and the
// Gateway that maps inputs to outputs. docs/design.md describes how it decides.
//
// A Gateway serves one gateway process and is used by one thread at a time; instances share no state. It
// reads no clock and does no I/O: the host passes the time to each step. Time never runs backwards; an
// earlier time is treated as the last one. The same settings, seed and sequence of Step calls give the same
// actions.
//
// Every Request ends exactly once: in an AttemptEnded with `request_finished` set, in a RejectRequest, in a
// FailRequest or in a RequestCancelled, whichever comes first. Later outcomes of its attempts are only
// accounted for. Events with unknown ids are ignored.
//
// "Gateway" is the module's word for a proxy. Request::is_repeat, StreamStarted, ProgressNotice and
// PeerMessage come from the simulator only; the proxy posts none of them.
#ifndef LEMONCROFT_GATEWAY_H_
#define LEMONCROFT_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft {

// ---- Events: what has happened since the last step, in order ----

// kChange: only the changed entries. kCached: complete, but possibly out of date. kFailed: no entry could be
// read.
enum class ListKind { kChange, kFull, kCached, kFailed };

// The endpoint list, or a change to it.
struct EngineList {
  ListKind kind = ListKind::kFull;
  std::shared_ptr<const std::vector<EngineEntry>> entries;  // may be null for kFailed
};

// A client's request has arrived.
struct Request {
  RequestId id = 0;  // increases with each request that the host receives; orders requests by arrival
  std::uint16_t class_id = 0;
  std::uint16_t tenant = 0;        // kNoTenant on a site without tenants
  std::uint64_t ordering_key = 0;  // 0 = none
  // Another process of this gateway has an unfinished request with the ordering key that arrived earlier. The
  // request isn't sent before RequestReleased. Without effect where the class keeps no order.
  bool held = false;
  Nanos client_timeout = 0;  // time until the client stops waiting
  Nanos estimated_work = 0;  // 0 = no estimate
  double estimated_memory_mb = 0;
  std::uint32_t table_group = 0;  // the table group that the request reads or loads
  bool is_repeat = false;         // marked by the client; not used for decisions
};

// A request that was held may run, after the earlier requests of its ordering key in this process.
struct RequestReleased {
  RequestId id = 0;
};

// The outcome of an attempt. The host posts exactly one for each Send.
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  Nanos elapsed = 0;              // from the send to the outcome
  bool request_finished = false;  // no retry is needed: the request has its response, or its client has left
  Nanos work = 0;                 // that the query took, as reported by the engine; 0 = not reported
  double memory_mb = 0;           // likewise
  LoadReport load_report;
};

// A streamed response has begun to reach the client. The attempt is no longer cancelled by its runaway
// timeout; a progress notice may still lead to its cancellation.
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

// The request needs no further decision: its client has left or cancelled it, or the host has responded to it
// on its own.
struct RequestCancelled {
  RequestId id = 0;
};

enum class NoticeKind { kProgress, kSpills, kWaits };

// A report of an engine on a running attempt.
struct ProgressNotice {
  RequestId id = 0;
  int attempt = 0;
  NoticeKind kind = NoticeKind::kProgress;
  // kProgress: the share that is done. kSpills: the megabytes that are missing. kWaits: 1 = the attempt waits
  // for memory, 2 = it waits for a load.
  double amount = 0;
};

// The result of a Probe.
struct ProbeEnded {
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  Nanos elapsed = 0;
  LoadReport load_report;
};

struct PeerMessage {
  int sender = 0;
  std::string body;
};

// The time of a WakeAt has come.
struct TimerFired {
  std::uint64_t token = 0;
};

// Replaces the settings, also while requests are in flight. Requests keep the class and tenant numbers that
// they arrived with, so that a number must keep its meaning. A new class may start with the estimates of
// another class.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  // For each class, the number of the class that it replaces; -1 = none. The class starts with the estimates
  // of that class. If it is in_order, the open requests of that class are ordered too.
  std::vector<int> former_class;
};

// The number of processes that act for this gateway: several during a hot restart. Budgets of the gateway as
// a whole are divided by it. Posted before the first endpoint list if it applies from the start.
struct ProcessCount {
  int processes = 1;
};

// The number of live gateways, and the index of this gateway in the order of their names, both from the
// membership view. From then on they replace Settings::gateway_count and Settings::gateway_index for subsets
// and for shared budgets.
struct FleetSize {
  int gateway_count = 1;
  int gateway_index = 0;
};

// The time for decisions about the request has passed, shortly before the client's timeout. The request is
// ended. Its attempt in flight is cancelled if Settings::may_cancel is set.
struct DeadlineReached {
  RequestId id = 0;
};

// The process is about to exit. Every open request is ended in this step.
struct Shutdown {};

using Event = std::variant<SettingsChanged, ProcessCount, FleetSize, Shutdown, EngineList, Request,
                           RequestReleased, AttemptEnded, StreamStarted, RequestCancelled, DeadlineReached,
                           ProgressNotice, ProbeEnded, PeerMessage, TimerFired>;

// ---- Actions: what the host does, in the given order, at the time of the step ----

// Sets the memory and the priority of further sends of the request. The priority also applies to attempts in
// flight.
struct ResourceGrant {
  RequestId id = 0;
  int priority = 1;
  double grant_mb = 0;  // 0 = the engine chooses
};

// Starts an attempt of the request. The attempts of a request are numbered 0, 1, 2, ... in the order of their
// sends.
struct Send {
  RequestId id = 0;
  EngineId engine = 0;
  Nanos timeout = 0;           // 0 = until the client stops waiting
  Nanos not_after = kNoLimit;  // the statement must not be sent after this time
};

// Cancels an attempt of the request.
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};

// Ends the request: it is not served, and a retry is safe.
struct RejectRequest {
  RequestId id = 0;
  Nanos retry_after = 0;  // 0 = none
};

// Ends the request: it has failed, and may have had an effect.
struct FailRequest {
  RequestId id = 0;
};

// Requests a TimerFired with `token` at the time `at`.
struct WakeAt {
  Nanos at = 0;
  std::uint64_t token = 0;
};

// Requests a probe of the engine.
struct Probe {
  EngineId engine = 0;
};

// Subscribes to changes of the endpoint list.
struct WatchEngineList {
  bool on = true;
};

struct LogLine {
  std::string text;
};

using Action = std::variant<ResourceGrant, Send, Cancel, RejectRequest, FailRequest, WakeAt, Probe,
                            WatchEngineList, LogLine>;

namespace decision {
class Scheduler;
}  // namespace decision

// The decision module of one gateway.
class Gateway {
 public:
  // `seed` determines all random draws.
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Applies all events in order, decides once, and appends the actions to `actions`.
  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions);
  // Returns the listed engines that are ejected as outliers at `now`.
  std::vector<EngineId> EjectedEngines(Nanos now) const;

 private:
  std::unique_ptr<decision::Scheduler> scheduler_;
};

}  // namespace lemoncroft

#endif  // LEMONCROFT_GATEWAY_H_
