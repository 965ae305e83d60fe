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

constexpr std::size_t kMaxNameBytes = 128;
constexpr double kMaxRate = 1e9;
constexpr Duration kMaxIsolationDuration = 1h;
constexpr const char* kEffects[] = {"pure", "token", "side_effect"};
constexpr const char* kGroups[] = {"all", "zone", "cell"};

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '\\';
  });
}

// ---- Parsing ----

class DocumentParser {
 public:
  tl::expected<Document, InvalidDocument> Parse(std::string_view text) {
    try {
      const operator_config::NodeReaders readers = {
          {"format", [&](const KdlNode& n) { ParseCount(n, 1e6, document_.format); }},
          {"attempts", [&](const KdlNode& n) { document_.max_attempts = ParseInteger(n, 1, 100); }},
          {"open-most", [&](const KdlNode& n) { document_.max_open_requests = ParseInteger(n, 1, 1e6); }},
          {"further-attempts", [&](const KdlNode& n) { ParseRetryBudget(n); }},
          {"class", [&](const KdlNode& n) { ParseClass(n); }},
          {"tenant", [&](const KdlNode& n) { ParseTenant(n); }},
          {"team", [&](const KdlNode& n) { ParseTeam(n); }},
          {"out", [&](const KdlNode& n) { ParseNames(n, document_.ejected_engines); }},
          {"cut-off", [&](const KdlNode& n) { ParseIsolationPolicy(n); }},
      };
      operator_config::ReadBlock(codec::ParseKdl(text), readers, {"class", "tenant", "team", "out"}, errors_);
    } catch (const codec::KdlError& e) {
      const std::string what = e.what();  // "line N, column N: message"
      return tl::unexpected(InvalidDocument{
          true, {{e.position().line, e.position().column, what.substr(what.find(": ") + 2)}}});
    }
    for (const std::size_t count : {document_.classes.size(), document_.tenants.size(),
                                    document_.teams.size(), document_.ejected_engines.size()})
      if (count > kMaxNames)
        errors_.Add({}, std::to_string(count) +
                            " names of one kind (`class`, `tenant`, `team` or `out`): at most " +
                            std::to_string(kMaxNames));
    if (errors_.all().empty()) return std::move(document_);
    InvalidDocument invalid;
    for (const operator_config::Fault& fault : errors_.all())
      invalid.faults.push_back({fault.position.line, fault.position.column, fault.text});
    return tl::unexpected(std::move(invalid));
  }

