// The proxy processes of a trial: starts them, sends signals to them, reads their logs and detects when
// they end.
//
// Owned by the TrialRunner, on its loop. Ends only processes that it started, by their ids; processes that
// are still running on destruction are killed. Each event of a process is recorded in the History
// immediately. Throws std::system_error if a process cannot be started and ScriptError for a name without
// a machine.
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

// Maximum time from the start of a process until it serves clients.
inline constexpr Duration kStartTimeout = std::chrono::milliseconds(3000);

struct ProxyProcess {
  std::string name;
  // Unique in the trial: "n3"; "n3.2" for the second process; "n3@6" for one on a separate machine.
  std::string label;
  std::size_t machine = 0;
  int address_index = 0;   // of the machine's two gossip addresses: the one that the process uses
  std::size_t record = 0;  // index in History::processes
  std::string admin_address;
  bool serves = false;  // its log reports that it accepts clients
  std::unique_ptr<ChildProcess> child;
};

class ProxyProcesses {
 public:
  using LineHandler = std::function<void(const ProxyProcess&, const std::string& line)>;

  // The references must outlive this. `on_line` is called with each log line after the History has
  // recorded it.
  ProxyProcesses(runtime::Loop& loop, const Trial& trial, TrialEnvironment& environment, std::string program,
                 History& history, Findings& findings, LineHandler on_line);

  // Writes the machine's configuration and starts a process on it.
  ProxyProcess& Launch(const std::string& name, std::size_t machine, int address_index = 0);
  // Returns the newest running process of that name, or null if none is running.
  ProxyProcess* FindRunning(const std::string& name);
  // All processes in the order of their starts, including those that have ended.
  const std::vector<std::unique_ptr<ProxyProcess>>& all() const { return processes_; }
  bool AllServe() const;
  bool HasEnded(const ProxyProcess& process) const { return RecordOf(process).ended.has_value(); }
  const ProcessRecord& RecordOf(const ProxyProcess& process) const {
    return history_.processes[process.record];
  }
  // Returns true if the log of any process of that name contains the text.
  bool HasLogged(const std::string& name, const std::string& text) const;

  void Kill(ProxyProcess& process);
  void Terminate(ProxyProcess& process);
  // Stops the process and resumes it after `duration`.
  void Stall(ProxyProcess& process, Duration duration);
  // Starts a successor, and terminates the process once the successor serves clients.
  void HotRestart(ProxyProcess& process);

  // Records when processes end, and how late this loop runs. Runs until the loop stops.
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
