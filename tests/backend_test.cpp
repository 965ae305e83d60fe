// Attempts on real sockets, one at a time: connections that come up late, answers that come when they should
// not. The engine is played here, step by step, so that each crossing is forced.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <functional>
#include <vector>

#include "backend/engines.h"
#include "membership/directory.h"

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
    ::connect(mine.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_);
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
    passed_.id = "00000000000000aa";
    passed_.lane = "load";
    passed_.statement = "select 1";
  }
  backend::Attempt SomeAttempt(runtime::Span within = 3s) const {
    backend::Attempt attempt;
    attempt.passed = &passed_;
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
  settings::InForce site_{settings::Site()};
  membership::Directory directory_{site_};
  telemetry::Counters counters_;
  backend::Engines engines_{loop_, directory_, backend::Pool::Limits{16, 5s}, 2500ms, counters_};
  broker::Passed passed_;
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
  EXPECT_EQ(result_.outcome, Outcome::kMoot);
  EXPECT_LT(Now(), attempt.not_after + 500ms) << "told as soon as it is out of the question";
  EXPECT_EQ(counters_.tries(), 0u);
}

TEST_F(Backend, ARepeatPastItsTimeLeavesOnNoConnectionAtAll) {
  Door door(Door::Held::kNo);
  List(door);
  auto attempt = SomeAttempt();
  attempt.not_after = Now() - 1ms;
  Play(attempt);
  EXPECT_EQ(result_.outcome, Outcome::kMoot);
  const Descriptor side = door.LetIn();
  if (side) EXPECT_EQ(Heard(side.get(), 100ms), "");
}

}  // namespace
}  // namespace lemoncroft
