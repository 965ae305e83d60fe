// Tests of backend::Engines on real sockets, one attempt at a time: slow connects, and responses that are
// damaged, late or duplicated. The tests act as the engine, so that they control the order of events in each
// race.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <functional>
#include <regex>
#include <utility>
#include <vector>

#include "backend/engines.h"
#include "discovery/endpoint_directory.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;
using runtime::Descriptor;
using runtime::Now;

// An engine's listening socket. With Backlog::kFull, connects don't complete before Accept is called, because
// the socket fills its backlog with its own connections.
class ListeningSocket {
 public:
  enum class Backlog { kFree, kFull };
  explicit ListeningSocket(Backlog backlog) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address_);
    socklen_t size = sizeof address_;
    EXPECT_EQ(::bind(fd_.get(), raw, size), 0);
    EXPECT_EQ(::listen(fd_.get(), backlog == Backlog::kFull ? 0 : 16), 0);
    EXPECT_EQ(::getsockname(fd_.get(), raw, &size), 0);
    while (backlog == Backlog::kFull && fillers_.size() < 4 && FillOne()) {
    }
  }
  std::string host_port() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }

  Descriptor Accept() {
    pollfd p{fd_.get(), POLLIN, 0};
    if (::poll(&p, 1, 3000) <= 0) return Descriptor();
    return Descriptor(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  }

 private:
  // Opens one more connection. Returns false if the connect does not complete because the backlog is full.
  bool FillOne() {
    Descriptor filler(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    static_cast<void>(::connect(filler.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_));
    pollfd p{filler.get(), POLLOUT, 0};
    if (::poll(&p, 1, 100) <= 0) return false;
    fillers_.push_back(std::move(filler));
    return true;
  }

  Descriptor fd_;
  sockaddr_in address_{};
  std::vector<Descriptor> fillers_;
};

// Receives on the engine's side of a connection until no bytes have arrived for `quiet`.
std::string ReceiveUntilQuiet(int fd, std::chrono::milliseconds quiet) {
  std::string in;
  char bytes[4096];
  for (pollfd p{fd, POLLIN, 0}; ::poll(&p, 1, static_cast<int>(quiet.count())) > 0;) {
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) break;
    in.append(bytes, static_cast<std::size_t>(n));
  }
  return in;
}

class EnginesTest : public testing::Test {
 protected:
  static constexpr auto kConnectTimeout = 2500ms;

  void ListEngine(const std::string& host_port) {
    directory_.Apply(
        codec::Json::Parse(
            R"({"n":1,"events":[{"n":1,"members":{"complete":true,"members":[{"id":"s","host_port":")" +
            host_port + R"(","phase":"Ready","up_since_ms":0}]}}]})"),
        [this](const EngineList& list) { engine_ = list.entries->at(0).engine; });
    forwarded_ = {"00000000000000aa", "load", "", "select 1"};
  }
  backend::Attempt MakeAttempt(runtime::Duration within = 3s) const {
    backend::Attempt attempt;
    attempt.forwarded = &forwarded_;
    attempt.engine = engine_;
    attempt.deadline = Now() + within;
    return attempt;
  }
  runtime::Task<> Run(backend::Attempt attempt) {
    result_ = co_await engines_.Run(attempt, cancel_);
    ended_ = true;
    loop_.Stop();
  }
  // Runs the attempt, and the loop until the attempt has ended.
  void RunToEnd(const backend::Attempt& attempt) {
    loop_.Spawn(Run(attempt));
    loop_.Run();
  }

  runtime::Loop loop_;
  settings::ActiveSettings site_{settings::Site()};
  discovery::EndpointDirectory directory_{site_};
  metrics::Counters counters_;
  backend::Engines engines_{loop_, directory_, backend::ConnectionPool::Limits{16, 5s}, kConnectTimeout,
                            counters_};
  request::ForwardedFields forwarded_;
  EngineId engine_ = 0;
  runtime::Cancellation cancel_;
  backend::Result result_;
  bool ended_ = false;
};

