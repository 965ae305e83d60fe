#include "replicated_config/document.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "operator_config/fields.h"

namespace lemoncroft::replicated_config {

using codec::KdlNode;
using codec::KdlValue;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNameMost = 128;
constexpr double kRateMost = 1e9;
constexpr Span kLastsMost = 1h;
constexpr const char* kEffects[] = {"pure", "token", "side_effect"};
constexpr const char* kGroups[] = {"all", "zone", "cell"};

bool Plain(const std::string& name) {
  return !name.empty() && name.size() <= kNameMost && std::all_of(name.begin(), name.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '\\';
  });
}

// ---- Reading ----

class Text {
 public:
  std::variant<Document, std::string> Read(std::string_view text) {
    try {
      const operator_config::Known known = {
          {"format", [&](const KdlNode& n) { Count(n, 1e6, out_.format); }},
          {"attempts", [&](const KdlNode& n) { out_.attempts = Whole(n, 1, 100); }},
          {"open-most", [&](const KdlNode& n) { out_.open_most = Whole(n, 1, 1e6); }},
          {"further-attempts", [&](const KdlNode& n) { Further(n); }},
          {"class", [&](const KdlNode& n) { Class(n); }},
          {"tenant", [&](const KdlNode& n) { Tenant(n); }},
          {"team", [&](const KdlNode& n) { Team(n); }},
          {"out", [&](const KdlNode& n) { Names(n, out_.out); }},
          {"cut-off", [&](const KdlNode& n) { CutOffBlock(n); }},
      };
      operator_config::ReadBlock(codec::ReadKdl(text), known, {"class", "tenant", "team", "out"}, faults_);
    } catch (const codec::KdlError& e) {
      return std::string(e.what());
    }
    for (const std::size_t count :
         {out_.classes.size(), out_.tenants.size(), out_.teams.size(), out_.out.size()})
      if (count > kNamesMost)
        faults_.Add({}, std::to_string(count) + " of one kind: at most " + std::to_string(kNamesMost));
    if (faults_.all().empty()) return std::move(out_);
    return operator_config::OperatorError("rules", faults_.all()).what();
  }

