#include "backend/engines.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "backend/load_report.h"

namespace lemoncroft::backend {

using runtime::Io;
using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

// An engine has news within 250 ms and a page at once. To ask again too early costs a question, too late the
// aim of a short query.
constexpr auto kNewsWithin = 300ms;
constexpr auto kPageWithin = 100ms;  // and longer with each try
constexpr int kAsks = 4;             // of one question: a query that is not asked for ends after 2 s
constexpr int kConnects = 2;         // that may break before a byte has gone, other than idle ones
constexpr auto kWithoutLease = 10ms;
// An engine ends a query that nobody has asked for within this time; the margin is for what was under way.
constexpr auto kUnaskedFor = 2000ms, kUnaskedMargin = 100ms;
constexpr auto kMinCancelBackoff = 50ms, kMaxCancelBackoff = 400ms;  // between tries; doubles with each
constexpr auto kLinger = 400ms;  // for the answer to a question that no longer matters
constexpr int kMaxPages = 256;
constexpr std::size_t kMaxPageBytes = 6000;
constexpr std::size_t kMaxRows = 64 * 1024;  // a result has 48,000 bytes at most
constexpr double kMaxMemoryMb = 1e6;         // MB: past this it is no measurement
constexpr std::size_t kColumns = 3;
constexpr std::string_view kGaugesHeader = "X-Gauges";
constexpr const char* kHealthPath = "/healthz";
constexpr const char* kStatsPath = "/stats";

std::string PathOf(const std::string& id) { return "/v2/q/" + id; }

Outcome ConnectOutcome(Io io) {
  switch (io) {
    case Io::kCancelled:      // before anything was sent
    case Io::kNoDescriptors:  // our own shortage tells nothing of the engine
      return Outcome::kNotSent;
    default:
      return Outcome::kConnectFailed;
  }
}

// Whole rows of text, as a page must hold them: noise of the right length, or a page that was cut, is none.
bool HasRows(std::string_view page) {
  if (page.size() > kMaxPageBytes || (!page.empty() && page.back() != '\n')) return false;
  std::size_t columns = 1;
  for (const char c : page) {
    if (c == '\t') ++columns;
    if (c == '\n' && std::exchange(columns, 1) != kColumns) return false;
    if (static_cast<unsigned char>(c) < 0x20 && c != '\t' && c != '\n') return false;
  }
  return true;
}

// Whether a response can be the answer to the question for this page; page 0 is the query's news.
bool Fits(const http::Connection& connection, const codec::HttpResponse& response, int page) {
  if (response.status == 500) return true;
  if (response.status == 200 && connection.Overrun()) return false;
  const auto number = response.Number("Chunk"), pages = response.Number("Chunks");
  if (page > 0) return response.status == 200 && number == page && HasRows(response.body);
  if (response.status == 202 || response.status == 503 || response.status == 504) return true;
  const bool counted = pages && *pages >= 1 && *pages <= kMaxPages && *pages == std::floor(*pages);
  return response.status == 200 && counted && !number && HasRows(response.body);
}

}  // namespace

// One attempt under way.
struct Engines::Query {
  const Attempt& attempt;
  runtime::Cancellation& cancel;
  PooledConnection lease;
  codec::HttpResponse response;
  Result result;
  bool lost = false;      // an answer about it has been lost: what the engine knows of it is in doubt
  bool over = false;      // the engine has told its end
  runtime::Time asked{};  // when a call that keeps it running was last under way

  runtime::Time Limit(runtime::Span within) const { return std::min(attempt.deadline, Now() + within); }
};

