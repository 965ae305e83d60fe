// What happened in a trial, in one clock, and whether it keeps the rules of the view.
//
// Contract. No I/O, no clock: the trial runner records actions and what processes said, Check looks at all
// of it afterwards. Times are of CLOCK_MONOTONIC, which all processes of a machine share. The slack that
// real processes are given is stated in Slack; tight figures are proven in virtual time.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_HISTORY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/loop.h"

namespace lemoncroft::fault_test {

using runtime::Span;
using runtime::Time;

// One process that the trial started.
struct ProcessRecord {
  std::string label;  // "n3", "n3+" beside it, ...
  std::string name;
  std::string id;  // as it tells, once it does
  Time started{};
  std::optional<Time> termination_requested, ended;  // by SIGTERM; whatever ended it
  bool killed = false;
  std::vector<std::pair<Time, Time>> stalls;  // while the trial runner held it
};

// What a process reported of another.
struct ObservedEvent {
  Time at{};
  std::size_t observer = 0;  // the process that reported it
  std::string kind, id, name, phase;
};

// A span in which links or machines were not well.
struct FaultInterval {
  Time from{};
  std::optional<Time> until;
};

struct Slack {
  Span scheduling =
      std::chrono::milliseconds(250);   // for a log line, a turn of the loop, a process that starts
  double settle_periods = 20;           // periods from the last fault
  double detection_periods = 25;        // from a crash until all that can know do
  double fault_aftermath_periods = 25;  // for which a trouble that is over may still have effects
};

struct TrialOutcome {
  std::vector<std::string> violations;    // rules, each with what broke it
  std::vector<std::string> void_reasons;  // why the machine makes it worth nothing
  std::vector<double> detect_ms, join_ms;
  double settle_ms = 0;
};

class History {
 public:
  std::vector<ProcessRecord> processes;
  std::vector<ObservedEvent> events;
  std::vector<FaultInterval> fault_intervals;
  Time last_fault{};
  Time end{};

  // Takes in a process's log line, where it is of the view.
  void RecordLogLine(std::size_t process, std::string_view line, Time now);
  TrialOutcome Check(Span period, const Slack& slack) const;
  std::string ToText(Time start) const;  // for a reader, by time

 private:
  bool Undisturbed(const ProcessRecord& process, Time from,
                   Time to) const;  // not held, and no link in trouble
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_HISTORY_H_
