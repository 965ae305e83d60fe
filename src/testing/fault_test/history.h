// The history of a trial: the events of its processes and the reports of these processes about each other,
// on one clock. Checks both against the rules of the membership view (docs/gossip.md).
//
// Has no I/O and no clock of its own: the TrialRunner and its parts record their actions and the log lines
// of the processes; Check() evaluates all records afterwards. Times are CLOCK_MONOTONIC, which all
// processes of a machine share. Slack defines the tolerances for real processes on a shared machine;
// tests/gossip_test.cpp verifies the tight bounds in virtual time.
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
  std::string id;  // its instance id, once the process has logged it
  Time started{};
  std::optional<Time> termination_requested;  // by SIGTERM
  std::optional<Time> ended;                  // for any reason
  bool killed = false;                        // by SIGKILL
  std::vector<std::pair<Time, Time>> stalls;  // from SIGSTOP to SIGCONT
};

// A change of a process's membership view, as logged by that process.
struct ObservedEvent {
  Time at{};
  std::size_t observer = 0;  // index of the process in History::processes
  std::string kind;          // "joined", "failed", ...
  std::string id, name;      // of the member that changed
};

// An interval in which links were so bad that a running process may legitimately be declared failed.
struct FaultInterval {
  Time from{};
  std::optional<Time> until;  // absent while the interval lasts
};

// Tolerances by which real processes may exceed the protocol's own times.
struct Slack {
  // For writing a log line, a turn of the loop, or the start of a process.
  Duration scheduling = std::chrono::milliseconds(250);
  // In gossip periods:
  double settle_periods = 20;           // from the last fault until all views agree
  double detection_periods = 25;        // from a crash until all processes that can detect it have done so
  double fault_aftermath_periods = 25;  // time for which a fault may have effects after its end
};

struct TrialOutcome {
  std::vector<std::string> violations;    // each names a violated rule and its cause
  std::vector<std::string> void_reasons;  // reasons why the machine was too slow for a valid result
  std::vector<double> detect_ms;  // from each crash until its detection, by each process that detected it
  std::vector<double> join_ms;    // from each start until its detection, by each process that detected it
  double settle_ms = 0;           // from the last fault until all views agreed
};

class History {
 public:
  std::vector<ProcessRecord> processes;
  std::vector<ObservedEvent> events;
  std::vector<FaultInterval> fault_intervals;
  Time last_fault{};
  Time end{};

  // Records a process's log line if it is about the membership view. `now` is used if the line contains no
  // time.
  void RecordLogLine(std::size_t process, std::string_view line, Time now);
  TrialOutcome Check(Duration gossip_period, const Slack& slack) const;
  // Returns one line per event in chronological order, each with the seconds since `start`.
  std::string ToText(Time start) const;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_HISTORY_H_
