// Attempts on real sockets, one at a time: connections that come up late, answers that come when they should
// not. The engine is played here, step by step, so that each crossing is forced.
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

// An engine's listening socket whose connections come up only once they are let in: what it has room for is
// taken by connections of its own.
class Door {
 public:
  enum class Held { kNo, kYes };
  explicit Door(Held held) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address_);
    socklen_t size = sizeof address_;
    EXPECT_EQ(::bind(fd_.get(), raw, size), 0);
    EXPECT_EQ(::listen(fd_.get(), held == Held::kYes ? 0 : 16), 0);
    EXPECT_EQ(::getsockname(fd_.get(), raw, &size), 0);
    while (held == Held::kYes && fill_.size() < 4 && Fill()) {
    }
  }
  std::string host_port() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }

  Descriptor LetIn() {
    pollfd p{fd_.get(), POLLIN, 0};
    if (::poll(&p, 1, 3000) <= 0) return Descriptor();
    return Descriptor(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  }
  void LetInFillers() {
    for (std::size_t i = 0; i < fill_.size(); ++i) LetIn();
  }

 private:
  // One more of its own; false: it did not come up, so the queue is full.
  bool Fill() {
    Descriptor mine(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    static_cast<void>(::connect(mine.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_));
    pollfd p{mine.get(), POLLOUT, 0};
    if (::poll(&p, 1, 100) <= 0) return false;
    fill_.push_back(std::move(mine));
    return true;
  }

  Descriptor fd_;
  sockaddr_in address_{};
  std::vector<Descriptor> fill_;
};

// What has come on the engine's side of a connection until it has been quiet for so long.
std::string Heard(int fd, std::chrono::milliseconds quiet) {
  std::string in;
  char bytes[4096];
  for (pollfd p{fd, POLLIN, 0}; ::poll(&p, 1, static_cast<int>(quiet.count())) > 0;) {
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) break;
    in.append(bytes, static_cast<std::size_t>(n));
  }
  return in;
}

class Backend : public testing::Test {
 protected:
  void List(const Door& door) {
    directory_.Apply(
        codec::Json::Parse(
            R"({"n":1,"events":[{"n":1,"members":{"complete":true,"members":[{"id":"s","host_port":")" +
            door.host_port() + R"(","phase":"Ready","up_since_ms":0}]}}]})"),
        [this](const EngineList& list) { engine_ = list.entries->at(0).engine; });
    forwarded_.request_id = "00000000000000aa";
    forwarded_.class_name = "load";
    forwarded_.statement = "select 1";
  }
  backend::Attempt SomeAttempt(runtime::Span within = 3s) const {
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
  // Lets the loop run until the attempt has ended; `meanwhile` is done once, that long after the start.
  void Play(const backend::Attempt& attempt) {
    loop_.Spawn(Run(attempt));
    loop_.Run();
  }

  runtime::Loop loop_;
  settings::ActiveSettings site_{settings::Site()};
  discovery::EndpointDirectory directory_{site_};
  metrics::Counters counters_;
  backend::Engines engines_{loop_, directory_, backend::ConnectionPool::Limits{16, 5s}, 2500ms, counters_};
  request::ForwardedFields forwarded_;
  EngineId engine_ = 0;
  runtime::Cancellation cancel_;
  backend::Result result_;
  bool ended_ = false;
};

// The engine discards a repeat only within its window. A connection that comes up after that must not carry
// it, and the engine is not to blame.
TEST_F(Backend, ARepeatWhoseConnectionIsLateNeverLeaves) {
  Door door(Door::Held::kYes);
  List(door);
  auto attempt = SomeAttempt();
  attempt.not_after = Now() + 50ms;
  Play(attempt);
  ASSERT_TRUE(ended_);
  EXPECT_EQ(result_.outcome, Outcome::kNotSent);
  EXPECT_LT(Now(), attempt.not_after + 500ms) << "told as soon as it is out of the question";
  EXPECT_EQ(counters_.tries(), 0u);
}

TEST_F(Backend, ARepeatPastItsTimeLeavesOnNoConnectionAtAll) {
  Door door(Door::Held::kNo);
  List(door);
  auto attempt = SomeAttempt();
  attempt.not_after = Now() - 1ms;
  Play(attempt);
  EXPECT_EQ(result_.outcome, Outcome::kNotSent);
  const Descriptor side = door.LetIn();
  if (side) EXPECT_EQ(Heard(side.get(), 100ms), "");
}

