// One process under trial: started with descriptors and an environment of its own, ended by its id and no
// other way, and never left behind: the kernel ends it where the rig ends first.
//
// Owner: the rig. Errors: std::system_error where it can't be started.
#ifndef LEMONCROFT_TRIAL_PROCESS_H_
#define LEMONCROFT_TRIAL_PROCESS_H_

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
  std::vector<std::string> words;  // the program, its arguments
  std::vector<std::pair<std::string, std::string>> environment;
  int listening = -1;  // becomes descriptor 3; -1: none
};

class ChildProcess {
 public:
  // `line` is called with each line of its output, from a task on the loop. Returns once the child holds no
  // descriptor of the caller's but those that it was given.
  ChildProcess(runtime::Loop& loop, const Command& command, std::function<void(const std::string&)> line);
  ~ChildProcess();  // kills it where it still runs
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  bool Running();  // collects its exit code where it has ended
  // As waitpid tells; none while it runs.
  std::optional<int> ended() const { return status_; }

 private:
  static runtime::Task<> ReadLines(std::shared_ptr<runtime::Socket> output,
                                   std::function<void(const std::string&)> line);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TRIAL_PROCESS_H_
