#include "settings/settings.h"

#include <charconv>
#include <cmath>

namespace lemoncroft::settings {

std::string ListItem(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return name;
}

namespace {
constexpr Nanos kConnectTimeoutUntold = 250'000'000;  // no time at all would let no connection come up
}  // namespace

Pairs Pairs::FromLines(std::string_view text) {
  Pairs pairs;
  std::size_t line_no = 0;
  while (!text.empty()) {
    ++line_no;
    std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (line.empty()) continue;
    std::size_t eq = line.find('=');
    if (eq == std::string_view::npos) {
      throw SettingsError("line " + std::to_string(line_no) + " is not path=value");
    }
    pairs.Set(std::string(line.substr(0, eq)), std::string(line.substr(eq + 1)));
  }
  return pairs;
}

bool Pairs::Has(const std::string& key) const {
  auto it = values_.find(key);
  return it != values_.end() && !it->second.empty();
}

std::string Pairs::Text(const std::string& key) const {
  auto it = values_.find(key);
  return it == values_.end() ? std::string() : it->second;
}

double Pairs::Number(const std::string& key, double absent) const {
  return Has(key) ? ToNumber(key, Text(key)) : absent;
}

Nanos Pairs::Time(const std::string& key) const {
  double v = Number(key);
  if (v < 0 || v > 9e17) Unreadable(key, Text(key));
  return static_cast<Nanos>(v);
}

int Pairs::Count(const std::string& key, int absent) const {
  double v = Number(key, absent);
  if (v < 0 || v > 1e6 || v != std::floor(v)) Unreadable(key, Text(key));
  return static_cast<int>(v);
}

bool Pairs::Flag(const std::string& key) const {
  if (!Has(key)) return false;
  std::string v = Text(key);
  if (v != "true" && v != "false") Unreadable(key, v);
  return v == "true";
}

std::vector<std::string> Pairs::List(const std::string& key) const {
  std::vector<std::string> out;
  std::string text = Text(key);
  for (std::size_t from = 0; from < text.size();) {
    std::size_t comma = std::min(text.find(',', from), text.size());
    out.push_back(text.substr(from, comma - from));
    from = comma + 1;
  }
  return out;
}

std::vector<double> Pairs::Numbers(const std::string& key) const {
  std::vector<double> out;
  for (const std::string& item : List(key)) out.push_back(ToNumber(key, item));
  return out;
}

std::vector<std::uint16_t> Pairs::Positions(const std::string& key,
                                            const std::vector<std::string>& names) const {
  std::vector<std::uint16_t> out;
  for (const std::string& item : List(key)) {
    auto it = std::find(names.begin(), names.end(), item);
    double v = it != names.end() ? static_cast<double>(it - names.begin()) : ToNumber(key, item);
    if (v < 0 || v > 65535 || v != std::floor(v)) Unreadable(key, item);
    out.push_back(static_cast<std::uint16_t>(v));
  }
  return out;
}

void Pairs::Unreadable(const std::string& key, const std::string& value) {
  throw SettingsError("unreadable value '" + value + "' of " + key);
}

double Pairs::ToNumber(const std::string& key, const std::string& text) {
  double v = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(v)) Unreadable(key, text);
  return v;
}

namespace {

ClassSettings ParseClass(const Pairs& in, int index, const std::vector<std::string>& zones,
                         const std::vector<std::string>& kinds) {
  const std::string p = "requestClasses." + std::to_string(index) + ".";
  ClassSettings c;
  c.latency_objective = in.Time(p + "promiseNs");
  c.latency_objective_stretch = in.Number(p + "aimStretch");
  c.deadline = in.Time(p + "deadlineNs");
  if (c.latency_objective == 0 && c.latency_objective_stretch <= 0)
    c.latency_objective = c.deadline;  // none is told: any answer in time has its worth
  c.priority_weight = in.Number(p + "credit", 1);
  c.late_weight_share = in.Number(p + "lateWorth");
  // Of a word that is none of them the strictest is taken.
  c.effect = in.OneOf<Effect>(
      p + "effect", {{"pure", Effect::kSafe}, {"token", Effect::kKeyed}, {"side_effect", Effect::kUnsafe}},
      Effect::kSafe, Effect::kUnsafe);
  c.group = in.OneOf<RepeatGroup>(
      p + "group", {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}},
      RepeatGroup::kAll, RepeatGroup::kCell);
  c.repeat_window = in.Time(p + "repeatWindowNs");
  c.in_order = in.Flag(p + "fifoByKey");
  c.streaming = in.Flag(p + "streaming");
  c.zones = in.Positions(p + "staysIn", zones);
  c.kinds = in.Positions(p + "boundTo", kinds);
  return c;
}

