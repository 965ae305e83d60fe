#include "backend/engines.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace lemoncroft::backend {

using runtime::Io;
using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr auto kSilence = 1000ms;  // an engine answers within 250 ms: past this it is cut off
constexpr auto kLinger = 400ms;    // for the answer to a question that no longer matters
constexpr int kPagesMost = 256;
constexpr std::size_t kRowsMost = 64 * 1024;  // a result has 48,000 bytes at most

std::string PathOf(const std::string& id) { return "/v2/q/" + id; }

Outcome ConnectOutcome(Io io) {
  switch (io) {
    case Io::kCancelled:      // before anything was sent
    case Io::kNoDescriptors:  // our own shortage tells nothing of the engine
      return Outcome::kMoot;
    default:
      return Outcome::kConnectFailed;
  }
}

}  // namespace

// One attempt under way.
struct Engines::Query {
  const Attempt& attempt;
  runtime::Cancellation& cancel;
  Lease lease;
  codec::HttpResponse response;
  Result result;

  runtime::Time Limit() const { return std::min(attempt.deadline, Now() + kSilence); }
};

Task<Result> Engines::Run(const Attempt& attempt, runtime::Cancellation& cancel) {
  Query query{attempt, cancel, {}, {}, {}};
  Outcome outcome = co_await Start(query);
  if (outcome == Outcome::kOk) outcome = co_await Follow(query);
  if (outcome == Outcome::kOk) outcome = co_await FetchPages(query);
  query.result.outcome = outcome;
  const std::string& id = attempt.passed->id;
  // An attempt that may still run is given up, and has ended once the engine knows: the next attempt may go
  // to the same engine under the same id, and must not be the one that is deleted. At the deadline there is
  // none.
  const bool may_run =
      outcome == Outcome::kCancelled || outcome == Outcome::kTimeout || outcome == Outcome::kReset;
  if (may_run && Now() >= attempt.deadline) {
    loop_.Spawn(Order(attempt.engine, "DELETE", id, {}));
  } else if (may_run) {
    co_await Order(attempt.engine, "DELETE", id, {});
  }
  if (query.lease && query.lease->pending()) loop_.Spawn(Settle(std::move(query.lease)));
  co_return std::move(query.result);
}

// The statement goes out once and never again, whatever becomes of it. kOk: the engine has answered.
Task<Outcome> Engines::Start(Query& query) {
  const Attempt& attempt = query.attempt;
  const broker::Passed& passed = *attempt.passed;
  if (Now() >= attempt.deadline) co_return Outcome::kMoot;
  for (;;) {
    const runtime::Time limit = std::min(attempt.deadline, Now() + connect_timeout_);
    const Io up = co_await pool_.Acquire(attempt.engine, limit, &query.cancel, query.lease);
    if (up != Io::kOk) co_return ConnectOutcome(up);
    // The engine may have begun to drain, or the request have ended, while the connection came up.
    if (query.cancel.cancelled() || !directory_.MaySend(attempt.engine)) co_return Outcome::kMoot;
    const runtime::Span left = attempt.deadline - Now();
    if (left <= runtime::Span::zero()) co_return Outcome::kMoot;
    codec::HttpRequest post;
    post.method = "POST";
    post.path = "/v2/q";
    post.headers = {{"X-Txn", passed.id}, {"X-Lane", passed.lane}};
    const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    post.headers.emplace_back("X-Limit-Ms", std::to_string(left_ms));
    if (!passed.dedupe.empty()) post.headers.emplace_back("X-Dedupe", passed.dedupe);
    const auto grant = static_cast<std::int64_t>(std::ceil(attempt.grant_mb));
    if (grant > 0) post.headers.emplace_back("Pool-Mb", std::to_string(grant));
    post.headers.emplace_back("Pool-Rank", std::to_string(attempt.priority));
    post.body = passed.statement;
    const Io io = co_await query.lease->Call(post, query.Limit(), &query.cancel, query.response);
    if (io == Io::kOk) co_return Outcome::kOk;
    if (query.lease->sent_any()) {
      if (io == Io::kTimeout) co_return Outcome::kTimeout;
      if (io == Io::kCancelled) co_return Outcome::kCancelled;
      // It may run although its connection is lost: the engine can be asked.
      codec::HttpRequest ask;
      ask.method = "GET";
      ask.path = PathOf(passed.id) + "/0";
      query.lease = Lease();
      const Io again = co_await Ask(query, ask);
      if (again == Io::kTimeout) co_return Outcome::kTimeout;
      if (again == Io::kCancelled) co_return Outcome::kCancelled;
      co_return again == Io::kOk ? Outcome::kOk : Outcome::kReset;
    }
    // Not a byte has gone: an idle connection that broke just now. Another one will do.
    if (io == Io::kCancelled) co_return Outcome::kMoot;
    if (!query.lease.reused()) co_return Outcome::kConnectFailed;
  }
}

