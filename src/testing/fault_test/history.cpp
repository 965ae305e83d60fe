#include "testing/fault_test/history.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <set>

#include "testing/fault_test/forged_member_names.h"
#include "testing/fault_test/lease_history.h"

namespace lemoncroft::fault_test {
namespace {

double Ms(Span span) { return std::chrono::duration<double, std::milli>(span).count(); }

std::string Seconds(Time at, Time start) {
  char text[32];
  std::snprintf(text, sizeof text, "%9.3f", std::chrono::duration<double>(at - start).count());
  return text;
}

bool Adds(const std::string& event) {
  return event == "joined" || event == "returned" || event == "refuted" || event == "changed";
}

bool Removes(const std::string& event) { return event == "failed" || event == "left"; }

}  // namespace

void History::RecordLogLine(std::size_t process, std::string_view line, Time now) {
  const std::size_t listens = line.find("listens on ");
  if (line.find(" fleet ") != std::string_view::npos && listens != std::string_view::npos) {
    const std::size_t at = line.find(", id ");
    if (at != std::string_view::npos) processes[process].id = std::string(line.substr(at + 5));
    return;
  }
  if (line.find(" peers event=") == std::string_view::npos) return;
  ObservedEvent event;
  event.observer = process;
  event.kind = LogField(line, "event");
  event.id = LogField(line, "id");
  event.name = LogField(line, "name");
  event.phase = LogField(line, "phase");
  const std::string stamp = LogField(line, "mono_us");
  std::int64_t us = 0;
  std::from_chars(stamp.data(), stamp.data() + stamp.size(), us);
  event.at = us > 0 ? Time(std::chrono::microseconds(us)) : now;
  events.push_back(std::move(event));
}

bool History::Undisturbed(const ProcessRecord& process, Time from, Time to) const {
  for (const auto& [since, until] : process.stalls)
    if (since <= to && until >= from) return false;
  return std::none_of(fault_intervals.begin(), fault_intervals.end(),
                      [&](const FaultInterval& t) { return t.from <= to && t.until.value_or(end) >= from; });
}

// One pass over the events, then the final views and the crashes; not split yet.
// NOLINTNEXTLINE(readability-function-size)
TrialOutcome History::Check(Span period, const Slack& slack) const {
  TrialOutcome out;
  const auto periods = [period](double n) {
    return Span(static_cast<Span::rep>(n * static_cast<double>(period.count())));
  };
  std::map<std::string, std::size_t> by_id;
  for (std::size_t i = 0; i < processes.size(); ++i) by_id[processes[i].id] = i;
  std::vector<ObservedEvent> all = events;
  std::stable_sort(all.begin(), all.end(),
                   [](const ObservedEvent& a, const ObservedEvent& b) { return a.at < b.at; });

  std::vector<std::set<std::string>> views(processes.size());
  std::vector<Time> last_change(processes.size(), Time());
  std::map<std::size_t, std::map<std::size_t, Time>> failure_seen;  // of a process, by whom
  std::map<std::pair<std::size_t, std::size_t>, bool>
      believed_alive;  // a process, by another: when it ended, was it alive there
  for (const ObservedEvent& event : all) {
    if (IsForgedMember(event.name)) continue;
    const ProcessRecord& observer = processes[event.observer];
    const auto about = by_id.find(event.id);
    const ProcessRecord* of = about == by_id.end() ? nullptr : &processes[about->second];
    if (Adds(event.kind) && views[event.observer].insert(event.id).second)
      last_change[event.observer] = event.at;
    if (Removes(event.kind) && views[event.observer].erase(event.id) > 0)
      last_change[event.observer] = event.at;
    if (of != nullptr && (!of->ended || event.at <= *of->ended) && (Adds(event.kind) || Removes(event.kind)))
      believed_alive[{about->second, event.observer}] = Adds(event.kind);
    if (event.kind == "joined" && of == nullptr)
      out.violations.push_back(observer.label + " took in " + event.name + ", whom nobody started");
    if (event.kind == "joined" && of != nullptr && event.at - of->started < periods(slack.detection_periods))
      out.join_ms.push_back(Ms(event.at - of->started));
    if (event.kind == "failed" && of != nullptr) {
      const std::size_t subject = about->second;
      if (of->killed && of->ended && event.at >= *of->ended)
        failure_seen[subject].try_emplace(event.observer, event.at);
      // Who lives, is not held and can be reached is not called failed; who left in peace neither.
      const Time window = event.at - periods(slack.fault_aftermath_periods);
      const bool there = !of->ended || *of->ended > event.at;
      const bool in_peace = Undisturbed(*of, window, event.at) && Undisturbed(observer, window, event.at);
      const bool left = of->termination_requested && !of->killed;
      if (in_peace && (there || left) && of->started < window)
        out.violations.push_back(observer.label + " called " + of->label + " failed, which " +
                                 (there ? "lived" : "had left"));
    }
    if (event.kind == "held" && Undisturbed(observer, event.at - periods(4) - slack.scheduling, event.at))
      out.void_reasons.push_back("the machine held " + observer.label);
  }
  // At the end all agree, on just those that live.
  std::set<std::string> living;
  for (const ProcessRecord& process : processes)
    if (!process.ended) living.insert(process.id);
  Time agreed = last_fault;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (processes[i].ended) continue;
    std::set<std::string> expected = living;
    expected.erase(processes[i].id);
    views[i].erase(processes[i].id);
    if (views[i] != expected) {
      std::string differs;
      for (const ProcessRecord& process : processes)
        if (expected.contains(process.id) != views[i].contains(process.id))
          differs += (views[i].contains(process.id) ? " +" : " -") + process.label;
      out.violations.push_back("at the end the view of " + processes[i].label + " is wrong:" + differs);
    }
    agreed = std::max(agreed, last_change[i]);
  }
  out.settle_ms = Ms(agreed - last_fault);
  if (agreed - last_fault > periods(slack.settle_periods) + slack.scheduling)
    out.violations.push_back("views settled " + std::to_string(out.settle_ms) + " ms after the last fault");
  // A crash is known to all who can know.
  for (std::size_t i = 0; i < processes.size(); ++i) {
    const ProcessRecord& process = processes[i];
    if (!process.killed || !process.ended) continue;
    const Time last = *process.ended + periods(slack.detection_periods) + slack.scheduling;
    for (std::size_t j = 0; j < processes.size(); ++j) {
      const ProcessRecord& other = processes[j];
      const auto alive =
          believed_alive.find({i, j});  // who had never heard of it, or given it up, has nothing to learn
      if (j == i || other.ended || alive == believed_alive.end() || !alive->second) continue;
      if (!Undisturbed(other, *process.ended - periods(slack.fault_aftermath_periods), std::min(last, end)) ||
          end < last)
        continue;
      const auto heard = failure_seen[i].find(j);
      if (heard == failure_seen[i].end() || heard->second > last)
        out.violations.push_back(other.label + " did not learn in time that " + process.label +
                                 " was killed");
      else
        out.detect_ms.push_back(Ms(heard->second - *process.ended));
    }
  }
  return out;
}

std::string History::ToText(Time start) const {
  std::vector<std::pair<Time, std::string>> lines;
  for (const ProcessRecord& process : processes) {
    lines.emplace_back(process.started, "started " + process.label + " " + process.id);
    if (process.termination_requested)
      lines.emplace_back(*process.termination_requested, "told to end " + process.label);
    if (process.ended)
      lines.emplace_back(*process.ended, (process.killed ? "killed " : "ended ") + process.label);
    for (const auto& [from, until] : process.stalls) {
      lines.emplace_back(from, "held " + process.label);
      lines.emplace_back(until, "let go " + process.label);
    }
  }
  for (const FaultInterval& t : fault_intervals) {
    lines.emplace_back(t.from, "trouble begins");
    if (t.until) lines.emplace_back(*t.until, "trouble ends");
  }
  for (const ObservedEvent& event : events)
    lines.emplace_back(event.at, "  " + processes[event.observer].label + ": " + event.kind + " " +
                                     event.name + " " + event.id);
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::string out;
  for (const auto& [at, line] : lines) out += Seconds(at, start) + " " + line + "\n";
  return out;
}

}  // namespace lemoncroft::fault_test
