// Plays a trial: starts real proxies on loopback behind the relay, brings the faults about, and writes down
// what happened.
//
// Contract. Ends only processes that it started, by their ids, and leaves none. Notes how late it ran itself:
// a trial that the machine held up is void. Owner: the command line. Errors: std::runtime_error where nothing
// can be started.
#ifndef LEMONCROFT_TRIAL_RIG_H_
#define LEMONCROFT_TRIAL_RIG_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/fault_test/acts.h"
#include "testing/fault_test/history.h"
#include "testing/fault_test/load.h"
#include "testing/fault_test/process.h"
#include "testing/fault_test/relay.h"
#include "testing/fault_test/script.h"
#include "testing/simulation/links.h"

namespace lemoncroft::fault_test {

class Rig {
 public:
  // `folder`: of its own, existing; logs and files of the processes stay there.
  Rig(const Trial& trial, std::string program, std::string folder);
  ~Rig();

  Outcome Play();
  const History& history() const { return history_; }
  Time started() const { return start_; }
  // Of each process that ran at the end: part of a core since its start; what one turn of the view takes.
  const std::vector<double>& cpu_percent() const { return cpu_percent_; }
  const std::vector<double>& turn_us() const { return turn_us_; }
  Tally tally() const;  // of all clients
  const Acts& acts() const { return acts_; }
  const ActsOutcome& acted() const { return acted_; }
  const std::vector<double>& change_ms() const { return change_ms_; }  // proposal to in force at all
  // Of a leader's end, until the next change is committed.
  const std::vector<double>& gap_ms() const { return gap_ms_; }
  // Of the side of a cut that has the most voters: what it served of what it was sent.
  const std::vector<double>& cut_shares() const { return cut_shares_; }
  double files_contradiction_ms() const { return files_contradiction_ms_; }

 private:
  struct Actor {
    std::string name, label;
    std::size_t machine = 0;
    int second = 0;
    std::size_t life = 0;
    std::string management;
    bool serves = false;
    std::unique_ptr<ChildProcess> process;
  };

  void TakePorts();
  std::string Folder(std::size_t machine) const;
  std::string RulesBlock(const std::string& folder) const;
  void WriteFiles(const std::string& name, std::size_t machine);
  Actor& Launch(const std::string& name, std::size_t machine, int second);
  Actor* Find(const std::string& name);  // that runs, the newest
  std::size_t MachineOf(const std::string& name) const;
  void Heard(Actor& actor, const std::string& line);
  bool Logged(const std::string& name, const std::string& text) const;
  void TakeFigures();
  void StartLoad();
  void CheckLoad();

  runtime::Task<> Direct();
  void Do(const Action& action);
  void Weather(const Action& action);
  runtime::Task<> Lie(std::size_t machine);
  void NoteTrouble();
  runtime::Task<> Resume(Actor* actor, Span after);
  runtime::Task<> Replace(Actor* old, Actor* fresh);
  runtime::Task<> Flap(std::size_t a, std::size_t b, Span each);
  runtime::Task<> Watch();
  runtime::Task<> Ask(std::size_t machine);

  // Operators, where there are rules.
  runtime::Task<> Operate();
  runtime::Task<> ProposeAt(std::string name, std::string text, std::uint64_t from);
  runtime::Task<> ReadAt(std::string name);
  runtime::Task<> ByHandAt(std::string name, std::string engine, bool out);
  runtime::Task<> VoterAt(std::string name, std::string way, std::string who);
  runtime::Task<std::string> Call(const std::string& name, std::string call);
  runtime::Task<> CheckRules();  // at the end, all healed
  void ChangeStore(const std::string& name, Verb verb);
  void CheckActs();
  void NoteCut(const Action& action);
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
  std::vector<std::unique_ptr<StandInEngine>> engines_;
  std::unique_ptr<StandInFeed> feed_;
  std::vector<std::unique_ptr<StandInClient>> clients_;  // of machine 1 and on
  std::vector<std::unique_ptr<Actor>> actors_;
  History history_;
  std::vector<std::string> voided_, broken_;
  std::vector<double> cpu_percent_, turn_us_;
  Acts acts_;
  ActsOutcome acted_;
  std::vector<double> change_ms_, gap_ms_;
  std::uint64_t newest_ = 0;  // as operators have been told
  std::uint64_t calls_ = 0, changes_ = 0;
  bool over_ = false;                  // operators stop
  std::vector<std::size_t> cut_side_;  // machines
  Tally cut_before_;
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
  bool parted_ = false, stormy_ = false;
  int flapping_ = 0;
  std::uint64_t heals_ = 0;
  std::size_t cuts_ = 0;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TRIAL_RIG_H_
