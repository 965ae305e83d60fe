// Runs attempts on the engines: submits a statement, polls until the query is done, fetches the pages of its
// result, and cancels it when nobody waits for it any more. Also probes engines.
//
// A statement is submitted once. A query belongs to no connection, so that every later response can be asked
// for again: one that is lost, late or damaged is polled for on a new connection, a limited number of times.
// docs/requests.md describes how responses map to outcomes.
//
// Owns the connection pool. Owner: the proxy's wiring; all arguments of the constructor outlive this object.
// Callers: Broker; reloads change the settings. Thread safety: none; used on the event loop's thread. Errors
// are outcomes of the attempt; nothing is thrown for what an engine does.
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

  // Runs one attempt, from the connection to the last page. Ends by the attempt's deadline, or soon after a
  // cancellation. An exclusive attempt that may run on ends once its engine has confirmed the cancellation,
  // or has surely abandoned the query. `attempt` and `cancel` outlive the task.
  runtime::Task<Result> Run(const Attempt& attempt, runtime::Cancellation& cancel);
  // Changes the priority of a running query. Best effort: failures are ignored.
  void UpdatePriority(EngineId engine, const std::string& request_id, int priority);
  // Asks for the load report if the settings have report fields, else for the engine's health alone.
  runtime::Task<ProbeResult> Probe(EngineId engine);

  // True while an engine is still to be told of a cancellation or priority.
  bool has_pending_commands() const { return pending_commands_ > 0; }
  ConnectionPool& pool() { return pool_; }

  // Checked in the turn in which each statement is sent; null: every statement is permitted.
  void set_lease_fence(request::LeaseFence* lease_fence) { lease_fence_ = lease_fence; }
  void set_connect_timeout(runtime::Duration timeout) { connect_timeout_ = timeout; }
  // Names of the values in load reports, in the order of Settings::report_fields; empty: there are no
  // reports.
  void set_report_fields(std::vector<std::string> names) { report_fields_ = std::move(names); }

 private:
  struct Query;

  // The phases of an attempt. Each returns kOk if the next one may start.

  // Submits the statement. kOk: the engine has answered; the response says how the query stands.
  runtime::Task<Outcome> Submit(Query& query);
  // Sends the statement on the query's connection and receives the response.
  runtime::Task<runtime::IoResult> SendStatement(Query& query, runtime::Duration remaining_time);
  // Polls until the query is done. kOk: the response has the first page.
  runtime::Task<Outcome> AwaitCompletion(Query& query);
  runtime::Task<Outcome> FetchPages(Query& query);

  // Polls for a page, or for the status (page 0), until there is a valid response. kOk: there is.
  runtime::Task<Outcome> Poll(Query& query, int page);
  // Gives the query another connection.
  runtime::Task<runtime::IoResult> Reconnect(Query& query);
  // Makes sure that nothing is left running of an attempt that ended with `outcome`.
  runtime::Task<> CancelIfRunning(Query& query, Outcome outcome);
  // Cancels a query and returns once it surely no longer runs.
  runtime::Task<> CancelAndConfirm(Query& query);
  bool LeasePermits(const Attempt& attempt) const;
  void StoreLoadReport(Query& query) const;
  // Receives a response that no longer matters, so that its connection can be reused.
  runtime::Task<> DiscardResponse(PooledConnection connection);

  // Sends a command; kOk: the engine has received it.
  runtime::Task<runtime::IoResult> SendCommand(EngineId engine, QueryCommand command);
  // The same, ignoring failures.
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