Task<Result> Engines::Run(const Attempt& attempt, runtime::Cancellation& cancel) {
  Query query{.attempt = attempt, .cancel = cancel, .lease = {}, .response = {}, .result = {}};
  Outcome outcome = co_await Start(query);
  if (outcome == Outcome::kOk) outcome = co_await Follow(query);
  query.over = outcome == Outcome::kOk;
  if (outcome == Outcome::kOk) outcome = co_await FetchPages(query);
  query.result.outcome = outcome;
  const std::string& id = attempt.forwarded->request_id;
  // An attempt that may still run is given up, and has ended once the engine knows: the next attempt may go
  // to the same engine under the same id, and must not be the one that is deleted. At the deadline there is
  // none; after a reset there is no engine to tell.
  const bool may_run =
      outcome == Outcome::kCancelled || outcome == Outcome::kTimeout || outcome == Outcome::kLost;
  const bool in_doubt = (may_run || outcome == Outcome::kReset) && !query.over;
  if (in_doubt && attempt.exclusive) {
    co_await Withdraw(query);
  } else if (may_run && Now() >= attempt.deadline) {
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
  const request::ForwardedFields& forwarded = *attempt.forwarded;
  if (Now() >= attempt.deadline) co_return Outcome::kNotSent;
  for (int broken = 0;;) {
    const runtime::Time limit = std::min({attempt.deadline, attempt.not_after, Now() + connect_timeout_});
    const Io up = co_await pool_.Acquire(attempt.engine, limit, &query.cancel, query.lease);
    if (Now() >= attempt.not_after) co_return Outcome::kNotSent;
    // Reset while it came up: that can be this connection's own fate, where a refusal tells of the engine.
    if (up == Io::kClosed && ++broken < kConnects) continue;
    if (up != Io::kOk) co_return ConnectOutcome(up);
    // The engine may have begun to drain, or the request have ended, while the connection came up.
    if (query.cancel.cancelled() || !directory_.MaySend(attempt.engine)) co_return Outcome::kNotSent;
    const runtime::Span left = attempt.deadline - Now();
    if (left <= runtime::Span::zero()) co_return Outcome::kNotSent;
    // This process may have been stopped since the request was taken, for longer than its lease.
    if (lease_fence_ != nullptr &&
        !lease_fence_->RecordSend(forwarded.class_name, attempt.engine, attempt.again)) {
      co_await loop_.Sleep(kWithoutLease, &query.cancel);  // the module may try another at once
      co_return Outcome::kNotSent;
    }
    codec::HttpRequest post;
    post.method = "POST";
    post.path = "/v2/q";
    post.headers = {{"X-Txn", forwarded.request_id}, {"X-Lane", forwarded.class_name}};
    const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    post.headers.emplace_back("X-Limit-Ms", std::to_string(left_ms));
    if (!forwarded.idempotency_key.empty()) post.headers.emplace_back("X-Dedupe", forwarded.idempotency_key);
    const auto grant = static_cast<std::int64_t>(std::ceil(attempt.grant_mb));
    if (grant > 0) post.headers.emplace_back("Pool-Mb", std::to_string(grant));
    post.headers.emplace_back("Pool-Rank", std::to_string(attempt.priority));
    post.body = forwarded.statement;
    const runtime::Time until = query.Limit(kNewsWithin);
    query.asked = Now();
    Io io = co_await query.lease->Send(post, std::min(until, attempt.not_after), &query.cancel);
    if (io == Io::kOk) {
      counters_.Tried();
      io = co_await query.lease->Receive(until, &query.cancel, query.response);
    }
    if (io == Io::kOk && Fits(*query.lease, query.response, 0)) {
      TakeReport(query);
      co_return Outcome::kOk;
    }
    if (io == Io::kOk || query.lease->sent_any()) {
      query.asked = Now();
      if (io == Io::kCancelled) co_return Outcome::kCancelled;
      // It may run although its answer is spoilt, late or lost with its connection: the engine can be asked.
      query.lost = true;
      query.lease = PooledConnection();
      co_return co_await Ask(query, 0);
    }
    // Not a byte has gone: a connection that broke just now. Another one will do.
    if (io == Io::kCancelled) co_return Outcome::kNotSent;
    if (!query.lease.reused() && ++broken >= kConnects) co_return Outcome::kConnectFailed;
  }
}

// The newest report is kept: the pages that follow a query's end may come without one.
void Engines::TakeReport(Query& query) const {
  const std::string* gauges = query.response.Find(kGaugesHeader);
  if (gauges == nullptr) return;
  const LoadReport report = ParseLoadReport(*gauges, report_fields_);
  if (report.count > 0) query.result.load = report;
}

// A question about the query: its news (page 0) or a page. A query belongs to no connection, and its answers
// can be had again: what is lost, spoilt or late is asked for anew, on a connection that nothing has been on.
Task<Outcome> Engines::Ask(Query& query, int page) {
  codec::HttpRequest ask;
  ask.method = "GET";
  ask.path = PathOf(query.attempt.forwarded->request_id) + "/" + std::to_string(page);
  bool heard = false;
  Outcome end = Outcome::kLost;
  for (int tries = 0; tries < kAsks; ++tries) {
    // One that the engine closes, or that holds more than was asked for, is left.
    if (query.lease && !query.lease->Reusable()) query.lease = PooledConnection();
    if (!query.lease) {
      const runtime::Time limit = std::min(query.attempt.deadline, Now() + connect_timeout_);
      const auto want = query.lost ? ConnectionPool::Want::kFresh : ConnectionPool::Want::kAny;
      const Io up = co_await pool_.Acquire(query.attempt.engine, limit, &query.cancel, query.lease, want);
      if (up == Io::kCancelled) co_return Outcome::kCancelled;
      if (Now() >= query.attempt.deadline) co_return Outcome::kTimeout;
      if (up == Io::kNoDescriptors) co_return Outcome::kLost;
      end = Outcome::kReset;
      if (up == Io::kClosed) continue;
      if (up != Io::kOk) co_return end;
    }
    const runtime::Span within = page == 0 ? kNewsWithin : kPageWithin * (tries + 1);
    const Io io = co_await query.lease->Call(ask, query.Limit(within), &query.cancel, query.response);
    query.asked = Now();
    if (io == Io::kOk && Fits(*query.lease, query.response, page)) {
      TakeReport(query);
      co_return Outcome::kOk;
    }
    if (io == Io::kCancelled) co_return Outcome::kCancelled;
    if (Now() >= query.attempt.deadline) co_return Outcome::kTimeout;
    heard = heard || io != Io::kTimeout;
    end = heard ? Outcome::kLost : Outcome::kTimeout;
    query.lost = true;
    query.lease = PooledConnection();
  }
  co_return end;
}

// Asks for the query's end until it comes.
Task<Outcome> Engines::Follow(Query& query) {
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
        co_return unrun ? Outcome::kNotSent : Outcome::kError;
      default:  // where an answer was lost, it may only say that the engine no longer knows the query
        co_return query.lost ? Outcome::kLost : Outcome::kError;
    }
    if (Now() >= query.attempt.deadline) co_return Outcome::kTimeout;
    const Outcome asked = co_await Ask(query, 0);
    if (asked != Outcome::kOk) co_return asked;
  }
}

