#include "backend/engines.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lemoncroft::backend {

using runtime::IoResult;
using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

// An engine responds to a poll for the status within 250 ms, and to a poll for a further page immediately. A
// timeout that is too short wastes calls; one that is too long makes short queries miss their latency
// objective.
constexpr auto kStatusTimeout = 300ms;
constexpr auto kPageTimeout = 100ms;  // multiplied by the number of the poll, from 1
constexpr int kMaxPolls = 4;          // per page
// A submission fails at the latest when this many new connections have failed before a byte was sent. Reused
// connections are not counted.
constexpr int kMaxBrokenConnections = 2;
// Delay between the refusal by the lease and the end of the attempt, because the decision module may retry
// immediately.
constexpr auto kLeaseRefusalDelay = 10ms;
constexpr auto kMinCancelBackoff = 50ms, kMaxCancelBackoff = 400ms;
constexpr auto kLateResponseTimeout = 400ms;  // for a response that is discarded
constexpr std::size_t kMaxResultBytes = 64 * 1024;

// Returns the outcome of an attempt whose connect failed.
Outcome OutcomeOfFailedConnect(IoResult io) {
  switch (io) {
    case IoResult::kCancelled:
    case IoResult::kNoDescriptors:  // a shortage in this process, not a fault of the engine
      return Outcome::kNotSent;
    default:
      return Outcome::kConnectFailed;
  }
}

// Returns the outcome with which polling ends after an attempt to reconnect, or nothing if polling continues.
std::optional<Outcome> OutcomeOfReconnect(IoResult io, runtime::Time deadline) {
  if (io == IoResult::kCancelled) return Outcome::kCancelled;
  if (Now() >= deadline) return Outcome::kTimeout;
  if (io == IoResult::kNoDescriptors) return Outcome::kLost;
  if (io == IoResult::kOk || io == IoResult::kClosed) return std::nullopt;
  return Outcome::kReset;
}

// Increments a count during the lifetime of this object.
class ScopedIncrement {
 public:
  explicit ScopedIncrement(int& count) : count_(count) { ++count_; }
  ~ScopedIncrement() { --count_; }
  ScopedIncrement(const ScopedIncrement&) = delete;
  ScopedIncrement& operator=(const ScopedIncrement&) = delete;

 private:
  int& count_;
};

}  // namespace

// The state of an attempt in progress and of its query at the engine.
struct Engines::Query {
  const Attempt& attempt;
  runtime::Cancellation& cancel;
  PooledConnection connection;
  // The connection of a statement without a response, after the query has got another one.
  PooledConnection statement_connection;
  codec::HttpResponse response;  // the newest
  Result result;
  bool lost_response = false;     // a response was lost or damaged: the engine may or may not know the query
  bool done = false;              // the engine has reported that the query is done
  bool may_arrive_later = false;  // nothing shows that the engine has received the statement
  // When the submission began or failed, or the newest poll ended. kEngineAbandonTimeout counts from here.
  runtime::Time last_call_time{};
  runtime::Time statement_sent_at{};

  const std::string& request_id() const { return attempt.forwarded->request_id; }
  // Returns the end of `timeout` from now, or the attempt's deadline if that is earlier.
  runtime::Time DeadlineAfter(runtime::Duration timeout) const {
    return std::min(attempt.deadline, Now() + timeout);
  }
  bool HasValidResponse(int page) const {
    const bool excess_bytes = HasPage(response) && connection->HasExcessBytes();
    return !excess_bytes && IsValidResponse(response, page);
  }
};

Task<Result> Engines::Run(const Attempt& attempt, runtime::Cancellation& cancel) {
  Query query{.attempt = attempt,
              .cancel = cancel,
              .connection = {},
              .statement_connection = {},
              .response = {},
              .result = {}};
  Outcome outcome = co_await Submit(query);
  if (outcome == Outcome::kOk) outcome = co_await AwaitCompletion(query);
  query.done = outcome == Outcome::kOk;
  if (outcome == Outcome::kOk) outcome = co_await FetchPages(query);
  query.result.outcome = outcome;
  co_await CancelIfRunning(query, outcome);
  if (query.may_arrive_later) AbandonStatement(query);
  if (query.connection && query.connection->pending())
    loop_.Spawn(DiscardResponse(std::move(query.connection)));
  co_return std::move(query.result);
}