// The engine discards a repeat only within its repeat window. The connect completes only after the window has
// passed: the repeat must not be sent, and the outcome must not be counted as a fault of the engine.
TEST_F(EnginesTest, Repeat_ConnectedAfterItsWindow_IsNotSent) {
  ListeningSocket listener(ListeningSocket::Backlog::kFull);
  ListEngine(listener.host_port());
  auto attempt = MakeAttempt();
  attempt.not_after = Now() + 50ms;
  RunToEnd(attempt);
  ASSERT_TRUE(ended_);
  EXPECT_EQ(result_.outcome, Outcome::kNotSent);
  EXPECT_LT(Now(), attempt.not_after + 500ms) << "the attempt ends as soon as the repeat window has passed";
  EXPECT_EQ(counters_.attempts(), 0u);
}

// The repeat window has already passed when the attempt starts, and the engine accepts connections: no byte
// of the repeat must reach the engine.
TEST_F(EnginesTest, Repeat_StartedAfterItsWindow_SendsNothing) {
  ListeningSocket listener(ListeningSocket::Backlog::kFree);
  ListEngine(listener.host_port());
  auto attempt = MakeAttempt();
  attempt.not_after = Now() - 1ms;
  RunToEnd(attempt);
  EXPECT_EQ(result_.outcome, Outcome::kNotSent);
  const Descriptor connection = listener.Accept();
  if (connection) {
    EXPECT_EQ(ReceiveUntilQuiet(connection.get(), 100ms), "");
  }
}

// The client leaves while the connect is in progress: the attempt must end soon, and must not be sent.
TEST_F(EnginesTest, Attempt_CancelledDuringConnect_IsNotSent) {
  ListeningSocket listener(ListeningSocket::Backlog::kFull);
  ListEngine(listener.host_port());
  const auto cancel_later = [&]() -> runtime::Task<> {
    co_await loop_.Sleep(30ms);
    cancel_.Cancel();
  };
  loop_.Spawn(cancel_later());
  const runtime::Time from = Now();
  RunToEnd(MakeAttempt());
  EXPECT_EQ(result_.outcome, Outcome::kNotSent);
  EXPECT_LT(Now() - from, 100ms + 30ms) << "the limit on the end of an attempt after its client has left";
  EXPECT_EQ(counters_.attempts(), 0u);
}

// Makes the kernel reset the connection when it is closed, as for a process that dies.
void SetResetOnClose(int fd) {
  const linger option{1, 0};
  EXPECT_EQ(::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option), 0);
}

// An engine on the same loop. `handler` receives the bytes of each call, and the connection to respond on.
class FakeEngine {
 public:
  using CallHandler = std::function<runtime::Task<>(const std::string& call, runtime::Socket& socket)>;
  FakeEngine(runtime::Loop& loop, CallHandler handler)
      : loop_(loop), handler_(std::move(handler)), listener_(loop, *runtime::Address::Parse("127.0.0.1:0")) {
    loop_.Spawn(AcceptAll());
  }
  std::string host_port() const { return listener_.address().ToString(); }
  int connections() const { return connections_; }

 private:
  runtime::Task<> AcceptAll() {
    for (;;) {
      std::unique_ptr<runtime::Socket> socket;
      if (co_await listener_.Accept(socket) != runtime::IoResult::kOk) continue;
      ++connections_;
      loop_.Spawn(Serve(std::move(socket)));
    }
  }
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket) {
    std::string in;
    while (co_await socket->Read(in, 4096, runtime::kNever) == runtime::IoResult::kOk) {
      const std::size_t head = in.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      const std::size_t sized = in.find("Content-Length: ");
      const std::size_t body = sized < head ? std::stoul(in.substr(sized + 16)) : 0;
      if (in.size() < head + 4 + body) continue;
      const std::string call = std::exchange(in, {});
      co_await handler_(call, *socket);
      if (resets_connection) SetResetOnClose(socket->fd());
      if (closes_connection || resets_connection) co_return;
    }
  }

  runtime::Loop& loop_;
  CallHandler handler_;
  runtime::Listener listener_;
  int connections_ = 0;

 public:
  // After the current call, in order or with a reset.
  bool closes_connection = false, resets_connection = false;
};