// All pages are here, in number and order, before the answer begins: what fails until then is an attempt
// that failed, and no client has seen half a result.
Task<Outcome> Engines::FetchPages(Query& query) {
  Result& result = query.result;
  const auto pages = static_cast<int>(*query.response.Number("Chunks"));
  const double work_ms = std::clamp(query.response.Number("Elapsed-Work").value_or(0), 0.0, 1e9);
  result.work = std::chrono::duration_cast<runtime::Span>(std::chrono::duration<double, std::milli>(work_ms));
  result.memory_mb = std::clamp(query.response.Number("High-Water").value_or(0), 0.0, kMaxMemoryMb);
  result.rows = std::move(query.response.body);
  for (int page = 1; page < pages; ++page) {
    const Outcome asked = co_await Ask(query, page);
    if (asked != Outcome::kOk) co_return asked;
    if (query.response.status != 200) co_return query.lost ? Outcome::kLost : Outcome::kError;
    result.rows += query.response.body;
    if (result.rows.size() > kMaxRows) co_return Outcome::kError;
  }
  co_return Outcome::kOk;
}

// Sees what a question that was under way still brings, so that its connection can serve again.
Task<> Engines::Settle(PooledConnection busy) {
  codec::HttpResponse ignored;
  co_await busy->Receive(Now() + kLinger, nullptr, ignored);
}

Task<Io> Engines::Call(EngineId engine, std::string method, std::string id, std::string body) {
  struct Counted {
    int& orders;
    explicit Counted(int& of) : orders(of) { ++orders; }
    ~Counted() { --orders; }
  } const counted(orders_);
  PooledConnection lease;
  const Io up = co_await pool_.Acquire(engine, Now() + connect_timeout_, nullptr, lease);
  if (up != Io::kOk) co_return up;
  codec::HttpRequest request;
  request.method = method;
  request.path = PathOf(id);
  request.body = body;
  codec::HttpResponse ignored;
  co_return co_await lease->Call(request, Now() + connect_timeout_, nullptr, ignored);
}

Task<> Engines::Order(EngineId engine, std::string method, std::string id, std::string body) {
  co_await Call(engine, std::move(method), std::move(id), std::move(body));
}

// An engine that answers has taken the order. Of any other only its own limit on unasked queries is known:
// one that breaks a connection and refuses the next may be short of connections and run on.
Task<> Engines::Withdraw(Query& query) {
  query.lease = PooledConnection();
  const runtime::Time over = query.asked + kUnaskedFor + kUnaskedMargin;
  runtime::Span pause = kMinCancelBackoff;
  while (Now() < over) {
    const Io io = co_await Call(query.attempt.engine, "DELETE", query.attempt.forwarded->request_id, {});
    if (io == Io::kOk) co_return;
    co_await loop_.SleepUntil(std::min(over, Now() + pause));
    pause = std::min<runtime::Span>(2 * pause, kMaxCancelBackoff);
  }
}

void Engines::UpdatePriority(EngineId engine, std::string id, int priority) {
  loop_.Spawn(Order(engine, "PUT", std::move(id), std::to_string(priority)));
}

Task<ProbeResult> Engines::Probe(EngineId engine) {
  ProbeResult result;
  PooledConnection lease;
  const Io up = co_await pool_.Acquire(engine, Now() + connect_timeout_, nullptr, lease);
  if (up != Io::kOk) co_return result;
  codec::HttpRequest request;
  request.method = "GET";
  request.path = report_fields_.empty() ? kHealthPath : kStatsPath;
  codec::HttpResponse response;
  const Io io = co_await lease->Call(request, Now() + connect_timeout_, nullptr, response);
  if (io != Io::kOk) {
    result.outcome = io == Io::kTimeout ? Outcome::kTimeout : Outcome::kReset;
    co_return result;
  }
  result.outcome = response.status == 200 ? Outcome::kOk : Outcome::kFull;
  if (const std::string* gauges = response.Find(kGaugesHeader))
    result.load = ParseLoadReport(*gauges, report_fields_);
  co_return result;
}

}  // namespace lemoncroft::backend
