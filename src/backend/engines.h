// Queries on the engines: started, asked for, fetched, given up.
#ifndef LEMONCROFT_BACKEND_ENGINES_H_
#define LEMONCROFT_BACKEND_ENGINES_H_

#include <string>
#include <utility>
#include <vector>

#include "backend/connection_pool.h"
#include "lemoncroft/gateway.h"
#include "metrics/counters.h"
#include "request/client_request.h"
#include "request/lease_fence.h"

namespace lemoncroft::backend {

struct Attempt {
  const request::ForwardedFields* forwarded = nullptr;  // outlives the attempt
  EngineId engine = 0;
  runtime::Time deadline{};
  runtime::Time not_after = runtime::kNever;  // for its statement to leave: past this a repeat does harm
  double grant_mb = 0;
  int priority = 1;
  bool again = false;  // an attempt before it may have run
  // It has ended only once it surely runs no more: another attempt, or the next request of its key, must not
  // run beside it.
  bool exclusive = false;
};

struct Result {
  Outcome outcome = Outcome::kReset;
  runtime::Span work{};  // what the query needed; zero: not told
  double memory_mb = 0;
  LoadReport load;  // that came with its end, if one did
  std::string rows;
};

// What one health check found.
struct ProbeResult {
  Outcome outcome = Outcome::kConnectFailed;
  LoadReport load;
};

class Engines {
 public:
  Engines(runtime::Loop& loop, const discovery::EndpointDirectory& directory, ConnectionPool::Limits limits,
          runtime::Span connect_timeout, metrics::Counters& counters)
      : loop_(loop),
        directory_(directory),
        counters_(counters),
        pool_(loop, directory, limits),
        connect_timeout_(connect_timeout) {}

  // One attempt from connection to last page. Ends by the attempt's deadline, or soon after a cancellation;
  // an exclusive one that its engine doesn't acknowledge to be over ends later by kUnaskedFor and a margin.
  runtime::Task<Result> Run(const Attempt& attempt, runtime::Cancellation& cancel);
  // Gives what runs a new priority; best effort.
  void UpdatePriority(EngineId engine, std::string id, int priority);
  // Asks for the load report where the site's engines have one, else for the engine's health alone.
  runtime::Task<ProbeResult> Probe(EngineId engine);

  // True while an engine is still to be told of a cancellation or priority.
  bool has_pending_commands() const { return orders_ > 0; }
  ConnectionPool& pool() { return pool_; }
  // Checked in the turn in which each statement is sent; null: every statement is permitted.
  void set_lease_fence(request::LeaseFence* lease_fence) { lease_fence_ = lease_fence; }
  void set_connect_timeout(runtime::Span span) { connect_timeout_ = span; }
  // Names of the values in load reports, in the order of Settings::report_fields; empty: there are no
  // reports.
  void set_report_fields(std::vector<std::string> names) { report_fields_ = std::move(names); }

 private:
  struct Query;

  runtime::Task<Outcome> Ask(Query& query, int page);
  runtime::Task<Outcome> Start(Query& query);
  runtime::Task<Outcome> Follow(Query& query);
  runtime::Task<Outcome> FetchPages(Query& query);
  void TakeReport(Query& query) const;  // of the answer that has just come
  runtime::Task<> Settle(PooledConnection busy);
  // Sends an order about a query; kOk: the engine has answered it.
  runtime::Task<runtime::Io> Call(EngineId engine, std::string method, std::string id, std::string body);
  runtime::Task<> Order(EngineId engine, std::string method, std::string id, std::string body);
  // Gives the query up and returns once it surely runs no more.
  runtime::Task<> Withdraw(Query& query);

  runtime::Loop& loop_;
  const discovery::EndpointDirectory& directory_;
  metrics::Counters& counters_;
  ConnectionPool pool_;
  runtime::Span connect_timeout_;
  request::LeaseFence* lease_fence_ = nullptr;
  std::vector<std::string> report_fields_;
  int orders_ = 0;  // under way
};

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_ENGINES_H_
