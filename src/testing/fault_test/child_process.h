// A child process that is started with a given environment and a given set of descriptors. Signals are
// sent to its process id only. The child is never left running: the destructor kills it, and the kernel
// kills it if this process ends first.
//
// Owned by ProxyProcesses, on its loop. The constructor throws std::system_error if the process cannot be
// started.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_CHILD_PROCESS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_CHILD_PROCESS_H_

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runtime/socket.h"

namespace lemoncroft::fault_test {

// The program to run, with its arguments, environment and inherited listener.
struct Command {
  std::vector<std::string> arguments;  // the first one is the path of the program
  std::vector<std::pair<std::string, std::string>> environment;
  int inherited_listener = -1;  // becomes descriptor 3 of the child; -1: none
};

class ChildProcess {
 public:
  using LineHandler = std::function<void(const std::string&)>;

  // Starts the process. Returns once the child holds no descriptors of this process other than those
  // passed to it. A task on the loop calls `on_line` for each line of the child's output.
  ChildProcess(runtime::Loop& loop, const Command& command, LineHandler on_line);
  // Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Returns true if the process is still running. Otherwise collects its exit status.
  bool IsRunning();
  // The status that waitpid returned; empty while the process is running.
  std::optional<int> exit_status() const { return status_; }

 private:
  static runtime::Task<> ReadLines(std::shared_ptr<runtime::Socket> output, LineHandler on_line);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_CHILD_PROCESS_H_
