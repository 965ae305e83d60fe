// A child process: started with chosen descriptors and environment, signalled by its id alone, and never
// left behind: the destructor kills it, and the kernel does if this process ends first.
//
// Owned by ProxyProcesses, on its loop. Errors: std::system_error if the process cannot be started.
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

// What to run.
struct Command {
  std::vector<std::string> arguments;  // the first one is the program
  std::vector<std::pair<std::string, std::string>> environment;
  int inherited_listener = -1;  // becomes the child's descriptor 3; -1: none
};

class ChildProcess {
 public:
  using LineHandler = std::function<void(const std::string&)>;

  // Calls `on_line` from a task on the loop for each line of the child's output. Returns once the child
  // holds no descriptor of this process but those that it was given.
  ChildProcess(runtime::Loop& loop, const Command& command, LineHandler on_line);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Whether it still runs; collects its status if not.
  bool IsRunning();
  // The status that waitpid returned; none while it runs.
  std::optional<int> exit_status() const { return status_; }

 private:
  static runtime::Task<> ReadLines(std::shared_ptr<runtime::Socket> output, LineHandler on_line);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_CHILD_PROCESS_H_