// The next attempt may be sent to the same engine under the same request id, where a late cancellation would
// cancel it. The attempt therefore ends only after the call that cancels its query. After the deadline there
// is no next attempt, and the call is not awaited. After a reset, the engine has most likely exited: only an
// exclusive attempt, which must be certain that the query has ended, cancels it in this case.
Task<> Engines::CancelIfRunning(Query& query, Outcome outcome) {
  const Attempt& attempt = query.attempt;
  const bool should_cancel =
      outcome == Outcome::kCancelled || outcome == Outcome::kTimeout || outcome == Outcome::kLost;
  const bool may_still_run = (should_cancel || outcome == Outcome::kReset) && !query.done;
  if (may_still_run && attempt.exclusive) {
    co_await CancelAndConfirm(query);
  } else if (should_cancel && Now() >= attempt.deadline) {
    loop_.Spawn(TrySendCommand(attempt.engine, MakeCancelCommand(query.request_id())));
  } else if (should_cancel) {
    co_await TrySendCommand(attempt.engine, MakeCancelCommand(query.request_id()));
  }
}

Task<Outcome> Engines::Submit(Query& query) {
  const Attempt& attempt = query.attempt;
  if (Now() >= attempt.deadline) co_return Outcome::kNotSent;
  for (int broken_connections = 0;;) {
    const runtime::Time connect_by =
        std::min({attempt.deadline, attempt.not_after, Now() + connect_timeout_});
    const IoResult connected =
        co_await pool_.Acquire(attempt.engine, connect_by, &query.cancel, query.connection);
    if (Now() >= attempt.not_after) co_return Outcome::kNotSent;
    // A reset during the connect may concern this connection only; a refusal concerns the engine.
    if (connected == IoResult::kClosed && ++broken_connections < kMaxBrokenConnections) continue;
    if (connected != IoResult::kOk) co_return OutcomeOfFailedConnect(connected);
    // During the connect, the engine may have begun to drain, or the attempt may have been cancelled.
    if (query.cancel.cancelled() || !directory_.MaySend(attempt.engine)) co_return Outcome::kNotSent;
    const runtime::Duration remaining_time = attempt.deadline - Now();
    if (remaining_time <= runtime::Duration::zero()) co_return Outcome::kNotSent;
    if (!LeasePermits(attempt)) {
      co_await loop_.Sleep(kLeaseRefusalDelay, &query.cancel);
      co_return Outcome::kNotSent;
    }
    const IoResult sent = co_await SendStatement(query, remaining_time);
    if (sent == IoResult::kOk && query.HasValidResponse(0)) {
      StoreLoadReport(query);
      co_return Outcome::kOk;
    }
    if (sent == IoResult::kOk || query.connection->sent_any_bytes()) {
      query.last_call_time = Now();
      const bool still_open = sent == IoResult::kTimeout || sent == IoResult::kCancelled;
      query.may_arrive_later = still_open && !query.connection->response_has_begun();
      if (sent == IoResult::kCancelled) co_return Outcome::kCancelled;
      // The response is damaged, late or lost, but the engine may execute the statement: poll for the query.
      query.lost_response = true;
      query.statement_connection = std::move(query.connection);
      // Other idle connections may be as silent. A new one shows whether the engine can be reached.
      if (sent == IoResult::kTimeout && attempt.exclusive) pool_.CloseIdle(attempt.engine);
      co_return co_await Poll(query, 0);
    }
    if (sent == IoResult::kCancelled) co_return Outcome::kNotSent;
    // Nothing was sent. The engine may have closed a reused connection in the meantime: use another one.
    if (!query.connection.reused() && ++broken_connections >= kMaxBrokenConnections)
      co_return Outcome::kConnectFailed;
  }
}

bool Engines::LeasePermits(const Attempt& attempt) const {
  return lease_fence_ == nullptr || lease_fence_->PermitAndRecordSend(attempt.forwarded->class_name,
                                                                      attempt.engine, attempt.may_have_run);
}

Task<IoResult> Engines::SendStatement(Query& query, runtime::Duration remaining_time) {
  const codec::HttpRequest call = MakeSubmitCall(query.attempt, remaining_time);
  const runtime::Time respond_by = query.DeadlineAfter(kStatusTimeout);
  const runtime::Time send_by = std::min(respond_by, query.attempt.not_after);
  query.last_call_time = query.statement_sent_at = Now();
  const IoResult sent = co_await query.connection->Send(call, send_by, &query.cancel);
  if (sent != IoResult::kOk) co_return sent;
  counters_.CountAttempt();
  co_return co_await query.connection->Receive(respond_by, &query.cancel, query.response);
}

// Stores the newest report: the responses with further pages may have none.
void Engines::StoreLoadReport(Query& query) const {
  const LoadReport report = LoadReportOf(query.response, report_fields_);
  if (report.count > 0) query.result.load = report;
}

Task<IoResult> Engines::CallForPage(Query& query, int page, ResponsePart part, runtime::Time deadline) {
  const codec::HttpRequest call = MakePollCall(query.request_id(), page);
  http::Connection& connection = *query.connection;
  if (part == ResponsePart::kHead)
    co_return co_await connection.CallForHead(call, deadline, &query.cancel, query.response);
  co_return co_await connection.Call(call, deadline, &query.cancel, query.response);
}