// A question about the query, on its connection; once more on a new one where that has broken, since a query
// belongs to no connection.
Task<Io> Engines::Ask(Query& query, const codec::HttpRequest& request) {
  for (int tries = 0; tries < 2; ++tries) {
    if (!query.lease) {
      const runtime::Time limit = std::min(query.attempt.deadline, Now() + connect_timeout_);
      const Io up = co_await pool_.Acquire(query.attempt.engine, limit, &query.cancel, query.lease);
      if (up == Io::kCancelled) co_return up;
      if (up != Io::kOk) co_return Io::kClosed;
    }
    const Io io = co_await query.lease->Call(request, query.Limit(), &query.cancel, query.response);
    if (io != Io::kClosed) co_return io;
    query.lease = Lease();
  }
  co_return Io::kClosed;
}

// Asks for the query's end until it comes.
Task<Outcome> Engines::Follow(Query& query) {
  codec::HttpRequest ask;
  ask.method = "GET";
  ask.path = PathOf(query.attempt.passed->id) + "/0";
  for (;;) {
    const std::string* unrun_text = query.response.Find("X-Unrun");
    const bool unrun = unrun_text != nullptr && *unrun_text == "1";
    switch (query.response.status) {
      case 200:
        co_return Outcome::kOk;
      case 202:
        break;
      case 503:
        co_return unrun ? Outcome::kFull : Outcome::kError;
      case 504:
        co_return unrun ? Outcome::kMoot : Outcome::kError;
      default:
        co_return Outcome::kError;
    }
    if (Now() >= query.attempt.deadline) co_return Outcome::kTimeout;
    // A connection that the engine wants to close is left; the query does not depend on it.
    if (query.lease && !query.lease->Reusable()) query.lease = Lease();
    const Io io = co_await Ask(query, ask);
    if (io == Io::kCancelled) co_return Outcome::kCancelled;
    if (io == Io::kTimeout) co_return Outcome::kTimeout;
    if (io != Io::kOk) co_return Outcome::kReset;
  }
}

// All pages are here, in number and order, before the answer begins: what fails until then is an attempt
// that failed, and no client has seen half a result.
Task<Outcome> Engines::FetchPages(Query& query) {
  Result& result = query.result;
  const double pages = query.response.Number("Chunks").value_or(0);
  if (pages < 1 || pages > kPagesMost || pages != std::floor(pages)) co_return Outcome::kError;
  const double work_ms = std::clamp(query.response.Number("Elapsed-Work").value_or(0), 0.0, 1e9);
  result.work = std::chrono::duration_cast<runtime::Span>(std::chrono::duration<double, std::milli>(work_ms));
  result.memory_mb = std::max(0.0, query.response.Number("High-Water").value_or(0));
  result.rows = std::move(query.response.body);
  for (int page = 1; page < static_cast<int>(pages); ++page) {
    codec::HttpRequest fetch;
    fetch.method = "GET";
    fetch.path = PathOf(query.attempt.passed->id) + "/" + std::to_string(page);
    const Io io = co_await Ask(query, fetch);
    if (io == Io::kCancelled) co_return Outcome::kCancelled;
    if (io == Io::kTimeout) co_return Outcome::kTimeout;
    if (io != Io::kOk) co_return Outcome::kReset;
    const auto number = query.response.Number("Chunk");
    if (query.response.status != 200 || !number || *number != page) co_return Outcome::kError;
    result.rows += query.response.body;
    if (result.rows.size() > kRowsMost) co_return Outcome::kError;
  }
  co_return Outcome::kOk;
}

// Sees what a question that was under way still brings, so that its connection can serve again.
Task<> Engines::Settle(Lease busy) {
  codec::HttpResponse ignored;
  co_await busy->Receive(Now() + kLinger, nullptr, ignored);
}

Task<> Engines::Order(EngineId engine, std::string method, std::string id, std::string body) {
  Lease lease;
  const Io up = co_await pool_.Acquire(engine, Now() + connect_timeout_, nullptr, lease);
  if (up != Io::kOk) co_return;
  codec::HttpRequest request;
  request.method = method;
  request.path = PathOf(id);
  request.body = body;
  codec::HttpResponse ignored;
  co_await lease->Call(request, Now() + connect_timeout_, nullptr, ignored);
}

void Engines::Reprioritise(EngineId engine, std::string id, int priority) {
  loop_.Spawn(Order(engine, "PUT", std::move(id), std::to_string(priority)));
}

Task<Outcome> Engines::Probe(EngineId engine) {
  Lease lease;
  const Io up = co_await pool_.Acquire(engine, Now() + connect_timeout_, nullptr, lease);
  if (up != Io::kOk) co_return Outcome::kConnectFailed;
  codec::HttpRequest request;
  request.method = "GET";
  request.path = "/healthz";
  codec::HttpResponse response;
  const Io io = co_await lease->Call(request, Now() + connect_timeout_, nullptr, response);
  if (io == Io::kTimeout) co_return Outcome::kTimeout;
  if (io != Io::kOk) co_return Outcome::kReset;
  co_return response.status == 200 ? Outcome::kOk : Outcome::kFull;
}

}  // namespace lemoncroft::backend
