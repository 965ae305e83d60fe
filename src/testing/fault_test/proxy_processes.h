// The proxy processes of a trial: starts them, sends them signals, reads their logs and notices their ends.
//
// Owned by the TrialRunner, on its loop. Ends only processes that it started, by their ids; those that
// still run at destruction are killed. What happens to a process is recorded in the History at once.
// Errors: std::system_error if a process cannot be started, ScriptError for a name without a machine.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_PROXY_PROCESSES_H_
#define LEMONCROFT_TESTING_FAULT_TEST_PROXY_PROCESSES_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "testing/fault_test/child_process.h"
#include "testing/fault_test/findings.h"
#include "testing/fault_test/history.h"
#include "testing/fault_test/script.h"
#include "testing/fault_test/trial_environment.h"

namespace lemoncroft::fault_test {

// How long a process may take to start serving.
inline constexpr Duration kStartTimeout = std::chrono::milliseconds(3000);

struct ProxyProcess {
  std::string name;
  std::string label;  // unique in the trial: "n3", "n3.2" the second process,
                      // "n3@6" on a machine of its own
  std::size_t machine = 0;
  int address_index = 0;   // which of the machine's two gossip addresses it uses
  std::size_t record = 0;  // its place in History::processes
  std::string admin_address;
  bool serves = false;  // its log says that it accepts clients
  std::unique_ptr<ChildProcess> child;
};

class ProxyProcesses {
 public:
  using LineHandler = std::function<void(const ProxyProcess&, const std::string& line)>;

  // The references must outlive this. `on_line` receives each log line after the History has.
  ProxyProcesses(runtime::Loop& loop, const Trial& trial, TrialEnvironment& environment, std::string program,
                 History& history, Findings& findings, LineHandler on_line);

  // Writes the machine's configuration and starts a process on it.
  ProxyProcess& Launch(const std::string& name, std::size_t machine, int address_index = 0);
  // The newest running process of that name; null if none runs.
  ProxyProcess* FindRunning(const std::string& name);
  // All processes in the order of their starts, with those that ended.
  const std::vector<std::unique_ptr<ProxyProcess>>& all() const { return processes_; }
  bool AllServe() const;
  bool HasEnded(const ProxyProcess& process) const { return RecordOf(process).ended.has_value(); }
  const ProcessRecord& RecordOf(const ProxyProcess& process) const {
    return history_.processes[process.record];
  }
  // Whether the log of any process of that name contains the text.
  bool HasLogged(const std::string& name, const std::string& text) const;

  void Kill(ProxyProcess& process);
  void Terminate(ProxyProcess& process);
  // Stops the process and resumes it after `duration`.
  void Stall(ProxyProcess& process, Duration duration);
  // Starts a successor, and terminates the process once that serves.
  void HotRestart(ProxyProcess& process);

  // Records processes that end, and how late this loop runs. Runs until the loop stops.
  runtime::Task<> Watch();

 private:
  ProcessRecord& MutableRecordOf(const ProxyProcess& process) { return history_.processes[process.record]; }
  Command CommandFor(const ProxyProcess& process) const;
  std::string LogPathOf(const ProxyProcess& process) const;
  void HandleLogLine(ProxyProcess& process, const std::string& line);
  void CheckEnded(ProxyProcess& process);
  runtime::Task<> ResumeAfter(ProxyProcess* process, Duration duration);
  runtime::Task<> TerminateOnceServing(ProxyProcess* predecessor, ProxyProcess* successor);

  runtime::Loop& loop_;
  const Trial& trial_;
  TrialEnvironment& environment_;
  std::string program_;
  History& history_;
  Findings& findings_;
  LineHandler on_line_;
  std::vector<std::unique_ptr<ProxyProcess>> processes_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_PROXY_PROCESSES_H_
