// Runs attempts on the engines: submits a statement, polls until the query is done, fetches the pages of its
// result, and cancels the query when its result is no longer needed. Also probes engines.
//
// An attempt submits its statement once. A query is not bound to a connection, so that every later response
// can be requested again: if one is lost, late or damaged, it is polled for on a new connection, a limited
// number of times. docs/requests.md describes how responses map to outcomes.
//
// Engines owns the connection pool. The code that assembles the proxy owns Engines; all arguments of the
// constructor must outlive it. The broker calls it, and reloads change its settings. The class is not
// thread-safe; it is used on the event loop's thread. Failures of an engine are reported as outcomes of the
// attempt, never as exceptions.
#ifndef LEMONCROFT_BACKEND_ENGINES_H_
#define LEMONCROFT_BACKEND_ENGINES_H_

#include <string>
#include <utility>
#include <vector>

#include "backend/attempt.h"
#include "backend/connection_pool.h"
#include "backend/engine_protocol.h"
#include "lemoncroft/gateway.h"
#include "metrics/counters.h"
#include "request/lease_fence.h"

namespace lemoncroft::backend {

class Engines {
 public:
  Engines(runtime::Loop& loop, const discovery::EndpointDirectory& directory, ConnectionPool::Limits limits,
          runtime::Duration connect_timeout, metrics::Counters& counters)
      : loop_(loop),
        directory_(directory),
        counters_(counters),
        pool_(loop, directory, limits),
        connect_timeout_(connect_timeout) {}

  // Runs one attempt, from the connect to the last page. Ends by the attempt's deadline, or soon after a
  // cancellation. If an exclusive attempt may still be running then, the task ends only when the engine has
  // confirmed the cancellation or has certainly abandoned the query. `attempt` and `cancel` must outlive the
  // task.
  runtime::Task<Result> Run(const Attempt& attempt, runtime::Cancellation& cancel);
  // Changes the priority of a running query. This is best effort: failures are ignored.
  void UpdatePriority(EngineId engine, const std::string& request_id, int priority);
  // Requests the engine's health, together with a load report if the settings have report fields.
  runtime::Task<ProbeResult> Probe(EngineId engine);

  // Returns true while a cancellation or a change of priority is being sent to an engine.
  bool has_pending_commands() const { return pending_commands_ > 0; }
  ConnectionPool& pool() { return pool_; }

  // Sets the fence that is checked for each statement, in the turn of the event loop in which it is sent.
  // Null: every statement is permitted.
  void set_lease_fence(request::LeaseFence* lease_fence) { lease_fence_ = lease_fence; }
  void set_connect_timeout(runtime::Duration timeout) { connect_timeout_ = timeout; }
  // Sets the names of the values in load reports, in the order of Settings::report_fields. Empty: the engines
  // send no reports.
  void set_report_fields(std::vector<std::string> names) { report_fields_ = std::move(names); }

 private:
  struct Query;

  // The phases of an attempt. Each returns kOk if the next phase may start.

  // Submits the statement. kOk: the engine has responded; the response contains the status of the query.
  runtime::Task<Outcome> Submit(Query& query);
  // Sends the statement on the query's connection and receives the response.
  runtime::Task<runtime::IoResult> SendStatement(Query& query, runtime::Duration remaining_time);
  // Polls until the query is done. kOk: the response contains the first page.
  runtime::Task<Outcome> AwaitCompletion(Query& query);
  runtime::Task<Outcome> FetchPages(Query& query);
  // Asks an engine that delimited a page by the end of its connection whether it still has the result. kOk:
  // it has, so that it didn't exit while it wrote a page.
  runtime::Task<Outcome> ConfirmResult(Query& query);

  // The part of a response that a poll waits for.
  enum class ResponsePart { kHead, kWhole };
  // Polls for a page, or for the status (page 0), until a valid response arrives. kOk: it has arrived.
  runtime::Task<Outcome> Poll(Query& query, int page, ResponsePart part = ResponsePart::kWhole);
  // Makes one such call on the query's connection.
  runtime::Task<runtime::IoResult> CallForPage(Query& query, int page, ResponsePart part,
                                               runtime::Time deadline);
  // Acquires another connection for the query.
  runtime::Task<runtime::IoResult> Reconnect(Query& query);
  // Cancels the query of an attempt that ended with `outcome`, if it may still be running.
  runtime::Task<> CancelIfRunning(Query& query, Outcome outcome);
  // Cancels a query and returns when it is certain that it no longer runs, and that its statement doesn't
  // arrive later.
  runtime::Task<> CancelAndConfirm(Query& query);
  // Returns when the query's statement has arrived or will certainly not arrive any more, or when no attempt
  // of the request can follow.
  runtime::Task<> AwaitArrival(Query& query);
  // Closes the connection on which the statement was sent, without leaving the statement behind for the
  // engine.
  static void AbandonStatement(Query& query);
  // Checks the lease immediately before the send, and records the send if it is permitted. An earlier check
  // is not enough: since then, this process may have been stopped for longer than its lease is valid.
  bool LeasePermits(const Attempt& attempt) const;
  void StoreLoadReport(Query& query) const;
  // Receives and discards a pending response, so that the connection can be reused.
  runtime::Task<> DiscardResponse(PooledConnection connection);

  // Sends a command. kOk: the engine has received it.
  runtime::Task<runtime::IoResult> SendCommand(EngineId engine, QueryCommand command);
  // Sends a command and ignores failures.
  runtime::Task<> TrySendCommand(EngineId engine, QueryCommand command);

  runtime::Loop& loop_;
  const discovery::EndpointDirectory& directory_;
  metrics::Counters& counters_;
  ConnectionPool pool_;
  runtime::Duration connect_timeout_;
  request::LeaseFence* lease_fence_ = nullptr;
  std::vector<std::string> report_fields_;
  int pending_commands_ = 0;
};

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_ENGINES_H_
