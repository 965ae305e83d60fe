#include "testing/fault_test/history.h"

#include <algorithm>
#include <cstdio>

#include "testing/fault_test/history_check.h"
#include "testing/fault_test/log_fields.h"

namespace lemoncroft::fault_test {
namespace {

// Texts of the proxy's log.
constexpr std::string_view kFleetText = " fleet ", kListensText = "listens on ", kInstanceIdText = ", id ";
constexpr std::string_view kViewEventText = " peers event=";

std::string Seconds(Time at, Time start) {
  char text[32];
  std::snprintf(text, sizeof text, "%9.3f", std::chrono::duration<double>(at - start).count());
  return text;
}

using TimedLines = std::vector<std::pair<Time, std::string>>;

void AppendProcess(const ProcessRecord& process, TimedLines& lines) {
  lines.emplace_back(process.started, "started " + process.label + " " + process.id);
  if (process.termination_requested)
    lines.emplace_back(*process.termination_requested, "sent SIGTERM to " + process.label);
  if (process.ended)
    lines.emplace_back(*process.ended, (process.killed ? "killed " : "ended ") + process.label);
  for (const auto& [from, until] : process.stalls) {
    lines.emplace_back(from, "stalled " + process.label);
    lines.emplace_back(until, "resumed " + process.label);
  }
}

}  // namespace

void History::RecordLogLine(std::size_t process, std::string_view line, Time now) {
  if (line.find(kFleetText) != std::string_view::npos && line.find(kListensText) != std::string_view::npos) {
    const std::size_t at = line.find(kInstanceIdText);
    if (at != std::string_view::npos)
      processes[process].id = std::string(line.substr(at + kInstanceIdText.size()));
    return;
  }
  if (line.find(kViewEventText) == std::string_view::npos) return;
  ObservedEvent event;
  event.observer = process;
  event.kind = LogField(line, "event");
  event.id = LogField(line, "id");
  event.name = LogField(line, "name");
  const Time logged = LogTime(line);
  event.at = logged > Time() ? logged : now;
  events.push_back(std::move(event));
}

TrialOutcome History::Check(Duration gossip_period, const Slack& slack) const {
  return HistoryCheck(*this, gossip_period, slack).Run();
}

std::string History::ToText(Time start) const {
  TimedLines lines;
  for (const ProcessRecord& process : processes) AppendProcess(process, lines);
  for (const FaultInterval& interval : fault_intervals) {
    lines.emplace_back(interval.from, "link faults begin");
    if (interval.until) lines.emplace_back(*interval.until, "link faults end");
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