 private:
  void Count(const KdlNode& n, double most, std::uint64_t& out) {
    std::size_t value = out;
    operator_config::ReadCount(n, most, value, faults_);
    out = value;
  }
  int Whole(const KdlNode& n, double least, double most) {
    double value = least;
    operator_config::ReadNumber(n, least, most, value, faults_);
    if (value != std::floor(value)) faults_.Add(n.place, n.name + ": expected a whole number");
    return static_cast<int>(value);
  }
  std::size_t Size(const KdlNode& n, double most) {
    std::size_t value = 0;
    operator_config::ReadCount(n, most, value, faults_);
    return value;
  }
  double Number(const KdlNode& n) {
    double value = 0;
    operator_config::ReadNumber(n, 0, kRateMost, value, faults_);
    return value;
  }
  Span Time(const KdlNode& n, Span least = 0s, Span most = 24h) {
    Span value{};
    operator_config::ReadSpan(n, least, most, value, faults_);
    return value;
  }
  // The one name of a block, that isn't given yet.
  template <typename Rule>
  Rule& Named(const KdlNode& n, std::map<std::string, Rule>& into) {
    KdlNode head = n;
    head.children.clear();
    std::string name;
    operator_config::ReadText(head, name, faults_);
    if (!Plain(name)) faults_.Add(n.place, n.name + ": a name is 1 to 128 plain characters without blanks");
    const auto [it, fresh] = into.try_emplace(name);
    if (!fresh) faults_.Add(n.place, n.name + " '" + name + "': given twice");
    return it->second;
  }
  template <typename E, std::size_t N>
  std::optional<E> OneOf(const KdlNode& n, const char* const (&names)[N]) {
    std::string name;
    operator_config::ReadText(n, name, faults_);
    for (std::size_t i = 0; i < N; ++i)
      if (name == names[i]) return static_cast<E>(i);
    faults_.Add(n.place, n.name + ": '" + name + "' is none of those there are");
    return std::nullopt;
  }
  void Names(const KdlNode& n, std::set<std::string>& into) {
    if (!n.properties.empty() || !n.children.empty()) faults_.Add(n.place, n.name + ": takes names alone");
    for (const KdlValue& value : n.arguments) {
      if (value.kind != KdlValue::Kind::kText || !Plain(value.text))
        faults_.Add(value.place, n.name + ": a name is 1 to 128 plain characters without blanks");
      else if (!into.insert(value.text).second)
        faults_.Add(value.place, n.name + ": '" + value.text + "' is given twice");
    }
  }
  void Class(const KdlNode& node) {
    ClassRule& rule = Named(node, out_.classes);
    operator_config::ReadBlock(
        node.children,
        {{"effect", [&](const KdlNode& n) { rule.effect = OneOf<Effect>(n, kEffects); }},
         {"group", [&](const KdlNode& n) { rule.group = OneOf<RepeatGroup>(n, kGroups); }},
         {"repeat-window", [&](const KdlNode& n) { rule.repeat_window = Time(n); }}},
        {}, faults_);
  }
  void Tenant(const KdlNode& node) {
    TenantRule& rule = Named(node, out_.tenants);
    operator_config::ReadBlock(
        node.children, {{"quota", [&](const KdlNode& n) { rule.quota_per_s = Number(n); }}}, {}, faults_);
  }
  void Team(const KdlNode& node) {
    TeamRule& rule = Named(node, out_.teams);
    operator_config::ReadBlock(node.children,
                               {{"cores", [&](const KdlNode& n) { rule.cores = Number(n); }},
                                {"burst", [&](const KdlNode& n) { rule.burst = Time(n, 0s, 1h); }},
                                {"threads", [&](const KdlNode& n) { rule.threads = Size(n, 1e7); }},
                                {"waiting", [&](const KdlNode& n) { rule.waiting = Size(n, 2e6); }}},
                               {}, faults_);
  }
  void Further(const KdlNode& node) {
    Budget budget;
    for (const auto& [name, value] : node.properties) {
      const bool number =
          value.kind == KdlValue::Kind::kNumber && value.number >= 0 && value.number <= kRateMost;
      const bool span = operator_config::ParseSpan(value.text, budget.look_back);
      if (name == "free" && number)
        budget.free = value.number;
      else if (name == "ratio" && number)
        budget.ratio = value.number;
      else if (name != "over" || !span)
        faults_.Add(value.place, "further-attempts: expected free=N ratio=N over=\"TIME\"");
    }
    if (budget.look_back <= 0s || !node.arguments.empty() || !node.children.empty())
      faults_.Add(node.place, "further-attempts: expected free=N ratio=N over=\"TIME\"");
    out_.further_attempts = budget;
  }
  void CutOffBlock(const KdlNode& node) {
    KdlNode head = node;
    head.children.clear();
    out_.cut_off.lasts = Time(head, 1s, kLastsMost);
    operator_config::ReadBlock(node.children,
                               {{"class", [&](const KdlNode& n) { Names(n, out_.cut_off.classes); }},
                                {"engine", [&](const KdlNode& n) { Names(n, out_.cut_off.engines); }}},
                               {}, faults_);
    const CutOff& c = out_.cut_off;
    if (c.classes.empty() || c.engines.empty())
      faults_.Add(node.place, "cut-off: name the classes that go on and the engines that they go on at");
    for (const std::string& engine : c.engines)
      if (out_.out.contains(engine))
        faults_.Add(node.place, "cut-off: engine '" + engine + "' is out by hand");
  }

  Document out_;
  operator_config::Faults faults_;
};

// ---- Writing ----

std::string Quoted(const std::string& name) { return "\"" + name + "\""; }
std::string Of(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.12g", value);
  return text;
}
std::string Of(Span span) {
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(span).count();
  return us % 1000 == 0 ? std::to_string(us / 1000) + "ms" : std::to_string(us) + "us";
}
std::string Of(std::size_t value) { return std::to_string(value); }
std::string Of(int value) { return std::to_string(value); }
std::string Of(Effect effect) { return kEffects[static_cast<std::size_t>(effect)]; }
std::string Of(RepeatGroup group) { return kGroups[static_cast<std::size_t>(group)]; }
std::string Of(const Budget& b) {
  return "free=" + Of(b.free) + " ratio=" + Of(b.ratio) + " over=" + Quoted(Of(b.look_back));
}
std::string Of(const std::set<std::string>& names) {
  std::string out;
  for (const std::string& name : names) out += (out.empty() ? "" : " ") + Quoted(name);
  return out;
}