 private:
  void ParseCount(const KdlNode& n, double max, std::uint64_t& out) {
    std::size_t value = out;
    operator_config::ReadCount(n, max, value, errors_);
    out = value;
  }
  int ParseInteger(const KdlNode& n, double min, double max) {
    double value = min;
    operator_config::ReadNumber(n, min, max, value, errors_);
    if (value != std::floor(value)) errors_.Add(n.position, n.name + ": expected a whole number");
    return static_cast<int>(value);
  }
  std::size_t ParseSize(const KdlNode& n, double max) {
    std::size_t value = 0;
    operator_config::ReadCount(n, max, value, errors_);
    return value;
  }
  double ParseNumber(const KdlNode& n) {
    double value = 0;
    operator_config::ReadNumber(n, 0, kMaxRate, value, errors_);
    return value;
  }
  Duration ParseDuration(const KdlNode& n, Duration min = 0s, Duration max = 24h) {
    Duration value{};
    operator_config::ReadDuration(n, min, max, value, errors_);
    return value;
  }
  // Parses the name of a block and returns the new override of that name. A duplicate name is a fault.
  template <typename Override>
  Override& AddOverride(const KdlNode& n, std::map<std::string, Override>& out) {
    KdlNode header = n;
    header.children.clear();
    std::string name;
    operator_config::ReadText(header, name, errors_);
    if (!IsValidName(name))
      errors_.Add(n.position, n.name + ": a name is 1 to 128 plain characters without blanks");
    const auto [it, inserted] = out.try_emplace(name);
    if (!inserted) errors_.Add(n.position, n.name + " '" + name + "': given twice");
    return it->second;
  }
  template <typename E, std::size_t N>
  std::optional<E> ParseEnum(const KdlNode& n, const char* const (&names)[N]) {
    std::string name;
    operator_config::ReadText(n, name, errors_);
    for (std::size_t i = 0; i < N; ++i)
      if (name == names[i]) return static_cast<E>(i);
    errors_.Add(n.position, n.name + ": '" + name + "' is none of those allowed");
    return std::nullopt;
  }
  void ParseNames(const KdlNode& n, std::set<std::string>& out) {
    if (!n.properties.empty() || !n.children.empty())
      errors_.Add(n.position, n.name + ": expects only names");
    for (const KdlValue& value : n.arguments) {
      if (value.kind != KdlValue::Kind::kString || !IsValidName(value.text))
        errors_.Add(value.position, n.name + ": a name is 1 to 128 plain characters without blanks");
      else if (!out.insert(value.text).second)
        errors_.Add(value.position, n.name + ": '" + value.text + "' is given twice");
    }
  }
  void ParseClass(const KdlNode& node) {
    ClassOverride& entry = AddOverride(node, document_.classes);
    operator_config::ReadBlock(
        node.children,
        {{"effect", [&](const KdlNode& n) { entry.effect = ParseEnum<Effect>(n, kEffects); }},
         {"group", [&](const KdlNode& n) { entry.group = ParseEnum<RepeatGroup>(n, kGroups); }},
         {"repeat-window", [&](const KdlNode& n) { entry.repeat_window = ParseDuration(n); }}},
        {}, errors_);
  }
  void ParseTenant(const KdlNode& node) {
    TenantOverride& entry = AddOverride(node, document_.tenants);
    operator_config::ReadBlock(node.children,
                               {{"quota", [&](const KdlNode& n) { entry.quota_per_s = ParseNumber(n); }}}, {},
                               errors_);
  }
  void ParseTeam(const KdlNode& node) {
    TeamOverride& entry = AddOverride(node, document_.teams);
    operator_config::ReadBlock(
        node.children,
        {{"cores", [&](const KdlNode& n) { entry.cores = ParseNumber(n); }},
         {"burst", [&](const KdlNode& n) { entry.burst = ParseDuration(n, 0s, 1h); }},
         {"threads", [&](const KdlNode& n) { entry.threads = ParseSize(n, 1e7); }},
         {"waiting", [&](const KdlNode& n) { entry.max_waiting = ParseSize(n, 2e6); }}},
        {}, errors_);
  }
  void ParseRetryBudget(const KdlNode& node) {
    RetryBudget budget;
    for (const auto& [name, value] : node.properties) {
      const bool is_number =
          value.kind == KdlValue::Kind::kNumber && value.number >= 0 && value.number <= kMaxRate;
      const bool is_span = operator_config::ParseDuration(value.text, budget.window);
      if (name == "free" && is_number)
        budget.free = value.number;
      else if (name == "ratio" && is_number)
        budget.ratio = value.number;
      else if (name != "over" || !is_span)
        errors_.Add(value.position, "further-attempts: expected free=N ratio=N over=\"TIME\"");
    }
    if (budget.window <= 0s || !node.arguments.empty() || !node.children.empty())
      errors_.Add(node.position, "further-attempts: expected free=N ratio=N over=\"TIME\"");
    document_.retry_budget = budget;
  }
  void ParseIsolationPolicy(const KdlNode& node) {
    KdlNode header = node;
    header.children.clear();
    document_.isolation.duration = ParseDuration(header, 1s, kMaxIsolationDuration);
    operator_config::ReadBlock(
        node.children,
        {{"class", [&](const KdlNode& n) { ParseNames(n, document_.isolation.classes); }},
         {"engine", [&](const KdlNode& n) { ParseNames(n, document_.isolation.engines); }}},
        {}, errors_);
    const IsolationPolicy& policy = document_.isolation;
    if (policy.classes.empty() || policy.engines.empty())
      errors_.Add(node.position, "cut-off: expects at least one class and one engine");
    for (const std::string& engine : policy.engines)
      if (document_.ejected_engines.contains(engine))
        errors_.Add(node.position, "cut-off: engine '" + engine + "' is out by hand");
  }

