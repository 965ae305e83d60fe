// Checks a History against the rules of the membership view: no unknown member is admitted, no reachable
// member is declared failed, crashes are detected in time, and all views agree at the end.
//
// Used only by History::Check, once per object. Replays the events in chronological order, then checks the
// final views and the detection of crashes.
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
  // Returns true if, between `from` and `to`, the process was not stalled and no link was faulty.
  bool Undisturbed(const ProcessRecord& process, Time from, Time to) const;
  // Returns the process that an event is about, or null if none was started under that id.
  const ProcessRecord* SubjectOf(const ObservedEvent& event) const;

  const History& history_;
  Duration gossip_period_;
  Slack slack_;
  TrialOutcome out_;
  std::map<std::string, ProcessIndex> by_id_;
  // By process: the ids in its view, and the time of the last change of that view.
  std::vector<std::set<std::string>> views_;
  std::vector<Time> view_changed_at_;
  // By crashed process and observer: the time at which the observer declared the process failed after its
  // crash.
  std::map<ProcessIndex, std::map<ProcessIndex, Time>> failure_detected_at_;
  // By process and observer: true if the observer considered the process alive when the process ended.
  std::map<std::pair<ProcessIndex, ProcessIndex>, bool> believed_alive_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_HISTORY_CHECK_H_
