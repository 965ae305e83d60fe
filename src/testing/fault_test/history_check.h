// Checks a History against the rules of the membership view: nobody unknown is admitted, nobody reachable
// is declared failed, crashes are detected in time, and all views agree at the end.
//
// Used by History::Check alone, once per object. Replays the events in the order of time, then looks at the
// views and crashes.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_HISTORY_CHECK_H_
#define LEMONCROFT_TESTING_FAULT_TEST_HISTORY_CHECK_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testing/fault_test/history.h"

namespace lemoncroft::fault_test {

class HistoryCheck {
 public:
  // `history` must outlive this.
  HistoryCheck(const History& history, Duration gossip_period, const Slack& slack);
  TrialOutcome Run();

 private:
  using ProcessIndex = std::size_t;  // in History::processes

  void Replay(const ObservedEvent& event);
  void UpdateView(const ObservedEvent& event);
  void CheckJoin(const ObservedEvent& event);
  void CheckFailure(const ObservedEvent& event);
  void CheckFinalViews();
  void CheckFinalView(ProcessIndex process, const std::set<std::string>& running);
  void CheckDetection(ProcessIndex crashed);

  Duration Periods(double count) const;
  // Whether the process was not stalled and no link was faulty.
  bool Undisturbed(const ProcessRecord& process, Time from, Time to) const;
  // The process that an event is about; null if none was started under that id.
  const ProcessRecord* SubjectOf(const ObservedEvent& event) const;

  const History& history_;
  Duration gossip_period_;
  Slack slack_;
  TrialOutcome out_;
  std::map<std::string, ProcessIndex> by_id_;
  // Of each process: the ids in its view, and when that last changed.
  std::vector<std::set<std::string>> views_;
  std::vector<Time> view_changed_at_;
  // Of each process, by observer: when it was declared failed after its crash.
  std::map<ProcessIndex, std::map<ProcessIndex, Time>> failure_detected_at_;
  // Of a process and an observer: whether the observer held it for alive when it ended.
  std::map<std::pair<ProcessIndex, ProcessIndex>, bool> believed_alive_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_HISTORY_CHECK_H_