void ParseSpecifics(const Pairs& in, Settings& s) {
  auto threads = in.Numbers("specifics.threadsByClass");
  auto holds = in.List("specifics.holdsTables");
  auto blocked = in.List("specifics.blockedByLoads");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    if (i < threads.size()) s.classes[i].threads = static_cast<int>(std::clamp(threads[i], 1.0, 1e4));
    if (i < holds.size()) s.classes[i].holds_tables = holds[i] == "true";
    if (i < blocked.size()) s.classes[i].blocked_by_loads = blocked[i] == "true";
  }
  auto cores = in.Numbers("specifics.cpuOfKind");
  auto memory = in.Numbers("specifics.ramOfKindMb");
  s.kinds.resize(std::max(cores.size(), memory.size()));
  for (std::size_t i = 0; i < cores.size(); ++i) s.kinds[i].cores = cores[i];
  for (std::size_t i = 0; i < memory.size(); ++i) s.kinds[i].memory_mb = memory[i];
  s.honors_memory_grants = in.Flag("specifics.takesGrants");
  s.honors_priorities = in.Flag("specifics.ranksHeeded");
  s.max_grant_share = in.Number("specifics.maxGrantShare", 1);
  s.memory_short = in.OneOf<MemoryShort>(
      "specifics.memoryShort",
      {{"queue", MemoryShort::kQueue}, {"trim", MemoryShort::kTrim}, {"swap", MemoryShort::kSwap}},
      MemoryShort::kTrim, MemoryShort::kTrim);
  s.progress_every = in.Time("specifics.progressNs");
  s.reports_cost = in.Flag("specifics.saysCost");
}

// Cores decide how much an engine is sent: where none are told it is the least of the others, or else enough
// for the query with the most threads.
void FillCores(Settings& s, std::size_t kinds) {
  s.kinds.resize(std::max(s.kinds.size(), kinds));
  double least = 0;
  for (const KindSettings& kind : s.kinds)
    if (kind.cores > 0) least = least > 0 ? std::min(least, kind.cores) : kind.cores;
  const bool told = least > 0;
  for (const ClassSettings& c : s.classes)
    if (!told) least = std::max(least, static_cast<double>(c.threads));
  for (KindSettings& kind : s.kinds)
    if (!(kind.cores > 0)) kind.cores = least;
}

// Zones or kinds that a class is bound to and the settings don't list are numbered behind those that they do:
// an engine under such a name is one that the class may go to.
void AddMentioned(const Pairs& in, const std::string& key, std::vector<std::string>& names) {
  for (const std::string& item : in.List(key)) {
    const bool position =
        !item.empty() && std::all_of(item.begin(), item.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!position && std::find(names.begin(), names.end(), item) == names.end()) names.push_back(item);
  }
}

ReportField ToField(const std::string& name) {
  static constexpr std::pair<const char*, ReportField> kFields[] = {{"inflight", ReportField::kInflight},
                                                                    {"queue", ReportField::kQueue},
                                                                    {"util", ReportField::kUtil},
                                                                    {"latency_ms", ReportField::kLatencyMs},
                                                                    {"qps", ReportField::kQps},
                                                                    {"eps", ReportField::kEps},
                                                                    {"x0", ReportField::kX0},
                                                                    {"x1", ReportField::kX1}};
  for (const auto& [field, value] : kFields) {
    if (name == field) return value;
  }
  return ReportField::kOther;
}

}  // namespace

