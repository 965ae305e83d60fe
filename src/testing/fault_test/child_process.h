// One process under trial: started with descriptors and an environment of its own, ended by its id and no
// other way, and never left behind: the kernel ends it where the trial runner ends first.
//
// Owner: the trial runner. Errors: std::system_error where it can't be started.
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

struct Command {
  std::vector<std::string> arguments;  // the program, its arguments
  std::vector<std::pair<std::string, std::string>> environment;
  int inherited_listener = -1;  // becomes descriptor 3; -1: none
};

class ChildProcess {
 public:
  // `on_line` is called with each line of its output, from a task on the loop. Returns once the child holds
  // no descriptor of the caller's but those that it was given.
  ChildProcess(runtime::Loop& loop, const Command& command, std::function<void(const std::string&)> on_line);
  ~ChildProcess();  // kills it where it still runs
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  bool Running();  // collects its exit code where it has ended
  // As waitpid tells; none while it runs.
  std::optional<int> exit_status() const { return status_; }

 private:
  static runtime::Task<> ReadLines(std::shared_ptr<runtime::Socket> output,
                                   std::function<void(const std::string&)> on_line);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_CHILD_PROCESS_H_