runtime::Task<> Write(runtime::Socket& socket, std::string text) {
  std::size_t written = 0;
  co_await socket.Write(text, written, Now() + 1s);
}

std::string PageResponse(const std::string& rows) {
  return "HTTP/1.1 200 OK\r\nChunks: 1\r\nContent-Length: " + std::to_string(rows.size()) + "\r\n\r\n" + rows;
}

class EngineResponseTest : public EnginesTest {};

// The response to the statement is truncated, at each possible byte. The engine must be polled for the
// response, and the statement must not be sent again.
TEST_F(EngineResponseTest, Response_CutAtAnyByte_IsPolledForAgain) {
  const std::string response = PageResponse("x\ty\tz\n");
  std::size_t cut = 0;
  int posts = 0;
  FakeEngine* self = nullptr;
  FakeEngine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
    const bool post = call.starts_with("POST ");
    posts += post;
    self->closes_connection = post;
    std::string text = response;
    if (post) text.resize(cut);
    co_await Write(socket, std::move(text));
  });
  self = &engine;
  ListEngine(engine.host_port());
  const auto run_all = [&]() -> runtime::Task<> {
    for (cut = 0; cut < response.size(); ++cut) {
      const auto attempt = MakeAttempt();
      result_ = co_await engines_.Run(attempt, cancel_);
      EXPECT_EQ(result_.outcome, Outcome::kOk) << "cut at " << cut;
      EXPECT_EQ(result_.rows, "x\ty\tz\n") << "cut at " << cut;
    }
    loop_.Stop();
  };
  loop_.Spawn(run_all());
  loop_.Run();
  EXPECT_EQ(posts, static_cast<int>(response.size())) << "each statement is sent once";
}

// A page whose body ends with the connection is cut by a reset between two rows, where it looks complete.
// Guards against results with missing rows that are reported as served.
class CutResultTest : public EngineResponseTest, public testing::WithParamInterface<int> {
 protected:
  enum class EndOfProcess { kResets, kCloses };

  // Runs an attempt at an engine that exits while it writes the last page, and at `end` ends its connections.
  void RunAtEngineThatExits(int last_page, EndOfProcess end) {
    bool exited = false;
    FakeEngine* self = nullptr;
    FakeEngine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
      const int page = PageOf(call);
      self->resets_connection = exited || (page == last_page && end == EndOfProcess::kResets);
      self->closes_connection = true;
      if (exited) co_return;
      exited = page == last_page;
      const std::string rows = exited ? FirstRowOf(page) : RowsOf(page);
      co_await Write(socket, UnsizedPage(page, rows));
      if (exited) co_await loop_.Sleep(20ms);  // the rows arrive before the end
    });
    self = &engine;
    ListEngine(engine.host_port());
    RunToEnd(MakeAttempt());
    EXPECT_TRUE(exited);
  }
  static constexpr int kPages = 2;
  // The page without a length: its body ends with the connection.
  static std::string UnsizedPage(int page, const std::string& rows) {
    const std::string field =
        page == 0 ? "Chunks: " + std::to_string(kPages) : "Chunk: " + std::to_string(page);
    return "HTTP/1.1 200 OK\r\nConnection: close\r\n" + field + "\r\n\r\n" + rows;
  }
  static int PageOf(const std::string& call) { return call.find("/1 HTTP") == std::string::npos ? 0 : 1; }
  static std::string RowsOf(int page) {
    const std::string name = std::to_string(page);
    return name + "\t1\tz\n" + name + "\t2\tz\n";
  }
  static std::string FirstRowOf(int page) { return RowsOf(page).substr(0, RowsOf(page).size() / 2); }
};