  Document document_;
  operator_config::Faults errors_;
};

// ---- Serialization ----

std::string Quoted(const std::string& name) { return "\"" + name + "\""; }
std::string Format(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.12g", value);
  return text;
}
std::string Format(Duration span) {
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(span).count();
  return us % 1000 == 0 ? std::to_string(us / 1000) + "ms" : std::to_string(us) + "us";
}
std::string Format(std::size_t value) { return std::to_string(value); }
std::string Format(int value) { return std::to_string(value); }
std::string Format(Effect effect) { return kEffects[static_cast<std::size_t>(effect)]; }
std::string Format(RepeatGroup group) { return kGroups[static_cast<std::size_t>(group)]; }
std::string Format(const RetryBudget& b) {
  return "free=" + Format(b.free) + " ratio=" + Format(b.ratio) + " over=" + Quoted(Format(b.window));
}
std::string Format(const std::set<std::string>& names) {
  std::string out;
  for (const std::string& name : names) out += (out.empty() ? "" : " ") + Quoted(name);
  return out;
}

// A document or one of its blocks as a map of keys to values. SerializeDocument and Differences use it.
using Lines = std::map<std::string, std::string>;

template <typename T>
void Put(Lines& lines, const std::string& what, const std::optional<T>& value) {
  if (value) lines[what] = Format(*value);
}

Lines ClassLines(const ClassOverride& entry) {
  Lines lines;
  Put(lines, "effect", entry.effect);
  Put(lines, "group", entry.group);
  Put(lines, "repeat-window", entry.repeat_window);
  return lines;
}
Lines TenantLines(const TenantOverride& entry) {
  Lines lines;
  Put(lines, "quota", entry.quota_per_s);
  return lines;
}
Lines TeamLines(const TeamOverride& entry) {
  Lines lines;
  Put(lines, "cores", entry.cores);
  Put(lines, "burst", entry.burst);
  Put(lines, "threads", entry.threads);
  Put(lines, "waiting", entry.max_waiting);
  return lines;
}

Lines ClassLinesOf(const Document& document, const std::string& class_name) {
  const auto it = document.classes.find(class_name);
  return it == document.classes.end() ? Lines() : ClassLines(it->second);
}

bool IsQuotedField(const std::string& what) {
  return what == "effect" || what == "group" || what == "repeat-window" || what == "burst";
}

std::string Block(const std::string& kind, const std::string& name, const Lines& lines) {
  std::string out = kind + " " + Quoted(name) + " {";
  for (const auto& [what, value] : lines)
    out += " " + what + " " + (IsQuotedField(what) ? Quoted(value) : value) + ";";
  return out + " }\n";
}

Lines DocumentLines(const Document& d) {
  Lines lines;
  const auto put = [&](const std::string& kind, const auto& overrides, auto to_lines) {
    for (const auto& [name, entry] : overrides) {
      const Lines entry_lines = to_lines(entry);
      lines[kind + " " + name];  // listed even if it overrides nothing
      for (const auto& [what, value] : entry_lines) lines[kind + " " + name + " " + what] = value;
    }
  };
  Put(lines, "attempts", d.max_attempts);
  Put(lines, "open-most", d.max_open_requests);
  Put(lines, "further-attempts", d.retry_budget);
  put("class", d.classes, ClassLines);
  put("tenant", d.tenants, TenantLines);
  put("team", d.teams, TeamLines);
  for (const std::string& engine : d.ejected_engines) lines["out " + engine];
  if (d.isolation.duration > 0s) {
    lines["cut-off lasts"] = Format(d.isolation.duration);
    lines["cut-off class"] = Format(d.isolation.classes);
    lines["cut-off engine"] = Format(d.isolation.engines);
  }
  return lines;
}

}  // namespace

