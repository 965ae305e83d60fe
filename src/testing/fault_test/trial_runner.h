// Plays a trial: starts real proxies on loopback behind the relay, brings the faults about, and writes down
// what happened.
//
// Contract. Ends only processes that it started, by their ids, and leaves none. Notes how late it ran itself:
// a trial that the machine held up is void. Owner: the command line. Errors: std::runtime_error where nothing
// can be started.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_TRIAL_RUNNER_H_
#define LEMONCROFT_TESTING_FAULT_TEST_TRIAL_RUNNER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/fault_test/child_process.h"
#include "testing/fault_test/history.h"
#include "testing/fault_test/lease_history.h"
#include "testing/fault_test/load.h"
#include "testing/fault_test/relay.h"
#include "testing/fault_test/script.h"
#include "testing/simulation/links.h"

namespace lemoncroft::fault_test {

class TrialRunner {
 public:
  // `folder`: of its own, existing; logs and files of the processes stay there.
  TrialRunner(const Trial& trial, std::string program, std::string folder);
  ~TrialRunner();

  TrialOutcome Play();
  const History& history() const { return history_; }
  Time started() const { return start_; }
  // Of each process that ran at the end: part of a core since its start; what one turn of the view takes.
  const std::vector<double>& cpu_percent() const { return cpu_percent_; }
  const std::vector<double>& turn_us() const { return turn_us_; }
  RequestCounts counts() const;  // of all clients
  const LeaseHistory& leases() const { return leases_; }
  const LeaseCheckResult& lease_result() const { return lease_result_; }
  const std::vector<double>& change_ms() const { return change_ms_; }  // proposal to in force at all
  // Of a leader's end, until the next change is committed.
  const std::vector<double>& gap_ms() const { return gap_ms_; }
  // Of the side of a cut that has the most voters: what it served of what it was sent.
  const std::vector<double>& cut_shares() const { return cut_shares_; }
  double files_contradiction_ms() const { return files_contradiction_ms_; }

 private:
  struct ProxyProcess {
    std::string name, label;
    std::size_t machine = 0;
    int second = 0;
    std::size_t record = 0;
    std::string management;
    bool serves = false;
    std::unique_ptr<ChildProcess> process;
  };

  void TakePorts();
  std::string Folder(std::size_t machine) const;
  std::string RulesBlock(const std::string& folder) const;
  void WriteFiles(const std::string& name, std::size_t machine);
  ProxyProcess& Launch(const std::string& name, std::size_t machine, int second);
  ProxyProcess* Find(const std::string& name);  // that runs, the newest
  std::size_t MachineOf(const std::string& name) const;
  void HandleLogLine(ProxyProcess& proxy, const std::string& line);
  bool Logged(const std::string& name, const std::string& text) const;
  void MeasureProcesses();
  void StartLoad();
  void CheckLoad();

  runtime::Task<> RunScript();
  void Do(const Action& action);
  void SetLinkConditions(const Action& action);
  runtime::Task<> ForgeMembers(std::size_t machine);
  void RecordLinkFaults();
  runtime::Task<> Resume(ProxyProcess* proxy, Span after);
  runtime::Task<> EndPredecessor(ProxyProcess* old, ProxyProcess* fresh);
  runtime::Task<> Flap(std::size_t a, std::size_t b, Span each);
  runtime::Task<> Watch();
  runtime::Task<> QueryReadiness(std::size_t machine);

  // Operators, where there are rules.
  runtime::Task<> Operate();
  runtime::Task<> ProposeAt(std::string name, std::string text, std::uint64_t from);
  runtime::Task<> ReadAt(std::string name);
  runtime::Task<> EjectAt(std::string name, std::string engine, bool out);
  runtime::Task<> ChangeVoterAt(std::string name, std::string way, std::string who);
  runtime::Task<std::string> Call(const std::string& name, std::string call);
  runtime::Task<> CheckReplicatedConfig();  // at the end, all healed
  void ChangeStore(const std::string& name, ActionType type);
  void CheckLeases();
  void MeasureAvailability(const Action& action);
  runtime::Task<> PushFiles();
  void CheckFiles();

  Trial trial_;
  std::string program_, folder_;
  runtime::Loop loop_;
  simulation::Links links_;
  std::uint16_t port_ = 0;
  runtime::Descriptor lock_;
  std::vector<runtime::Descriptor> listening_;  // the clients' of each machine
  std::unique_ptr<Relay> relay_;
  std::vector<std::unique_ptr<EmulatedEngine>> engines_;
  std::unique_ptr<EmulatedControlFeed> feed_;
  std::vector<std::unique_ptr<LoadClient>> clients_;  // of machine 1 and on
  std::vector<std::unique_ptr<ProxyProcess>> proxies_;
  History history_;
  std::vector<std::string> void_reasons_, violations_;
  std::vector<double> cpu_percent_, turn_us_;
  LeaseHistory leases_;
  LeaseCheckResult lease_result_;
  std::vector<double> change_ms_, gap_ms_;
  std::uint64_t newest_ = 0;  // as operators have been told
  std::uint64_t calls_ = 0, changes_ = 0;
  bool over_ = false;                  // operators stop
  std::vector<std::size_t> cut_side_;  // machines
  RequestCounts cut_before_;
  std::vector<double> cut_shares_;
  struct Adopted {
    Time at{};
    std::size_t machine = 0;
    std::uint64_t version = 0;
  };
  std::vector<Adopted> adopted_;                 // files
  std::map<std::size_t, std::uint64_t> pushed_;  // by machine
  double files_contradiction_ms_ = 0;
  Time start_{};
  bool partitioned_ = false, lossy_ = false;
  int flapping_ = 0;
  std::uint64_t heals_ = 0;
  std::size_t cuts_ = 0;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_TRIAL_RUNNER_H_