TEST_P(CutResultTest, PageWithoutLength_ResetBetweenRows_IsFetchedAgain) {
  const int cut_page = GetParam();
  bool cut = false;
  FakeEngine* self = nullptr;
  FakeEngine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
    const int page = PageOf(call);
    const bool cuts_now = page == cut_page && !cut;
    cut = cut || cuts_now;
    self->closes_connection = true;
    self->resets_connection = cuts_now;
    const std::string rows = cuts_now ? FirstRowOf(page) : RowsOf(page);
    co_await Write(socket, UnsizedPage(page, rows));
    if (cuts_now) co_await loop_.Sleep(20ms);  // the rows arrive before the reset
  });
  self = &engine;
  ListEngine(engine.host_port());
  RunToEnd(MakeAttempt());
  EXPECT_TRUE(cut);
  EXPECT_EQ(result_.outcome, Outcome::kOk);
  EXPECT_EQ(result_.rows, RowsOf(0) + RowsOf(1));
}

TEST_P(CutResultTest, PageWithoutLength_EngineExitsWithReset_IsNotServed) {
  RunAtEngineThatExits(GetParam(), EndOfProcess::kResets);
  EXPECT_NE(result_.outcome, Outcome::kOk) << result_.rows;
}

// The kernel of a killed process closes its connections in order where it has read all input.
TEST_P(CutResultTest, PageWithoutLength_EngineExitsWithoutReset_IsNotServed) {
  RunAtEngineThatExits(GetParam(), EndOfProcess::kCloses);
  EXPECT_NE(result_.outcome, Outcome::kOk) << result_.rows;
}
// The engine takes long to write the result once more: its head is enough to know that the engine has it.
TEST_F(EngineResponseTest, PageWithoutLength_ConfirmedSlowly_IsServedAtHeadOfConfirmation) {
  const std::string page = "HTTP/1.1 200 OK\r\nChunks: 1\r\n\r\n";
  int calls = 0;
  FakeEngine engine(loop_, [&](const std::string&, runtime::Socket& socket) -> runtime::Task<> {
    const bool confirms = ++calls > 1;
    co_await Write(socket, page);
    if (confirms) co_await loop_.Sleep(500ms);
    co_await Write(socket, "x\ty\tz\n");
  });
  engine.closes_connection = true;
  ListEngine(engine.host_port());
  const runtime::Time from = Now();
  RunToEnd(MakeAttempt());
  EXPECT_EQ(result_.outcome, Outcome::kOk);
  EXPECT_EQ(result_.rows, "x\ty\tz\n");
  EXPECT_EQ(calls, 2);
  EXPECT_LT(Now() - from, 150ms) << "the stall timeout";
}
INSTANTIATE_TEST_SUITE_P(EachPage, CutResultTest, testing::Values(0, 1));

// The engine sends a response that is never complete. With the parameter true it sends one byte at a time,
// each before the stall timeout; with false it sends an endless body at a high rate.
class EndlessResponseTest : public EngineResponseTest, public testing::WithParamInterface<bool> {};

TEST_P(EndlessResponseTest, Response_NeverComplete_IsAbandonedInTime) {
  const bool sends_single_bytes = GetParam();
  {
    FakeEngine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
      if (!call.starts_with("POST ")) co_return co_await Write(socket, PageResponse("x\ty\tz\n"));
      co_await Write(socket, "HTTP/1.1 200 OK\r\nChunks: 1\r\n\r\n");
      for (std::size_t written = 1; written > 0;) {
        const std::string more(sends_single_bytes ? 1 : 64 * 1024, 'x');
        if (co_await socket.Write(more, written, Now() + 1s) != runtime::IoResult::kOk) co_return;
        co_await loop_.Sleep(sends_single_bytes ? 20ms : 1ms);
      }
    });
    ListEngine(engine.host_port());
    const runtime::Time from = Now();
    const auto run_one = [&]() -> runtime::Task<> {
      const auto attempt = MakeAttempt();
      result_ = co_await engines_.Run(attempt, cancel_);
      loop_.Stop();
    };
    loop_.Spawn(run_one());
    loop_.Run();
    EXPECT_EQ(result_.outcome, Outcome::kOk);
    EXPECT_EQ(result_.rows, "x\ty\tz\n");
    EXPECT_LT(Now() - from, 700ms) << "300 ms for the status timeout, then one poll";
  }
}
INSTANTIATE_TEST_SUITE_P(TricklesOrFloods, EndlessResponseTest, testing::Values(true, false));