Task<Outcome> Engines::Poll(Query& query, int page, ResponsePart part) {
  bool engine_reacted = false;
  Outcome outcome = Outcome::kLost;
  for (int poll = 1; poll <= kMaxPolls; ++poll) {
    // Drops a connection that the engine has closed, or that has received more than one response.
    if (query.connection && !query.connection->Reusable()) query.connection = PooledConnection();
    if (!query.connection) {
      const IoResult connected = co_await Reconnect(query);
      if (const auto ended = OutcomeOfReconnect(connected, query.attempt.deadline)) co_return *ended;
      outcome = Outcome::kReset;
      if (connected == IoResult::kClosed) continue;
    }
    const runtime::Duration timeout = page == 0 ? kStatusTimeout : kPageTimeout * poll;
    const IoResult called = co_await CallForPage(query, page, part, query.DeadlineAfter(timeout));
    query.last_call_time = Now();
    const bool complete = called == IoResult::kOk;
    if (complete && (part == ResponsePart::kHead || query.HasValidResponse(page))) {
      StoreLoadReport(query);
      if (QueryStatusOf(query.response) != QueryStatus::kErrorOrUnknown) query.may_arrive_later = false;
      co_return Outcome::kOk;
    }
    if (called == IoResult::kCancelled) co_return Outcome::kCancelled;
    if (Now() >= query.attempt.deadline) co_return Outcome::kTimeout;
    engine_reacted = engine_reacted || called != IoResult::kTimeout;
    outcome = engine_reacted ? Outcome::kLost : Outcome::kTimeout;
    query.lost_response = true;
    query.connection = PooledConnection();
  }
  co_return outcome;
}

// After a lost response only a new connection is used: a reused one may have failed as well.
Task<IoResult> Engines::Reconnect(Query& query) {
  const runtime::Time connect_by = std::min(query.attempt.deadline, Now() + connect_timeout_);
  const auto reuse = query.lost_response ? ConnectionPool::Reuse::kNever : ConnectionPool::Reuse::kIfIdle;
  co_return co_await pool_.Acquire(query.attempt.engine, connect_by, &query.cancel, query.connection, reuse);
}

Task<Outcome> Engines::AwaitCompletion(Query& query) {
  for (;;) {
    switch (QueryStatusOf(query.response)) {
      case QueryStatus::kDone:
        co_return Outcome::kOk;
      case QueryStatus::kRunning:
        break;
      case QueryStatus::kRejected:
        co_return Outcome::kFull;
      case QueryStatus::kExpired:
        co_return Outcome::kNotSent;
      case QueryStatus::kFailed:
        co_return Outcome::kError;
      case QueryStatus::kErrorOrUnknown:
        co_return query.lost_response ? Outcome::kLost : Outcome::kError;
    }
    if (Now() >= query.attempt.deadline) co_return Outcome::kTimeout;
    const Outcome polled = co_await Poll(query, 0);
    if (polled != Outcome::kOk) co_return polled;
  }
}

// Fetches all pages, in order, before the response to the client begins, so that a client never receives a
// partial result.
Task<Outcome> Engines::FetchPages(Query& query) {
  Result& result = query.result;
  const int page_count = PageCountOf(query.response);
  result.work = WorkOf(query.response);
  result.memory_mb = PeakMemoryMbOf(query.response);
  result.rows = std::move(query.response.body);
  bool ended_by_close = query.response.ended_by_close;
  for (int page = 1; page < page_count; ++page) {
    const Outcome polled = co_await Poll(query, page);
    if (polled != Outcome::kOk) co_return polled;
    if (!HasPage(query.response)) co_return query.lost_response ? Outcome::kLost : Outcome::kError;
    result.rows += query.response.body;
    ended_by_close = ended_by_close || query.response.ended_by_close;
    if (result.rows.size() > kMaxResultBytes) co_return Outcome::kError;
  }
  if (!ended_by_close) co_return Outcome::kOk;
  co_return co_await ConfirmResult(query);
}

// An engine that exits loses its results, and one that takes over its address doesn't know the query. The
// head of the response tells that; an engine may take long to write the body once more.
Task<Outcome> Engines::ConfirmResult(Query& query) {
  const Outcome polled = co_await Poll(query, 0, ResponsePart::kHead);
  if (polled != Outcome::kOk) co_return polled;
  co_return HasPage(query.response) ? Outcome::kOk : Outcome::kLost;
}

Task<> Engines::DiscardResponse(PooledConnection connection) {
  codec::HttpResponse ignored;
  co_await connection->Receive(Now() + kLateResponseTimeout, nullptr, ignored);
  if (connection->pending()) connection->ResetOnClose();
}