// The client leaves while the connection for its attempt comes up: nothing goes out later.
TEST_F(Backend, AnAttemptWhoseClientLeavesWhileItConnectsNeverLeaves) {
  Door door(Door::Held::kYes);
  List(door);
  const auto leave = [&]() -> runtime::Task<> {
    co_await loop_.Sleep(30ms);
    cancel_.Cancel();
  };
  loop_.Spawn(leave());
  const runtime::Time from = Now();
  Play(SomeAttempt());
  EXPECT_EQ(result_.outcome, Outcome::kNotSent);
  EXPECT_LT(Now() - from, 100ms + 30ms) << "the bound on attempts after a client has left";
  EXPECT_EQ(counters_.tries(), 0u);
}

// An engine on the same loop. `answer` is handed each call as it came and the connection it came on.
class Engine {
 public:
  using Answer = std::function<runtime::Task<>(const std::string& call, runtime::Socket& socket)>;
  Engine(runtime::Loop& loop, Answer answer)
      : loop_(loop), answer_(std::move(answer)), listener_(loop, *runtime::Address::Parse("127.0.0.1:0")) {
    loop_.Spawn(AcceptAll());
  }
  std::string host_port() const { return listener_.address().Text(); }
  int connections() const { return connections_; }

 private:
  runtime::Task<> AcceptAll() {
    for (;;) {
      std::unique_ptr<runtime::Socket> socket;
      if (co_await listener_.Accept(socket) != runtime::Io::kOk) continue;
      ++connections_;
      loop_.Spawn(Serve(std::move(socket)));
    }
  }
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket) {
    std::string in;
    while (co_await socket->Read(in, 4096, runtime::kNever) == runtime::Io::kOk) {
      const std::size_t head = in.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      const std::size_t sized = in.find("Content-Length: ");
      const std::size_t body = sized < head ? std::stoul(in.substr(sized + 16)) : 0;
      if (in.size() < head + 4 + body) continue;
      const std::string call = std::exchange(in, {});
      co_await answer_(call, *socket);
      if (closes) co_return;
    }
  }

  runtime::Loop& loop_;
  Answer answer_;
  runtime::Listener listener_;
  int connections_ = 0;

 public:
  bool closes = false;  // behind the answer that is being given
};

runtime::Task<> Say(runtime::Socket& socket, std::string text) {
  std::size_t written = 0;
  co_await socket.Write(text, written, Now() + 1s);
}

std::string Good(const std::string& rows) {
  return "HTTP/1.1 200 OK\r\nChunks: 1\r\nContent-Length: " + std::to_string(rows.size()) + "\r\n\r\n" + rows;
}

class Answers : public Backend {
 protected:
  void ListEngine(const std::string& host_port) {
    directory_.Apply(
        codec::Json::Parse(
            R"({"n":1,"events":[{"n":1,"members":{"complete":true,"members":[{"id":"s","host_port":")" +
            host_port + R"(","phase":"Ready","up_since_ms":0}]}}]})"),
        [this](const EngineList& list) { engine_ = list.entries->at(0).engine; });
    forwarded_ = {"00000000000000aa", "load", "", "select 1"};
  }
};

// An answer that breaks off at any byte is none: the engine is asked for it again, and told nothing twice.
TEST_F(Answers, OneThatBreaksOffAtAnyByteIsAskedForAnew) {
  const std::string good = Good("x\ty\tz\n");
  std::size_t cut = 0;
  int posts = 0;
  Engine* self = nullptr;
  Engine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
    const bool post = call.starts_with("POST ");
    posts += post;
    self->closes = post;
    std::string text = good;
    if (post) text.resize(cut);
    co_await Say(socket, std::move(text));
  });
  self = &engine;
  ListEngine(engine.host_port());
  const auto all = [&]() -> runtime::Task<> {
    for (cut = 0; cut < good.size(); ++cut) {
      const auto attempt = SomeAttempt();
      result_ = co_await engines_.Run(attempt, cancel_);
      EXPECT_EQ(result_.outcome, Outcome::kOk) << "cut at " << cut;
      EXPECT_EQ(result_.rows, "x\ty\tz\n") << "cut at " << cut;
    }
    loop_.Stop();
  };
  loop_.Spawn(all());
  loop_.Run();
  EXPECT_EQ(posts, static_cast<int>(good.size())) << "a statement goes out once";
}

