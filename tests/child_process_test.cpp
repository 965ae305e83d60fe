// Tests of the descriptors that a fault_test::ChildProcess inherits.
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

// A socket stays in the parent's epoll set after the parent has closed it, as long as a child holds a copy
// of it. The test guards against a child that has not yet closed its copies when the constructor returns.
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
