#include "testing/fault_test/history.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <set>

#include "testing/fault_test/acts.h"

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

// Names that the rig itself invented, to be found out.
bool Invented(const std::string& name) { return name.starts_with("lie-") || name == "liar"; }

bool Removes(const std::string& event) { return event == "failed" || event == "left"; }

}  // namespace

void History::Hear(std::size_t life, std::string_view line, Time now) {
  const std::size_t listens = line.find("listens on ");
  if (line.find(" fleet ") != std::string_view::npos && listens != std::string_view::npos) {
    const std::size_t at = line.find(", id ");
    if (at != std::string_view::npos) lives[life].id = std::string(line.substr(at + 5));
    return;
  }
  if (line.find(" peers event=") == std::string_view::npos) return;
  Told one;
  one.by = life;
  one.event = FieldOf(line, "event");
  one.id = FieldOf(line, "id");
  one.name = FieldOf(line, "name");
  one.phase = FieldOf(line, "phase");
  const std::string stamp = FieldOf(line, "mono_us");
  std::int64_t us = 0;
  std::from_chars(stamp.data(), stamp.data() + stamp.size(), us);
  one.at = us > 0 ? Time(std::chrono::microseconds(us)) : now;
  told.push_back(std::move(one));
}

bool History::Quiet(const ActiveRequest& life, Time from, Time to) const {
  for (const auto& [since, until] : life.stalls)
    if (since <= to && until >= from) return false;
  return std::none_of(troubles.begin(), troubles.end(),
                      [&](const Trouble& t) { return t.from <= to && t.until.value_or(end) >= from; });
}

// One pass over the events, then the final views and the crashes; not split yet.
// NOLINTNEXTLINE(readability-function-size)
Outcome History::Check(Span period, const Slack& slack) const {
  Outcome out;
  const auto periods = [period](double n) {
    return Span(static_cast<Span::rep>(n * static_cast<double>(period.count())));
  };
  std::map<std::string, std::size_t> by_id;
  for (std::size_t i = 0; i < lives.size(); ++i) by_id[lives[i].id] = i;
  std::vector<Told> all = told;
  std::stable_sort(all.begin(), all.end(), [](const Told& a, const Told& b) { return a.at < b.at; });

  std::vector<std::set<std::string>> views(lives.size());
  std::vector<Time> agreed_since(lives.size(), Time());
  std::map<std::size_t, std::map<std::size_t, Time>> heard_failed;  // of a life, by whom
  std::map<std::pair<std::size_t, std::size_t>, bool>
      held;  // a life, by another: when it ended, was it alive there
  for (const Told& one : all) {
    if (Invented(one.name)) continue;
    const ActiveRequest& by = lives[one.by];
    const auto about = by_id.find(one.id);
    const ActiveRequest* of = about == by_id.end() ? nullptr : &lives[about->second];
    if (Adds(one.event) && views[one.by].insert(one.id).second) agreed_since[one.by] = one.at;
    if (Removes(one.event) && views[one.by].erase(one.id) > 0) agreed_since[one.by] = one.at;
    if (of != nullptr && (!of->ended || one.at <= *of->ended) && (Adds(one.event) || Removes(one.event)))
      held[{about->second, one.by}] = Adds(one.event);
    if (one.event == "joined" && of == nullptr)
      out.broken.push_back(by.label + " took in " + one.name + ", whom nobody started");
    if (one.event == "joined" && of != nullptr && one.at - of->started < periods(slack.detect))
      out.join_ms.push_back(Ms(one.at - of->started));
    if (one.event == "failed" && of != nullptr) {
      const std::size_t subject = about->second;
      if (of->killed && of->ended && one.at >= *of->ended) heard_failed[subject].try_emplace(one.by, one.at);
      // Who lives, isn't held and can be reached is not called failed; who left in peace neither.
      const Time window = one.at - periods(slack.trouble);
      const bool there = !of->ended || *of->ended > one.at;
      const bool in_peace = Quiet(*of, window, one.at) && Quiet(by, window, one.at);
      const bool left = of->told_to_end && !of->killed;
      if (in_peace && (there || left) && of->started < window)
        out.broken.push_back(by.label + " called " + of->label + " failed, which " +
                             (there ? "lived" : "had left"));
    }
    if (one.event == "held" && Quiet(by, one.at - periods(4) - slack.real, one.at))
      out.voided.push_back("the machine held " + by.label);
  }
  // At the end all agree, on just those that live.
  std::set<std::string> living;
  for (const ActiveRequest& life : lives)
    if (!life.ended) living.insert(life.id);
  Time agreed = last_fault;
  for (std::size_t i = 0; i < lives.size(); ++i) {
    if (lives[i].ended) continue;
    std::set<std::string> expected = living;
    expected.erase(lives[i].id);
    views[i].erase(lives[i].id);
    if (views[i] != expected) {
      std::string differs;
      for (const ActiveRequest& life : lives)
        if (expected.contains(life.id) != views[i].contains(life.id))
          differs += (views[i].contains(life.id) ? " +" : " -") + life.label;
      out.broken.push_back("at the end the view of " + lives[i].label + " is wrong:" + differs);
    }
    agreed = std::max(agreed, agreed_since[i]);
  }
  out.settle_ms = Ms(agreed - last_fault);
  if (agreed - last_fault > periods(slack.settle) + slack.real)
    out.broken.push_back("views settled " + std::to_string(out.settle_ms) + " ms after the last fault");
  // A crash is known to all who can know.
  for (std::size_t i = 0; i < lives.size(); ++i) {
    const ActiveRequest& life = lives[i];
    if (!life.killed || !life.ended) continue;
    const Time last = *life.ended + periods(slack.detect) + slack.real;
    for (std::size_t j = 0; j < lives.size(); ++j) {
      const ActiveRequest& other = lives[j];
      const auto alive =
          held.find({i, j});  // who had never heard of it, or given it up, has nothing to learn
      if (j == i || other.ended || alive == held.end() || !alive->second) continue;
      if (!Quiet(other, *life.ended - periods(slack.trouble), std::min(last, end)) || end < last) continue;
      const auto heard = heard_failed[i].find(j);
      if (heard == heard_failed[i].end() || heard->second > last)
        out.broken.push_back(other.label + " did not learn in time that " + life.label + " was killed");
      else
        out.detect_ms.push_back(Ms(heard->second - *life.ended));
    }
  }
  return out;
}

std::string History::Text(Time start) const {
  std::vector<std::pair<Time, std::string>> lines;
  for (const ActiveRequest& life : lives) {
    lines.emplace_back(life.started, "started " + life.label + " " + life.id);
    if (life.told_to_end) lines.emplace_back(*life.told_to_end, "told to end " + life.label);
    if (life.ended) lines.emplace_back(*life.ended, (life.killed ? "killed " : "ended ") + life.label);
    for (const auto& [from, until] : life.stalls) {
      lines.emplace_back(from, "held " + life.label);
      lines.emplace_back(until, "let go " + life.label);
    }
  }
  for (const Trouble& t : troubles) {
    lines.emplace_back(t.from, "trouble begins");
    if (t.until) lines.emplace_back(*t.until, "trouble ends");
  }
  for (const Told& one : told)
    lines.emplace_back(one.at, "  " + lives[one.by].label + ": " + one.event + " " + one.name + " " + one.id);
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::string out;
  for (const auto& [at, line] : lines) out += Seconds(at, start) + " " + line + "\n";
  return out;
}

}  // namespace lemoncroft::fault_test