// Byte after byte, always in time for the next, and never whole; or without any end to its body.
class Endless : public Answers, public testing::WithParamInterface<bool> {};

TEST_P(Endless, IsLeftWithinItsTime) {
  const bool trickles = GetParam();
  {
    Engine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
      if (!call.starts_with("POST ")) co_return co_await Say(socket, Good("x\ty\tz\n"));
      co_await Say(socket, "HTTP/1.1 200 OK\r\nChunks: 1\r\n\r\n");
      for (std::size_t written = 1; written > 0;) {
        const std::string more(trickles ? 1 : 64 * 1024, 'x');
        if (co_await socket.Write(more, written, Now() + 1s) != runtime::Io::kOk) co_return;
        co_await loop_.Sleep(trickles ? 20ms : 1ms);
      }
    });
    ListEngine(engine.host_port());
    const runtime::Time from = Now();
    const auto one = [&]() -> runtime::Task<> {
      const auto attempt = SomeAttempt();
      result_ = co_await engines_.Run(attempt, cancel_);
      loop_.Stop();
    };
    loop_.Spawn(one());
    loop_.Run();
    EXPECT_EQ(result_.outcome, Outcome::kOk);
    EXPECT_EQ(result_.rows, "x\ty\tz\n");
    EXPECT_LT(Now() - from, 700ms) << "300 ms for the news, and a question anew";
  }
}
INSTANTIATE_TEST_SUITE_P(Answer, Endless, testing::Values(true, false));

// Nothing in page 0 names its query: a second answer that meets the next one's question would be taken for
// its result.
TEST_F(Answers, ASecondOneThatComesLaterIsNoneOfTheNextQuerys) {
  int posts = 0;
  const auto late = [&](runtime::Socket& socket, std::string text) -> runtime::Task<> {
    co_await loop_.Sleep(12ms);
    co_await Say(socket, std::move(text));
  };
  Engine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
    if (call.starts_with("POST ") && ++posts % 2 == 1) {
      co_await Say(socket, Good("first\ty\tz\n"));
      loop_.Spawn(late(socket, Good("first\ty\tz\n")));  // the same once more
      co_return;
    }
    co_await loop_.Sleep(20ms);  // so that the second one is there before it
    co_await Say(socket, Good("next\ty\tz\n"));
  });
  ListEngine(engine.host_port());
  const auto both = [&]() -> runtime::Task<> {
    for (int tries = 0; tries < 50; ++tries) {
      forwarded_.request_id = "00000000000000aa";
      const auto first = SomeAttempt();
      co_await engines_.Run(first, cancel_);
      const runtime::Time ended = Now();
      co_await loop_.Sleep(6ms);
      forwarded_.request_id = "00000000000000bb";
      const auto next = SomeAttempt();
      const bool crossed = Now() - ended < 12ms;  // else the machine held it up, and it is tried again
      result_ = co_await engines_.Run(next, cancel_);
      if (crossed) break;
      result_ = backend::Result();
    }
    loop_.Stop();
  };
  loop_.Spawn(both());
  loop_.Run();
  EXPECT_EQ(result_.outcome, Outcome::kOk);
  EXPECT_EQ(result_.rows, "next\ty\tz\n");
}

// All that an engine is written, as whole bytes but for the time that is left of a request.
class Calls : public Answers {
 protected:
  // Runs until `count` calls have come, or 3 s.
  std::vector<std::string> Received(std::size_t count, const std::function<runtime::Task<>()>& act) {
    std::vector<std::string> calls;
    Engine engine(loop_, [&](const std::string& call, runtime::Socket& socket) -> runtime::Task<> {
      calls.push_back(std::regex_replace(call, host_, "HOST"));
      co_await Reply(call, socket);
      if (calls.size() == count) loop_.Stop();
    });
    host_ = engine.host_port();
    ListEngine(engine.host_port());
    const auto give_up = [&]() -> runtime::Task<> {
      co_await loop_.Sleep(3s);
      loop_.Stop();
    };
    loop_.Spawn(act());
    loop_.Spawn(give_up());
    loop_.Run();
    return calls;
  }