Task<IoResult> Engines::SendCommand(EngineId engine, QueryCommand command) {
  const ScopedIncrement pending(pending_commands_);
  PooledConnection connection;
  const IoResult connected = co_await pool_.Acquire(engine, Now() + connect_timeout_, nullptr, connection);
  if (connected != IoResult::kOk) co_return connected;
  const codec::HttpRequest call = MakeCommandCall(command);
  codec::HttpResponse ignored;
  co_return co_await connection->Call(call, Now() + connect_timeout_, nullptr, ignored);
}

Task<> Engines::TrySendCommand(EngineId engine, QueryCommand command) {
  co_await SendCommand(engine, std::move(command));
}

// An engine that responds has cancelled the query. Any other engine, even one that refuses connections, may
// continue to run the query until it abandons it because of missing polls.
Task<> Engines::CancelAndConfirm(Query& query) {
  if (query.may_arrive_later && !query.statement_connection)
    query.statement_connection = std::move(query.connection);
  query.connection = PooledConnection();
  if (query.may_arrive_later) co_await AwaitArrival(query);
  const runtime::Time abandoned_by = query.last_call_time + kEngineAbandonTimeout + kEngineAbandonMargin;
  runtime::Duration backoff = kMinCancelBackoff;
  while (Now() < abandoned_by) {
    const IoResult io = co_await SendCommand(query.attempt.engine, MakeCancelCommand(query.request_id()));
    if (io == IoResult::kOk) co_return;
    co_await loop_.SleepUntil(std::min(abandoned_by, Now() + backoff));
    backoff = std::min<runtime::Duration>(2 * backoff, kMaxCancelBackoff);
  }
}

// An engine that is cut off or stalled may start the statement as soon as it goes on, however long that
// takes. The statement has arrived once any part of a response to it has. It doesn't arrive any more once its
// connection has failed, or if the engine's host doesn't have all of it when the connection is reset. An
// engine that responds to other calls also responds within kStatusTimeout to a statement that it has.
Task<> Engines::AwaitArrival(Query& query) {
  const runtime::Time end = query.attempt.last_of_request_by;
  http::Connection& connection = *query.statement_connection;
  codec::HttpResponse ignored;
  runtime::Duration backoff = kMinCancelBackoff;
  while (Now() < end) {
    // Until kStatusTimeout has passed, an acknowledgement may just be on its way.
    const bool undelivered =
        !connection.HasDeliveredRequest() && Now() >= query.statement_sent_at + kStatusTimeout;
    query.may_arrive_later = query.may_arrive_later && !undelivered;
    if (!query.may_arrive_later) break;
    const IoResult io = co_await SendCommand(query.attempt.engine, MakeCancelCommand(query.request_id()));
    const bool reachable = io == IoResult::kOk;
    const runtime::Time receive_by = reachable ? Now() + kStatusTimeout : std::min(end, Now() + backoff);
    const IoResult received = co_await connection.Receive(receive_by, nullptr, ignored);
    query.may_arrive_later = !reachable && received == IoResult::kTimeout && !connection.response_has_begun();
    backoff = std::min<runtime::Duration>(2 * backoff, kMaxCancelBackoff);
  }
  if (!query.may_arrive_later) query.last_call_time = Now();
  AbandonStatement(query);
}

void Engines::AbandonStatement(Query& query) {
  if (!query.statement_connection) return;
  query.statement_connection->ResetOnClose();
  query.statement_connection = PooledConnection();
}

void Engines::UpdatePriority(EngineId engine, const std::string& request_id, int priority) {
  loop_.Spawn(TrySendCommand(engine, MakeSetPriorityCommand(request_id, priority)));
}

Task<ProbeResult> Engines::Probe(EngineId engine) {
  ProbeResult result;
  PooledConnection connection;
  const IoResult connected = co_await pool_.Acquire(engine, Now() + connect_timeout_, nullptr, connection);
  if (connected != IoResult::kOk) co_return result;
  const codec::HttpRequest call =
      MakeProbeCall(report_fields_.empty() ? ProbeKind::kHealthOnly : ProbeKind::kWithLoadReport);
  codec::HttpResponse response;
  const IoResult called = co_await connection->Call(call, Now() + connect_timeout_, nullptr, response);
  if (called != IoResult::kOk) {
    result.outcome = called == IoResult::kTimeout ? Outcome::kTimeout : Outcome::kReset;
    co_return result;
  }
  result.outcome = IsHealthy(response) ? Outcome::kOk : Outcome::kFull;
  result.load = LoadReportOf(response, report_fields_);
  co_return result;
}

}  // namespace lemoncroft::backend
