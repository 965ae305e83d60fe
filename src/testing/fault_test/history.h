// What happened to the processes of a trial and what they reported of each other, in one clock; and the
// check of both against the rules of the membership view (docs/gossip.md).
//
// No I/O and no clock of its own: the TrialRunner and its parts record what they do and the log lines of
// the processes; Check() looks at all of it afterwards. Times are of CLOCK_MONOTONIC, which all processes
// of a machine share. Slack states what real processes on a shared machine are allowed;
// tests/gossip_test.cpp proves the tight bounds in virtual time.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_HISTORY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_HISTORY_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "runtime/loop.h"

namespace lemoncroft::fault_test {

using runtime::Duration;
using runtime::Time;

// One process that the trial started.
struct ProcessRecord {
  std::string label;  // unique in the trial
  std::string name;
  std::string id;  // its instance id, once it has logged it
  Time started{};
  std::optional<Time> termination_requested;  // by SIGTERM
  std::optional<Time> ended;                  // for whatever reason
  bool killed = false;                        // by SIGKILL
  std::vector<std::pair<Time, Time>> stalls;  // from SIGSTOP to SIGCONT
};

// A change of a process's view, as it logged it.
struct ObservedEvent {
  Time at{};
  std::size_t observer = 0;  // index of the process in History::processes
  std::string kind;          // "joined", "failed", ...
  std::string id, name;      // of the member that changed
};

// A time in which links were so bad that a running process may rightly be declared failed.
struct FaultInterval {
  Time from{};
  std::optional<Time> until;  // absent while it lasts
};

// By how much real processes may exceed what the protocol takes.
struct Slack {
  // For a log line, a turn of the loop, the start of a process.
  Duration scheduling = std::chrono::milliseconds(250);
  // In gossip periods:
  double settle_periods = 20;           // from the last fault until all views agree
  double detection_periods = 25;        // from a crash until all that can know of it do
  double fault_aftermath_periods = 25;  // for which a fault that has ended may still have effects
};

struct TrialOutcome {
  std::vector<std::string> violations;    // each a broken rule and what broke it
  std::vector<std::string> void_reasons;  // why the machine was too slow for the trial to count
  std::vector<double> detect_ms;          // from each crash until each process that noticed it
  std::vector<double> join_ms;            // from each start until each process that noticed it
  double settle_ms = 0;                   // from the last fault until all views agreed
};

class History {
 public:
  std::vector<ProcessRecord> processes;
  std::vector<ObservedEvent> events;
  std::vector<FaultInterval> fault_intervals;
  Time last_fault{};
  Time end{};

  // Records a process's log line if it is one of the membership view. `now` is used if the line has no
  // time.
  void RecordLogLine(std::size_t process, std::string_view line, Time now);
  TrialOutcome Check(Duration gossip_period, const Slack& slack) const;
  // A line for each event in the order of time, with seconds since `start`.
  std::string ToText(Time start) const;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_HISTORY_H_
