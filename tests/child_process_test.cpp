// Tests of fault_test::ChildProcess: what a child inherits.
#include "testing/fault_test/child_process.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <filesystem>
#include <string>
#include <system_error>

namespace lemoncroft {
namespace {

namespace fs = std::filesystem;

bool HasOpen(pid_t process, const fs::path& target) {
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator("/proc/" + std::to_string(process) + "/fd", ignored)) {
    if (fs::read_symlink(entry.path(), ignored) == target) return true;
  }
  return false;
}

// A copy that outlived the parent's would keep the closed socket in the parent's epoll set.
TEST(ChildProcess, Started_HoldsNoSocketOfItsParent) {
  constexpr int kStarts = 20;
  runtime::Loop loop;
  for (int i = 0; i < kStarts; ++i) {
    const runtime::Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    ASSERT_TRUE(socket);
    const fs::path target = fs::read_symlink("/proc/self/fd/" + std::to_string(socket.get()));
    fault_test::Command command;
    command.arguments = {"/bin/sleep", "10"};
    const fault_test::ChildProcess child(loop, command, [](const std::string&) {});
    EXPECT_FALSE(HasOpen(child.pid(), target)) << "start " << i;
  }
}

}  // namespace
}  // namespace lemoncroft