// The engine sends a response twice, and the second copy arrives after the next query's call. Page 0 doesn't
// identify its query, so that the copy must not be mistaken for the result of the next query.
TEST_F(EngineResponseTest, Response_SentTwice_IsNotAttributedToNextQuery) {
  int posts = 0;
  const auto write_late = [&](runtime::Socket& socket, std::string text) -> runtime::Task<> {
    co_await loop_.Sleep(12ms);
    co_await Write(socket, std::move(text));
  };
  FakeEngine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
    if (call.starts_with("POST ") && ++posts % 2 == 1) {
      co_await Write(socket, PageResponse("first\ty\tz\n"));
      loop_.Spawn(write_late(socket, PageResponse("first\ty\tz\n")));  // the second copy
      co_return;
    }
    co_await loop_.Sleep(20ms);  // so that the second copy arrives before this response
    co_await Write(socket, PageResponse("next\ty\tz\n"));
  });
  ListEngine(engine.host_port());
  const auto run_both = [&]() -> runtime::Task<> {
    for (int round = 0; round < 50; ++round) {
      forwarded_.request_id = "00000000000000aa";
      const auto first = MakeAttempt();
      co_await engines_.Run(first, cancel_);
      const runtime::Time ended = Now();
      co_await loop_.Sleep(6ms);
      forwarded_.request_id = "00000000000000bb";
      const auto next = MakeAttempt();
      // The next call must precede the second copy. If this process was delayed, both queries are repeated.
      const bool precedes_copy = Now() - ended < 12ms;
      result_ = co_await engines_.Run(next, cancel_);
      if (precedes_copy) break;
      result_ = backend::Result();
    }
    loop_.Stop();
  };
  loop_.Spawn(run_both());
  loop_.Run();
  EXPECT_EQ(result_.outcome, Outcome::kOk);
  EXPECT_EQ(result_.rows, "next\ty\tz\n");
}

// An engine that stalls: until `resume`, it reads nothing and responds to nothing. Then it starts the
// statement that it has been sent, and responds to all calls.
class StalledEngine {
 public:
  StalledEngine(runtime::Loop& loop, runtime::Duration stall)
      : resumes_at(Now() + stall),
        engine_(loop, [this, &loop](const std::string& call, runtime::Socket& socket) {
          return Respond(loop, call, socket);
        }) {}
  std::string host_port() const { return engine_.host_port(); }

  runtime::Time resumes_at;
  runtime::Time started_at = runtime::kNever, cancelled_at = runtime::kNever;  // of the query