// A document as lines "what" -> value: one form for its text and for what differs between two.
using Lines = std::map<std::string, std::string>;

template <typename T>
void Put(Lines& lines, const std::string& what, const std::optional<T>& value) {
  if (value) lines[what] = Of(*value);
}

Lines ClassLines(const ClassRule& rule) {
  Lines lines;
  Put(lines, "effect", rule.effect);
  Put(lines, "group", rule.group);
  Put(lines, "repeat-window", rule.repeat_window);
  return lines;
}
Lines TenantLines(const TenantRule& rule) {
  Lines lines;
  Put(lines, "quota", rule.quota_per_s);
  return lines;
}
Lines TeamLines(const TeamRule& rule) {
  Lines lines;
  Put(lines, "cores", rule.cores);
  Put(lines, "burst", rule.burst);
  Put(lines, "threads", rule.threads);
  Put(lines, "waiting", rule.waiting);
  return lines;
}

Lines LinesOf(const Document& document, const std::string& klass) {
  const auto it = document.classes.find(klass);
  return it == document.classes.end() ? Lines() : ClassLines(it->second);
}

bool IsText(const std::string& what) {
  return what == "effect" || what == "group" || what == "repeat-window" || what == "burst";
}

std::string Block(const std::string& kind, const std::string& name, const Lines& lines) {
  std::string out = kind + " " + Quoted(name) + " {";
  for (const auto& [what, value] : lines)
    out += " " + what + " " + (IsText(what) ? Quoted(value) : value) + ";";
  return out + " }\n";
}

Lines AllLines(const Document& d) {
  Lines all;
  const auto put = [&](const std::string& kind, const auto& rules, auto of) {
    for (const auto& [name, rule] : rules) {
      const Lines lines = of(rule);
      all[kind + " " + name];  // it is there, even if it says nothing
      for (const auto& [what, value] : lines) all[kind + " " + name + " " + what] = value;
    }
  };
  Put(all, "attempts", d.attempts);
  Put(all, "open-most", d.open_most);
  Put(all, "further-attempts", d.further_attempts);
  put("class", d.classes, ClassLines);
  put("tenant", d.tenants, TenantLines);
  put("team", d.teams, TeamLines);
  for (const std::string& engine : d.out) all["out " + engine];
  if (d.cut_off.lasts > 0s) {
    all["cut-off lasts"] = Of(d.cut_off.lasts);
    all["cut-off class"] = Of(d.cut_off.classes);
    all["cut-off engine"] = Of(d.cut_off.engines);
  }
  return all;
}

}  // namespace

std::variant<Document, std::string> ReadDocument(std::string_view text) { return Text().Read(text); }

std::string WriteDocument(const Document& d) {
  std::string out = "format " + std::to_string(d.format) + "\n";
  if (d.attempts) out += "attempts " + Of(*d.attempts) + "\n";
  if (d.open_most) out += "open-most " + Of(*d.open_most) + "\n";
  if (d.further_attempts) out += "further-attempts " + Of(*d.further_attempts) + "\n";
  for (const auto& [name, rule] : d.classes) out += Block("class", name, ClassLines(rule));
  for (const auto& [name, rule] : d.tenants) out += Block("tenant", name, TenantLines(rule));
  for (const auto& [name, rule] : d.teams) out += Block("team", name, TeamLines(rule));
  if (!d.out.empty()) out += "out " + Of(d.out) + "\n";
  if (d.cut_off.lasts > 0s)
    out += "cut-off " + Quoted(Of(d.cut_off.lasts)) + " { class " + Of(d.cut_off.classes) + "; engine " +
           Of(d.cut_off.engines) + "; }\n";
  return out;
}