tl::expected<Document, InvalidDocument> ParseDocument(std::string_view text) {
  return DocumentParser().Parse(text);
}

std::string SerializeDocument(const Document& d) {
  std::string out = "format " + std::to_string(d.format) + "\n";
  if (d.max_attempts) out += "attempts " + Format(*d.max_attempts) + "\n";
  if (d.max_open_requests) out += "open-most " + Format(*d.max_open_requests) + "\n";
  if (d.retry_budget) out += "further-attempts " + Format(*d.retry_budget) + "\n";
  for (const auto& [name, entry] : d.classes) out += Block("class", name, ClassLines(entry));
  for (const auto& [name, entry] : d.tenants) out += Block("tenant", name, TenantLines(entry));
  for (const auto& [name, entry] : d.teams) out += Block("team", name, TeamLines(entry));
  if (!d.ejected_engines.empty()) out += "out " + Format(d.ejected_engines) + "\n";
  if (d.isolation.duration > 0s)
    out += "cut-off " + Quoted(Format(d.isolation.duration)) + " { class " + Format(d.isolation.classes) +
           "; engine " + Format(d.isolation.engines) + "; }\n";
  return out;
}

std::vector<std::string> Differences(const Document& from, const Document& to) {
  std::vector<std::string> out;
  Lines before = DocumentLines(from);
  for (const auto& [what, value] : DocumentLines(to)) {
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

tl::expected<void, SuccessorConflict> CheckSuccessor(const Document& from, const Document& to) {
  using Kind = SuccessorConflict::Kind;
  const IsolationPolicy& policy = from.isolation;
  for (const std::string& engine : policy.engines)
    if (to.ejected_engines.contains(engine))
      return tl::unexpected(SuccessorConflict{Kind::kEjectsEngine, engine, policy.duration});
  for (const std::string& name : policy.classes)
    if (ClassLinesOf(from, name) != ClassLinesOf(to, name))
      return tl::unexpected(SuccessorConflict{Kind::kChangesClass, name, policy.duration});
  return {};
}

tl::expected<void, IncompatibleDocument> CheckCompatible(const Document& document, const settings::Site& own,
                                                         const admission_queue::Settings* queue) {
  using Cause = IncompatibleDocument::Cause;
  const auto unknown = [](Cause cause, const std::string& name) {
    return tl::unexpected(IncompatibleDocument{cause, name});
  };
  const auto exceeds = [](Cause cause, auto supported, auto requested) {
    return tl::unexpected(IncompatibleDocument{
        cause, {}, static_cast<std::uint64_t>(supported), static_cast<std::uint64_t>(requested)});
  };
  if (document.format > kNewestDocumentFormat)
    return exceeds(Cause::kFormat, kNewestDocumentFormat, document.format);
  for (const auto& [name, entry] : document.classes)
    if (!own.ClassOf(name)) return unknown(Cause::kUnknownClass, name);
  for (const std::string& name : document.isolation.classes)
    if (!own.ClassOf(name)) return unknown(Cause::kUnknownClass, name);
  for (const auto& [name, entry] : document.tenants)
    if (!own.TenantOf(name)) return unknown(Cause::kUnknownTenant, name);
  if (document.max_attempts && *document.max_attempts > own.module.max_attempts)
    return exceeds(Cause::kMaxAttempts, own.module.max_attempts, *document.max_attempts);
  if (document.max_open_requests && own.max_open_requests > 0 &&
      *document.max_open_requests > own.max_open_requests)
    return exceeds(Cause::kMaxOpenRequests, own.max_open_requests, *document.max_open_requests);
  if (!document.teams.empty() && queue == nullptr) return unknown(Cause::kNoAdmissionQueue, {});
  for (const auto& [name, entry] : document.teams) {
    const bool known =
        std::any_of(queue->tenants.begin(), queue->tenants.end(),
                    [&, n = name](const admission_queue::TenantBudget& t) { return t.name == n; });
    if (!known) return unknown(Cause::kUnknownTeam, name);
  }
  return {};
}

// ---- Error messages ----

std::string InvalidDocument::Text() const {
  std::string text;
  for (const Fault& fault : faults) {
    if (!text.empty()) text += "\n";
    const std::string line = std::to_string(fault.line), column = std::to_string(fault.column);
    text += is_syntax_error ? "line " + line + ", column " + column : "rules:" + line + ":" + column;
    text += ": " + fault.message;
  }
  return text;
}

std::string SuccessorConflict::Text() const {
  const std::string isolated_use = "proxies that are cut off may go on ";
  const std::string duration = " for " + Format(isolation_duration) + ": take it from `cut-off` ";
  if (kind == Kind::kEjectsEngine) return isolated_use + "at engine '" + name + "'" + duration + "first";
  return isolated_use + "with class '" + name + "'" + duration + "before its rules change";
}

std::string IncompatibleDocument::Text() const {
  const std::string supported_text = std::to_string(supported), wanted = std::to_string(requested);
  switch (cause) {
    case Cause::kFormat:
      return "its program reads format " + supported_text + ", not " + wanted;
    case Cause::kUnknownClass:
      return "its settings have no class '" + name + "'";
    case Cause::kUnknownTenant:
      return "its settings have no tenant '" + name + "'";
    case Cause::kMaxAttempts:
      return "its settings allow " + supported_text + " attempts, not " + wanted;
    case Cause::kMaxOpenRequests:
      return "its settings allow " + supported_text + " open requests, not " + wanted;
    case Cause::kNoAdmissionQueue:
      return "it has no waiting line for team budgets";
    case Cause::kUnknownTeam:
      return "its waiting line has no team '" + name + "'";
  }
  return {};
}

settings::Site ApplyDocument(const Document& document, const settings::Site& own) {
  settings::Site site = own;
  lemoncroft::Settings& s = site.module;
  if (document.max_attempts) s.max_attempts = *document.max_attempts;
  if (document.max_open_requests) site.max_open_requests = *document.max_open_requests;
  if (document.retry_budget)
    s.retry_budget = RetryBudgetSettings{document.retry_budget->free, document.retry_budget->ratio,
                                         document.retry_budget->window.count()};
  for (const auto& [name, entry] : document.classes) {
    ClassSettings& c = s.classes.at(site.ClassOf(name).value());
    if (entry.effect) c.effect = *entry.effect;
    if (entry.group) c.repeat_group = *entry.group;
    if (entry.repeat_window) c.repeat_window = entry.repeat_window->count();
  }
  for (const auto& [name, entry] : document.tenants)
    if (entry.quota_per_s) s.tenants.at(site.TenantOf(name).value()).quota_per_s = *entry.quota_per_s;
  return site;
}

admission_queue::Settings ApplyDocument(const Document& document, const admission_queue::Settings& own) {
  admission_queue::Settings queue = own;
  for (admission_queue::TenantBudget& team : queue.tenants) {
    const auto it = document.teams.find(team.name);
    if (it == document.teams.end()) continue;
    const TeamOverride& entry = it->second;
    if (entry.cores) team.cores = *entry.cores;
    if (entry.burst) team.burst = *entry.burst;
    if (entry.threads) team.max_threads = static_cast<int>(*entry.threads);
    if (entry.max_waiting) team.max_waiting = *entry.max_waiting;
  }
  return queue;
}

}  // namespace lemoncroft::replicated_config