 private:
  runtime::Task<> Respond(runtime::Loop& loop, std::string call, runtime::Socket& socket) {
    if (Now() < resumes_at) co_await loop.SleepUntil(resumes_at);
    if (call.starts_with("POST ")) started_at = Now();
    if (call.starts_with("DELETE ") && started_at != runtime::kNever) cancelled_at = Now();
    const bool knows_query = call.starts_with("POST ") || started_at != runtime::kNever;
    if (call.starts_with("DELETE ")) co_return co_await Write(socket, "HTTP/1.1 204 X\r\n\r\n");
    const char* status = knows_query ? "202" : "500";
    co_await Write(socket, std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n");
  }

  FakeEngine engine_;
};

class StalledEngineTest : public EnginesTest {
 protected:
  backend::Attempt MakeExclusiveAttempt(runtime::Duration last_of_request) {
    backend::Attempt attempt = MakeAttempt(400ms);
    attempt.exclusive = true;
    attempt.last_of_request_by = Now() + last_of_request;
    return attempt;
  }
};

// Guards against two attempts at one time: the engine starts the statement after a stall that is longer than
// the time after which it abandons a query. The exclusive attempt must not end before that query is
// cancelled.
TEST_F(StalledEngineTest, ExclusiveStatement_StartedAfterStall_IsCancelledBeforeAttemptEnds) {
  StalledEngine engine(loop_, 3200ms);
  ListEngine(engine.host_port());
  RunToEnd(MakeExclusiveAttempt(8s));
  EXPECT_GE(Now(), engine.resumes_at);
  EXPECT_LT(Now(), engine.resumes_at + 1500ms);
  ASSERT_NE(engine.started_at, runtime::kNever);
  EXPECT_NE(engine.cancelled_at, runtime::kNever);
  EXPECT_EQ(result_.outcome, Outcome::kTimeout);
}

// The attempt waits no longer than another one of its request could follow.
TEST_F(StalledEngineTest, ExclusiveStatement_StallOutlastsRequest_AttemptEndsWithRequest) {
  StalledEngine engine(loop_, 20s);
  ListEngine(engine.host_port());
  const backend::Attempt attempt = MakeExclusiveAttempt(3200ms);
  RunToEnd(attempt);
  EXPECT_GE(Now(), attempt.last_of_request_by);
  EXPECT_LT(Now(), attempt.last_of_request_by + 3s);
}

// A statement that the engine's host doesn't have whole can't arrive any more once its connection is reset.
TEST_F(StalledEngineTest, ExclusiveStatement_NotDelivered_AttemptEndsWhenQueryIsAbandoned) {
  ListeningSocket listener(ListeningSocket::Backlog::kFree);
  ListEngine(listener.host_port());
  forwarded_.statement =
      std::string(std::size_t{64} << 20, 'x');  // more than the buffers of a connection hold
  const runtime::Time begin = Now();
  RunToEnd(MakeExclusiveAttempt(20s));
  EXPECT_LT(Now() - begin, 400ms + backend::kEngineAbandonTimeout + kConnectTimeout);
}

// Tests the bytes of the calls to an engine, except for the remaining time of a request.
class EngineCallTest : public EngineResponseTest {
 protected:
  // Runs the loop until `count` calls have arrived, for at most 3 s. Returns the calls.
  std::vector<std::string> ReceiveCalls(std::size_t count, const std::function<runtime::Task<>()>& act) {
    std::vector<std::string> calls;
    FakeEngine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
      calls.push_back(std::regex_replace(call, host_, "HOST"));
      co_await Respond(call, socket);
      if (calls.size() == count) loop_.Stop();
    });
    host_ = engine.host_port();
    ListEngine(engine.host_port());
    const auto stop_after_timeout = [&]() -> runtime::Task<> {
      co_await loop_.Sleep(3s);
      loop_.Stop();
    };
    loop_.Spawn(act());
    loop_.Spawn(stop_after_timeout());
    loop_.Run();
    return calls;
  }

 private:
  runtime::Task<> Respond(const std::string& call, runtime::Socket& socket) {
    constexpr const char* kNoContent = "HTTP/1.1 204 X\r\n\r\n";
    constexpr const char* kAccepted = "HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n";
    constexpr const char* kFirstPage = "HTTP/1.1 200 X\r\nChunks: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    constexpr const char* kSecondPage = "HTTP/1.1 200 X\r\nChunk: 1\r\nContent-Length: 6\r\n\r\nd\te\tf\n";
    if (call.starts_with("POST ")) co_return co_await Write(socket, kAccepted);
    if (!call.starts_with("GET /v2")) co_return co_await Write(socket, kNoContent);
    if (cancels_on_poll_) co_return cancel_.Cancel();
    const bool first = call.starts_with("GET /v2/q/00000000000000aa/0 ");
    co_await Write(socket, first ? kFirstPage : kSecondPage);
  }

  std::regex host_;

 protected:
  bool cancels_on_poll_ = false;  // the client cancels while its request runs
};