std::vector<std::string> Differences(const Document& from, const Document& to) {
  std::vector<std::string> out;
  Lines before = AllLines(from);
  for (const auto& [what, value] : AllLines(to)) {
    const auto it = before.find(what);
    if (it == before.end())
      out.push_back("+ " + what + (value.empty() ? "" : ": " + value));
    else if (it->second != value)
      out.push_back("~ " + what + ": " + it->second + " -> " + value);
    if (it != before.end()) before.erase(it);
  }
  for (const auto& [what, value] : before) out.push_back("- " + what + (value.empty() ? "" : ": " + value));
  std::stable_sort(out.begin(), out.end(),
                   [](const std::string& a, const std::string& b) { return a.substr(2) < b.substr(2); });
  return out;
}

std::string CheckSuccessor(const Document& from, const Document& to) {
  const CutOff& kept = from.cut_off;
  for (const std::string& engine : kept.engines)
    if (to.out.contains(engine))
      return "proxies that are cut off may go on at engine '" + engine + "' for " + Of(kept.lasts) +
             ": take it from `cut-off` first";
  for (const std::string& name : kept.classes) {
    if (LinesOf(from, name) != LinesOf(to, name))
      return "proxies that are cut off may go on with class '" + name + "' for " + Of(kept.lasts) +
             ": take it from `cut-off` before its rules change";
  }
  return {};
}

std::string WhyNot(const Document& document, const settings::Site& own,
                   const admission_queue::Settings* line) {
  if (document.format > kFormat)
    return "its program reads format " + std::to_string(kFormat) + ", not " + std::to_string(document.format);
  for (const auto& [name, rule] : document.classes)
    if (!own.ClassOf(name)) return "its settings have no class '" + name + "'";
  for (const std::string& name : document.cut_off.classes)
    if (!own.ClassOf(name)) return "its settings have no class '" + name + "'";
  for (const auto& [name, rule] : document.tenants)
    if (!own.TenantOf(name)) return "its settings have no tenant '" + name + "'";
  if (document.attempts && *document.attempts > own.module.max_attempts)
    return "its settings allow " + std::to_string(own.module.max_attempts) + " attempts, not " +
           std::to_string(*document.attempts);
  if (document.open_most && own.max_open > 0 && *document.open_most > own.max_open)
    return "its settings allow " + std::to_string(own.max_open) + " open requests, not " +
           std::to_string(*document.open_most);
  if (!document.teams.empty() && line == nullptr) return "it has no waiting line for team budgets";
  for (const auto& [name, rule] : document.teams) {
    const bool known =
        std::any_of(line->tenants.begin(), line->tenants.end(),
                    [&, n = name](const admission_queue::TenantBudget& t) { return t.name == n; });
    if (!known) return "its waiting line has no team '" + name + "'";
  }
  return {};
}

settings::Site Applied(const Document& document, const settings::Site& own) {
  settings::Site site = own;
  lemoncroft::Settings& s = site.module;
  if (document.attempts) s.max_attempts = *document.attempts;
  if (document.open_most) site.max_open = *document.open_most;
  if (document.further_attempts)
    s.attempt_budget = AttemptBudget{document.further_attempts->free, document.further_attempts->ratio,
                                     document.further_attempts->look_back.count()};
  for (const auto& [name, rule] : document.classes) {
    ClassSettings& c = s.classes.at(site.ClassOf(name).value());
    if (rule.effect) c.effect = *rule.effect;
    if (rule.group) c.group = *rule.group;
    if (rule.repeat_window) c.repeat_window = rule.repeat_window->count();
  }
  for (const auto& [name, rule] : document.tenants)
    if (rule.quota_per_s) s.tenants.at(site.TenantOf(name).value()).quota_per_s = *rule.quota_per_s;
  return site;
}

admission_queue::Settings Applied(const Document& document, const admission_queue::Settings& own) {
  admission_queue::Settings line = own;
  for (admission_queue::TenantBudget& team : line.tenants) {
    const auto it = document.teams.find(team.name);
    if (it == document.teams.end()) continue;
    const TeamRule& rule = it->second;
    if (rule.cores) team.cores = *rule.cores;
    if (rule.burst) team.burst = *rule.burst;
    if (rule.threads) team.max_threads = static_cast<int>(*rule.threads);
    if (rule.waiting) team.max_waiting = *rule.waiting;
  }
  return line;
}

}  // namespace lemoncroft::replicated_config
