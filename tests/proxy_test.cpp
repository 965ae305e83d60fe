// Tests the memory usage of sockets, which no scenario can observe.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <string>

#include "runtime/loop.h"
#include "runtime/socket.h"

namespace lemoncroft {
namespace {

// Hundreds of idle connections wait for data, each with a buffer. The buffer must not be allocated before
// data arrives.
TEST(Socket, Read_WaitingForData_AllocatesNoBuffer) {
  runtime::Loop loop;
  int sockets[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
  runtime::Socket reader(loop, runtime::Descriptor(sockets[0]));
  runtime::Descriptor writer(sockets[1]);
  std::string received;
  std::size_t capacity_while_waiting = 0;
  const auto read = [&]() -> runtime::Task<> {
    while (co_await reader.Read(received, 16 * 1024, runtime::kNever) == runtime::IoResult::kOk) {
    }
    loop.Stop();
  };
  const auto write = [&]() -> runtime::Task<> {
    capacity_while_waiting = received.capacity();
    EXPECT_EQ(::send(writer.get(), "abc", 3, 0), 3);
    writer = runtime::Descriptor();
    co_return;
  };
  loop.Spawn(read());
  loop.Spawn(write());
  loop.Run();
  EXPECT_EQ(received, "abc");
  EXPECT_LT(capacity_while_waiting, 1024u);
}

}  // namespace
}  // namespace lemoncroft