// Replaces the value of X-Limit-Ms by N if the value is possible for an attempt with a timeout of 3 s.
std::string WithoutTimeout(const std::string& call) {
  std::smatch limit;
  const bool has_timeout = std::regex_search(call, limit, std::regex("X-Limit-Ms: ([0-9]{1,4})\r\n"));
  if (!has_timeout || std::stoi(limit[1]) < 1 || std::stoi(limit[1]) > 3000) return call;
  return limit.prefix().str() + "X-Limit-Ms: N\r\n" + limit.suffix().str();
}

TEST_F(EngineCallTest, SubmitAndPoll_AllFieldsSet_MatchExpectedBytes) {
  const auto act = [&]() -> runtime::Task<> {
    forwarded_.idempotency_key = "5c0f";
    auto attempt = MakeAttempt();
    attempt.grant_mb = 300.2;
    attempt.priority = 7;
    result_ = co_await engines_.Run(attempt, cancel_);
    loop_.Stop();
  };
  const auto calls = ReceiveCalls(100, act);
  EXPECT_EQ(result_.rows, "a\tb\tc\nd\te\tf\n");
  ASSERT_EQ(calls.size(), 3u);
  EXPECT_EQ(WithoutTimeout(calls[0]),
            "POST /v2/q HTTP/1.1\r\nHost: HOST\r\nX-Txn: 00000000000000aa\r\nX-Lane: load\r\n"
            "X-Limit-Ms: N\r\nX-Dedupe: 5c0f\r\nPool-Mb: 301\r\nPool-Rank: 7\r\nContent-Length: 8\r\n\r\n"
            "select 1");
  EXPECT_EQ(calls[1], "GET /v2/q/00000000000000aa/0 HTTP/1.1\r\nHost: HOST\r\n\r\n");
  EXPECT_EQ(calls[2], "GET /v2/q/00000000000000aa/1 HTTP/1.1\r\nHost: HOST\r\n\r\n");
}

TEST_F(EngineCallTest, SubmitAndCancel_FewestFieldsSet_MatchExpectedBytes) {
  cancels_on_poll_ = true;
  const auto act = [&]() -> runtime::Task<> {
    const auto attempt = MakeAttempt();
    result_ = co_await engines_.Run(attempt, cancel_);
  };
  const auto calls = ReceiveCalls(3, act);
  ASSERT_EQ(calls.size(), 3u);
  EXPECT_EQ(WithoutTimeout(calls[0]),
            "POST /v2/q HTTP/1.1\r\nHost: HOST\r\nX-Txn: 00000000000000aa\r\nX-Lane: load\r\n"
            "X-Limit-Ms: N\r\nPool-Rank: 1\r\nContent-Length: 8\r\n\r\nselect 1");
  EXPECT_EQ(calls[2], "DELETE /v2/q/00000000000000aa HTTP/1.1\r\nHost: HOST\r\n\r\n");
}

TEST_F(EngineCallTest, ProbesAndPriority_WithAndWithoutLoadReport_MatchExpectedBytes) {
  const auto act = [&]() -> runtime::Task<> {
    co_await engines_.Probe(engine_);
    engines_.set_report_fields({"inflight"});
    co_await engines_.Probe(engine_);
    engines_.UpdatePriority(engine_, "00000000000000aa", 12);
  };
  EXPECT_EQ(ReceiveCalls(3, act),
            (std::vector<std::string>{"GET /healthz HTTP/1.1\r\nHost: HOST\r\n\r\n",
                                      "GET /stats HTTP/1.1\r\nHost: HOST\r\n\r\n",
                                      "PUT /v2/q/00000000000000aa HTTP/1.1\r\nHost: HOST\r\n"
                                      "Content-Length: 2\r\n\r\n12"}));
}

}  // namespace
}  // namespace lemoncroft