 private:
  runtime::Task<> Reply(const std::string& call, runtime::Socket& socket) {
    constexpr const char* kNoContent = "HTTP/1.1 204 X\r\n\r\n";
    constexpr const char* kAccepted = "HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n";
    constexpr const char* kFirstPage = "HTTP/1.1 200 X\r\nChunks: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    constexpr const char* kSecondPage = "HTTP/1.1 200 X\r\nChunk: 1\r\nContent-Length: 6\r\n\r\nd\te\tf\n";
    if (call.starts_with("POST ")) co_return co_await Say(socket, kAccepted);
    if (!call.starts_with("GET /v2")) co_return co_await Say(socket, kNoContent);
    if (cancels_) co_return cancel_.Cancel();
    const bool first = call.starts_with("GET /v2/q/00000000000000aa/0 ");
    co_await Say(socket, first ? kFirstPage : kSecondPage);
  }

  std::regex host_;

 protected:
  bool cancels_ = false;  // the client leaves while its request runs
};

// The figure of X-Limit-Ms by N, where it is one that an attempt within 3 s can have.
std::string WithoutLimit(const std::string& call) {
  std::smatch limit;
  const bool told = std::regex_search(call, limit, std::regex("X-Limit-Ms: ([0-9]{1,4})\r\n"));
  if (!told || std::stoi(limit[1]) < 1 || std::stoi(limit[1]) > 3000) return call;
  return limit.prefix().str() + "X-Limit-Ms: N\r\n" + limit.suffix().str();
}

TEST_F(Calls, OfARequestWithAllItsFieldsAreTheseBytes) {
  const auto act = [&]() -> runtime::Task<> {
    forwarded_.idempotency_key = "5c0f";
    auto attempt = SomeAttempt();
    attempt.grant_mb = 300.2;
    attempt.priority = 7;
    result_ = co_await engines_.Run(attempt, cancel_);
    loop_.Stop();
  };
  const auto calls = Received(100, act);
  EXPECT_EQ(result_.rows, "a\tb\tc\nd\te\tf\n");
  ASSERT_EQ(calls.size(), 3u);
  EXPECT_EQ(WithoutLimit(calls[0]),
            "POST /v2/q HTTP/1.1\r\nHost: HOST\r\nX-Txn: 00000000000000aa\r\nX-Lane: load\r\n"
            "X-Limit-Ms: N\r\nX-Dedupe: 5c0f\r\nPool-Mb: 301\r\nPool-Rank: 7\r\nContent-Length: 8\r\n\r\n"
            "select 1");
  EXPECT_EQ(calls[1], "GET /v2/q/00000000000000aa/0 HTTP/1.1\r\nHost: HOST\r\n\r\n");
  EXPECT_EQ(calls[2], "GET /v2/q/00000000000000aa/1 HTTP/1.1\r\nHost: HOST\r\n\r\n");
}

TEST_F(Calls, OfAMinimalRequestThatIsGivenUpAreTheseBytes) {
  cancels_ = true;
  const auto act = [&]() -> runtime::Task<> {
    const auto attempt = SomeAttempt();
    result_ = co_await engines_.Run(attempt, cancel_);
  };
  const auto calls = Received(3, act);
  ASSERT_EQ(calls.size(), 3u);
  EXPECT_EQ(WithoutLimit(calls[0]),
            "POST /v2/q HTTP/1.1\r\nHost: HOST\r\nX-Txn: 00000000000000aa\r\nX-Lane: load\r\n"
            "X-Limit-Ms: N\r\nPool-Rank: 1\r\nContent-Length: 8\r\n\r\nselect 1");
  EXPECT_EQ(calls[2], "DELETE /v2/q/00000000000000aa HTTP/1.1\r\nHost: HOST\r\n\r\n");
}

TEST_F(Calls, OfPrioritiesAndProbesAreTheseBytes) {
  const auto act = [&]() -> runtime::Task<> {
    co_await engines_.Probe(engine_);
    engines_.set_report_fields({"inflight"});
    co_await engines_.Probe(engine_);
    engines_.UpdatePriority(engine_, "00000000000000aa", 12);
  };
  EXPECT_EQ(Received(3, act),
            (std::vector<std::string>{"GET /healthz HTTP/1.1\r\nHost: HOST\r\n\r\n",
                                      "GET /stats HTTP/1.1\r\nHost: HOST\r\n\r\n",
                                      "PUT /v2/q/00000000000000aa HTTP/1.1\r\nHost: HOST\r\n"
                                      "Content-Length: 2\r\n\r\n12"}));
}

}  // namespace
}  // namespace lemoncroft
