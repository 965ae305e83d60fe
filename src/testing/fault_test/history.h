// What happened in a trial, in one clock, and whether it keeps the rules of the view.
//
// Contract. No I/O, no clock: the rig notes acts and what processes said, Check looks at all of it
// afterwards. Times are of CLOCK_MONOTONIC, which all processes of a machine share. The slack that real
// processes are given is stated in Slack; tight figures are proven in virtual time.
#ifndef LEMONCROFT_TRIAL_HISTORY_H_
#define LEMONCROFT_TRIAL_HISTORY_H_

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

// One life of a process, as the rig made it.
struct ActiveRequest {
  std::string label;  // "n3", "n3+" beside it, ...
  std::string name;
  std::string id;  // as it tells, once it does
  Time started{};
  std::optional<Time> told_to_end, ended;  // by SIGTERM; whatever ended it
  bool killed = false;
  std::vector<std::pair<Time, Time>> stalls;  // while the rig held it
};

// What a process told of another.
struct Told {
  Time at{};
  std::size_t by = 0;  // the life that told it
  std::string event, id, name, phase;
};

// A span in which links or machines were not well.
struct Trouble {
  Time from{};
  std::optional<Time> until;
};

struct Slack {
  Span real = std::chrono::milliseconds(250);  // for a log line, a turn of the loop, a process that starts
  double settle = 20;                          // periods from the last fault
  double detect = 25;                          // from a crash until all that can know do
  double trouble = 25;                         // for which a trouble that is over may still have effects
};

struct Outcome {
  std::vector<std::string> broken;  // rules, each with what broke it
  std::vector<std::string> voided;  // why the machine makes it worth nothing
  std::vector<double> detect_ms, join_ms;
  double settle_ms = 0;
};

class History {
 public:
  std::vector<ActiveRequest> lives;
  std::vector<Told> told;
  std::vector<Trouble> troubles;
  Time last_fault{};
  Time end{};

  // Takes in a process's log line, where it is of the view.
  void Hear(std::size_t life, std::string_view line, Time now);
  Outcome Check(Span period, const Slack& slack) const;
  std::string Text(Time start) const;  // for a reader, by time

 private:
  bool Quiet(const ActiveRequest& life, Time from, Time to) const;  // not held, and no link in trouble
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TRIAL_HISTORY_H_
