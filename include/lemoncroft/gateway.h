// The interface of the lemoncroft decision module: its inputs (Settings, Event), its outputs (Action) and the
// Gateway that maps inputs to outputs. docs/design.md describes how it decides.
//
// Contract. One Gateway serves one gateway process and is used by one thread at a time; instances share
// nothing. It reads no clock and does no I/O: the host passes the time, which never runs backwards (an
// earlier time is taken as the last one). The same settings, seed and sequence of Step calls give the same
// actions. Every Request ends exactly once: in an AttemptEnded with `request_finished` set, in RejectRequest,
// in FailRequest or in RequestCancelled, whichever comes first; later outcomes of its attempts are only
// accounted for. Events about unknown ids are ignored.
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

// kChange: only the entries that changed. kCached: complete, but possibly out of date. kFailed: none could be
// read.
enum class ListKind { kChange, kFull, kCached, kFailed };

// The endpoint list, or a change of it.
struct EngineList {
  ListKind kind = ListKind::kFull;
  std::shared_ptr<const std::vector<EngineEntry>> entries;  // may be null for kFailed
};

// A client's request has arrived.
struct Request {
  RequestId id = 0;
  std::uint16_t class_id = 0;
  std::uint16_t tenant = 0;        // kNoTenant where the site has none
  std::uint64_t ordering_key = 0;  // ordering key; 0 = none
  Nanos client_timeout = 0;        // until the client gives up
  Nanos estimated_work = 0;        // 0 = no estimate
  double estimated_memory_mb = 0;
  std::uint32_t table_group = 0;  // table group that it reads or loads
  bool is_repeat = false;         // marked by the client; not used for decisions
};

// An attempt has its outcome; each Send gets exactly one.
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  Nanos elapsed = 0;              // from the send to the outcome
  bool request_finished = false;  // the request needs no retry: it has its response, or its client has left
  Nanos work = 0;                 // that the query needed, as the engine reports; 0 = not reported
  double memory_mb = 0;           // likewise
  LoadReport load_report;
};

// A streamed response has begun to reach the client: the attempt is no longer cancelled for running long.
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

// The request needs no decision any more: its client has left or cancelled it, or the host has responded by
// itself.
struct RequestCancelled {
  RequestId id = 0;
};

enum class NoticeKind { kProgress, kSpills, kWaits };

// An engine reports on a running attempt.
struct ProgressNotice {
  RequestId id = 0;
  int attempt = 0;
  NoticeKind kind = NoticeKind::kProgress;
  double amount = 0;  // share done; megabytes missing; 1 = waits for memory, 2 = for a load
};

// A Probe has its result.
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

// A WakeAt has come due.
struct TimerFired {
  std::uint64_t token = 0;
};

// New settings while requests are in flight. Requests keep the class and tenant numbers that they came with;
// a number keeps its meaning. A new class may start with another class's estimates.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  // For each class, the former class whose estimates it starts with; -1: none.
  std::vector<int> inherits_estimates_from;
};

// Several processes act for this gateway, as during a hot restart: budgets that hold for the gateway as a
// whole are divided by `processes`. Comes before the first endpoint list if it applies from the start.
struct ProcessCount {
  int processes = 1;
};

// The number of live gateways and this one's place in the order of their names, from the membership view.
// Once known it replaces Settings::gateway_count and Settings::gateway_index, for subsets and for shared
// budgets.
struct FleetSize {
  int gateway_count = 1;
  int gateway_index = 0;
};

// It is too late for another decision, shortly before the client's timeout: the request is ended, and its
// running attempts are cancelled.
struct DeadlineReached {
  RequestId id = 0;
};

// The process is about to end: every open request is ended now.
struct Shutdown {};

using Event = std::variant<SettingsChanged, ProcessCount, FleetSize, Shutdown, EngineList, Request,
                           AttemptEnded, StreamStarted, RequestCancelled, DeadlineReached, ProgressNotice,
                           ProbeEnded, PeerMessage, TimerFired>;

// ---- Actions: to be carried out in the order given, at the time of the step ----

// Memory and priority for further sends of the request. The priority applies to attempts in flight, too.
struct ResourceGrant {
  RequestId id = 0;
  int priority = 1;
  double grant_mb = 0;  // 0 = the engine chooses
};
struct Send {  // start attempt number 0, 1, 2, ... of the request
  RequestId id = 0;
  EngineId engine = 0;
  Nanos timeout = 0;           // 0 = until the client gives up
  Nanos not_after = kNoLimit;  // point in time after which the statement must not be sent any more
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
struct RejectRequest {  // final: not served, safe to retry
  RequestId id = 0;
  Nanos retry_after = 0;  // 0 = none
};
struct FailRequest {  // final: failed, may have had an effect
  RequestId id = 0;
};
struct WakeAt {
  Nanos at = 0;
  std::uint64_t token = 0;
};
struct Probe {
  EngineId engine = 0;
};
struct WatchEngineList {  // subscribe to changes of the endpoint list
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

  // Applies all events, then decides once; appends to `actions`.
  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions);
  // Listed engines that are ejected as outliers at `now`.
  std::vector<EngineId> EjectedEngines(Nanos now) const;

 private:
  std::unique_ptr<decision::Scheduler> scheduler_;
};

}  // namespace lemoncroft

#endif  // LEMONCROFT_GATEWAY_H_
