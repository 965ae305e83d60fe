#include "testing/fault_test/history_check.h"

#include <algorithm>
#include <chrono>

#include "testing/fault_test/forged_member_names.h"

namespace lemoncroft::fault_test {
namespace {

// Kinds of events in the proxy's log.
constexpr const char* kJoined = "joined";
constexpr const char* kReturned = "returned";
constexpr const char* kRefuted = "refuted";
constexpr const char* kChanged = "changed";
constexpr const char* kFailed = "failed";
constexpr const char* kLeft = "left";
constexpr const char* kPaused = "held";  // the process detected a pause of its own execution

// Maximum time, in gossip periods, from a stall by the trial to the process's report of a pause.
constexpr double kPauseReportPeriods = 4;

double Milliseconds(Duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

bool AddsMember(const ObservedEvent& event) {
  return event.kind == kJoined || event.kind == kReturned || event.kind == kRefuted || event.kind == kChanged;
}

bool RemovesMember(const ObservedEvent& event) { return event.kind == kFailed || event.kind == kLeft; }

}  // namespace

HistoryCheck::HistoryCheck(const History& history, Duration gossip_period, const Slack& slack)
    : history_(history),
      gossip_period_(gossip_period),
      slack_(slack),
      views_(history.processes.size()),
      view_changed_at_(history.processes.size(), Time()) {
  for (ProcessIndex i = 0; i < history.processes.size(); ++i) by_id_[history.processes[i].id] = i;
}

TrialOutcome HistoryCheck::Run() {
  std::vector<ObservedEvent> events = history_.events;
  std::stable_sort(events.begin(), events.end(),
                   [](const ObservedEvent& a, const ObservedEvent& b) { return a.at < b.at; });
  for (const ObservedEvent& event : events)
    if (!IsForgedMember(event.name)) Replay(event);
  CheckFinalViews();
  for (ProcessIndex i = 0; i < history_.processes.size(); ++i) CheckDetection(i);
  return out_;
}

void HistoryCheck::Replay(const ObservedEvent& event) {
  UpdateView(event);
  if (event.kind == kJoined) CheckJoin(event);
  if (event.kind == kFailed) CheckFailure(event);
  const ProcessRecord& observer = history_.processes[event.observer];
  const Time stalled_from = event.at - Periods(kPauseReportPeriods) - slack_.scheduling;
  if (event.kind == kPaused && Undisturbed(observer, stalled_from, event.at))
    out_.void_reasons.push_back("the machine paused " + observer.label);
}

void HistoryCheck::UpdateView(const ObservedEvent& event) {
  std::set<std::string>& view = views_[event.observer];
  const bool changed = (AddsMember(event) && view.insert(event.id).second) ||
                       (RemovesMember(event) && view.erase(event.id) > 0);
  if (changed) view_changed_at_[event.observer] = event.at;
  const ProcessRecord* subject = SubjectOf(event);
  if (subject == nullptr || (subject->ended && event.at > *subject->ended)) return;
  if (AddsMember(event) || RemovesMember(event))
    believed_alive_[{by_id_.at(event.id), event.observer}] = AddsMember(event);
}

void HistoryCheck::CheckJoin(const ObservedEvent& event) {
  const ProcessRecord* subject = SubjectOf(event);
  if (subject == nullptr) {
    out_.violations.push_back(history_.processes[event.observer].label + " admitted " + event.name +
                              ", which the trial did not start");
    return;
  }
  // A later event does not result from the start.
  const Duration latency = event.at - subject->started;
  if (latency < Periods(slack_.detection_periods)) out_.join_ms.push_back(Milliseconds(latency));
}

void HistoryCheck::CheckFailure(const ObservedEvent& event) {
  const ProcessRecord* subject = SubjectOf(event);
  if (subject == nullptr) return;
  const ProcessRecord& observer = history_.processes[event.observer];
  if (subject->killed && subject->ended && event.at >= *subject->ended)
    failure_detected_at_[by_id_.at(event.id)].try_emplace(event.observer, event.at);
  const Time from = event.at - Periods(slack_.fault_aftermath_periods);
  const bool running = !subject->ended || *subject->ended > event.at;
  const bool left = subject->termination_requested && !subject->killed;
  const bool undisturbed = Undisturbed(*subject, from, event.at) && Undisturbed(observer, from, event.at);
  if (undisturbed && (running || left) && subject->started < from)
    out_.violations.push_back(observer.label + " declared " + subject->label + " failed, which " +
                              (running ? "was running" : "had left"));
}

void HistoryCheck::CheckFinalViews() {
  std::set<std::string> running;
  for (const ProcessRecord& process : history_.processes)
    if (!process.ended) running.insert(process.id);
  Time agreed = history_.last_fault;
  for (ProcessIndex i = 0; i < history_.processes.size(); ++i) {
    if (history_.processes[i].ended) continue;
    CheckFinalView(i, running);
    agreed = std::max(agreed, view_changed_at_[i]);
  }
  const Duration settle = agreed - history_.last_fault;
  out_.settle_ms = Milliseconds(settle);
  if (settle > Periods(slack_.settle_periods) + slack_.scheduling)
    out_.violations.push_back("the views settled only " + std::to_string(out_.settle_ms) +
                              " ms after the last fault");
}

void HistoryCheck::CheckFinalView(ProcessIndex process, const std::set<std::string>& running) {
  // A process is no member of its own view.
  const std::string& own_id = history_.processes[process].id;
  std::set<std::string> expected = running;
  expected.erase(own_id);
  std::set<std::string>& view = views_[process];
  view.erase(own_id);
  if (view == expected) return;
  std::string differences;
  for (const ProcessRecord& other : history_.processes)
    if (expected.contains(other.id) != view.contains(other.id))
      differences += (view.contains(other.id) ? " +" : " -") + other.label;
  out_.violations.push_back("at the end of the trial, the view of " + history_.processes[process].label +
                            " is wrong:" + differences);
}

void HistoryCheck::CheckDetection(ProcessIndex crashed) {
  const ProcessRecord& subject = history_.processes[crashed];
  if (!subject.killed || !subject.ended) return;
  const Time deadline = *subject.ended + Periods(slack_.detection_periods) + slack_.scheduling;
  if (history_.end < deadline) return;
  const Time from = *subject.ended - Periods(slack_.fault_aftermath_periods);
  for (ProcessIndex i = 0; i < history_.processes.size(); ++i) {
    const ProcessRecord& observer = history_.processes[i];
    // An observer that did not consider the process alive has no crash to detect.
    const auto believed = believed_alive_.find({crashed, i});
    if (i == crashed || observer.ended || believed == believed_alive_.end() || !believed->second) continue;
    if (!Undisturbed(observer, from, deadline)) continue;
    const auto detected = failure_detected_at_[crashed].find(i);
    if (detected == failure_detected_at_[crashed].end() || detected->second > deadline)
      out_.violations.push_back(observer.label + " did not detect in time that " + subject.label +
                                " was killed");
    else
      out_.detect_ms.push_back(Milliseconds(detected->second - *subject.ended));
  }
}

Duration HistoryCheck::Periods(double count) const {
  return Duration(static_cast<Duration::rep>(count * static_cast<double>(gossip_period_.count())));
}

bool HistoryCheck::Undisturbed(const ProcessRecord& process, Time from, Time to) const {
  for (const auto& [since, until] : process.stalls)
    if (since <= to && until >= from) return false;
  return std::none_of(history_.fault_intervals.begin(), history_.fault_intervals.end(),
                      [&](const FaultInterval& interval) {
                        return interval.from <= to && interval.until.value_or(history_.end) >= from;
                      });
}

const ProcessRecord* HistoryCheck::SubjectOf(const ObservedEvent& event) const {
  const auto it = by_id_.find(event.id);
  return it == by_id_.end() ? nullptr : &history_.processes[it->second];
}

}  // namespace lemoncroft::fault_test