std::optional<std::uint16_t> Site::NumberOf(const std::vector<std::string>& names, std::string_view name) {
  const auto it = name.empty() ? names.end() : std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<std::uint16_t>(it - names.begin());
}

Site ParseSite(const Pairs& in) {
  Site site;
  Settings& s = site.module;
  site.zones = in.List("dcs");
  site.kinds = in.List("flavors");
  s.gateways = in.Count("siblings", 1);
  s.self = in.Count("me");
  s.zone = static_cast<std::uint16_t>(in.Count("zone"));
  s.tick = in.Time("tickNs");
  const int classes = in.Count("requestClasses.count");
  for (int i = 0; i < classes; ++i) {
    const std::string p = "requestClasses." + std::to_string(i) + ".";
    AddMentioned(in, p + "staysIn", site.zones);
    AddMentioned(in, p + "boundTo", site.kinds);
  }
  for (int i = 0; i < classes; ++i) {
    s.classes.push_back(ParseClass(in, i, site.zones, site.kinds));
    site.classes.push_back(in.Text("requestClasses." + std::to_string(i) + ".name"));
  }
  const int tenants = in.Count("tenants.count");
  for (int i = 0; i < tenants; ++i) {
    const std::string p = "tenants." + std::to_string(i) + ".";
    s.tenants.push_back({in.Number(p + "quotaPerS")});
    site.tenants.push_back(in.Text(p + "name"));
  }
  s.over_quota_weight_share = in.Number("overShareWorth", 1);
  site.report_fields = in.List("report.fields");
  for (const std::string& field : site.report_fields) s.report_fields.push_back(ToField(field));
  s.reports_in_answers = in.Text("report.source") == "answers";

  s.drain_grace = in.Time("guarantees.drainGraceNs");
  s.slow_start_initial_share = in.Number("guarantees.coldFrom");
  s.slow_start_duration = in.Time("guarantees.warmWithinNs");
  s.overload_factor = in.Number("guarantees.overloadFactor");
  s.overload_window = in.Time("guarantees.fallNs");
  s.order_settle = in.Time("guarantees.orderPauseNs");
  s.must_ask_within = in.Time("guarantees.mustAskInNs");
  if (in.Has("guarantees.lookBackNs")) {
    s.attempt_budget = AttemptBudget{in.Number("guarantees.freeResends"), in.Number("guarantees.extraRatio"),
                                     in.Time("guarantees.lookBackNs")};
  }
  s.list_on_request = in.Text("membershipMode") == "on_request";
  s.may_cancel = in.Flag("limits.cancel");
  s.may_probe = in.Flag("limits.probing");
  s.may_hedge = in.Flag("limits.mayDuplicate");
  s.may_message = in.Flag("limits.peers");
  s.may_send_retry_after = in.Flag("limits.retryAfter");
  s.max_attempts = in.Count("limits.maxAttempts", 1);
  s.max_retry_after = in.Time("limits.maxRetryAfterNs");
  s.connect_timeout = in.Time("limits.connectTimeoutNs");
  if (s.connect_timeout == 0) s.connect_timeout = kConnectTimeoutUntold;
  s.late_fail_price = in.Number("prices.lateFail");
  s.cross_zone_price = in.Number("prices.crossZone");
  ParseSpecifics(in, s);
  FillCores(s, site.kinds.size());
  site.per_class = site.classes.size();
  for (const char* list : {"specifics.threadsByClass", "specifics.holdsTables", "specifics.blockedByLoads"})
    if (in.Has(list)) site.per_class = std::min(site.per_class, in.List(list).size());
  site.answer_slack = in.Time("guarantees.answerSlackNs");
  site.keepalive = in.Time("limits.keepaliveNs");
  site.max_open = in.Count("limits.maxOpen");
  return site;
}

}  // namespace lemoncroft::settings
