// Parts of the proxy by themselves, where no scenario can see what matters: what is kept.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <chrono>
#include <vector>

#include "codec/json.h"
#include "discovery/directory.h"
#include "discovery/feed.h"
#include "runtime/loop.h"
#include "runtime/socket.h"

namespace lemoncroft {
namespace {

// Engines are replaced all day long, by ones with other names.
TEST(Directory, KeepsNothingOfEnginesThatHaveGone) {
  settings::InForce site{settings::Site()};
  discovery::Directory directory(site);
  const auto tell = [&](int n, const std::string& id, const std::string& phase) {
    const std::string number = std::to_string(n);
    directory.Apply(codec::Json::Parse(R"({"n":)" + number + R"(,"events":[{"n":)" + number +
                                       R"(,"members":{"complete":false,"members":[{"id":")" + id +
                                       R"(","host_port":"127.0.0.1:80","phase":")" + phase + R"("}]}}]})"),
                    [](const EngineList&) {});
  };
  for (int n = 1; n <= 100; ++n) {
    const std::string id = "s-" + std::to_string(n);
    tell(2 * n, id, "Ready");
    tell(2 * n + 1, id, "Gone");
  }
  tell(300, "never-known", "Gone");
  EXPECT_EQ(directory.remembered(), 0u);
  tell(301, "s-1", "Ready");
  EXPECT_EQ(directory.remembered(), 3u);
}

// Hundreds of proxies would come back to a feed that was down in step, a hundred times a second each.
TEST(Feed, ComesBackMoreAndMoreSeldomToAFeedThatIsDownButOftenEnough) {
  runtime::Loop loop;
  settings::InForce site{settings::Site()};
  discovery::Directory directory(site);
  // A listening socket that hangs up on everyone.
  runtime::Listener down(loop, *runtime::Address::Parse("127.0.0.1:0"));
  std::vector<runtime::Time> came;
  const auto hang_up = [&]() -> runtime::Task<> {
    for (std::unique_ptr<runtime::Socket> socket;; socket.reset()) {
      if (co_await down.Accept(socket) == runtime::Io::kOk) came.push_back(runtime::Now());
    }
  };
  const auto watch = [&]() -> runtime::Task<> {
    co_await loop.Sleep(std::chrono::milliseconds(1500));
    loop.Stop();
  };
  discovery::Feed feed(
      loop, directory, down.address().Text(), [](const EngineList&) {}, 7);
  loop.Spawn(hang_up());
  loop.Spawn(feed.Run());
  loop.Spawn(watch());
  loop.Run();
  EXPECT_GE(came.size(), 10u) << "its return must be seen well within a drain's grace";
  EXPECT_LE(came.size(), 45u);
  for (std::size_t i = 6; i < came.size(); ++i) {
    EXPECT_GE(came[i] - came[i - 1], std::chrono::milliseconds(38)) << i;
  }
}

// Hundreds of idle connections wait with a buffer each.
TEST(Socket, ABufferThatWaitsForBytesHoldsNoMemoryForThem) {
  runtime::Loop loop;
  int ends[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
  runtime::Socket reader(loop, runtime::Descriptor(ends[0]));
  runtime::Descriptor writer(ends[1]);
  std::string in;
  std::size_t waiting = 0;
  const auto read = [&]() -> runtime::Task<> {
    while (co_await reader.Read(in, 16 * 1024, runtime::kNever) == runtime::Io::kOk) {
    }
    loop.Stop();
  };
  const auto write = [&]() -> runtime::Task<> {
    waiting = in.capacity();
    EXPECT_EQ(::send(writer.get(), "abc", 3, 0), 3);
    writer = runtime::Descriptor();
    co_return;
  };
  loop.Spawn(read());
  loop.Spawn(write());
  loop.Run();
  EXPECT_EQ(in, "abc");
  EXPECT_LT(waiting, 1024u);
}

}  // namespace
}  // namespace lemoncroft
