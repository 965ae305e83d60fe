// Tests the memory usage of sockets and of skipped frames, which no scenario can observe.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <string>

#include "codec/frame.h"
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

// Guards against memory that a dropped frame keeps, and against frames after it that are read wrongly: the
// frame is skipped after each of its bytes, and the rest comes in pieces of each size.
TEST(FrameReader, FrameSkippedAtAnyByte_FreesBufferAndReadsNextFrame) {
  constexpr std::size_t kHeaderBytes = 9;
  std::string frames;
  codec::WriteFrame(frames, codec::kRequestFrame, 7, std::string(100, 'x'));
  const std::size_t first_bytes = frames.size();
  codec::WriteFrame(frames, codec::kReadinessRequestFrame, 8, "");
  for (std::size_t at = 0; at < first_bytes; ++at) {
    for (std::size_t piece = 1; piece <= frames.size() - at; ++piece) {
      codec::FrameReader reader;
      codec::Frame frame;
      std::string buffer = frames.substr(0, at);
      ASSERT_EQ(reader.SkipFrame(buffer), at >= kHeaderBytes);
      if (at < kHeaderBytes) continue;
      EXPECT_EQ(buffer.capacity(), std::string().capacity());
      std::string read;
      for (std::size_t from = at; from < frames.size(); from += piece) {
        buffer += frames.substr(from, piece);
        for (;;) {
          const auto result = reader.Next(buffer, frame);
          if (result == codec::FrameReader::Result::kNeedMore) break;
          read += (result == codec::FrameReader::Result::kSkippedFrame ? "skipped " : "frame ") +
                  std::to_string(frame.stream) + ";";
        }
        reader.Compact(buffer);
      }
      ASSERT_EQ(read, "skipped 7;frame 8;") << at << " " << piece;
      ASSERT_FALSE(reader.skips_frame());
    }
  }
}

}  // namespace
}  // namespace lemoncroft
