#include "settings/settings.h"

#include <charconv>
#include <cmath>

#include "settings/setting_fields.h"

namespace lemoncroft::settings {

std::string ToListItem(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return name;
}

namespace {

constexpr Nanos kDefaultConnectTimeout = 250'000'000;
constexpr double kMaxTime = 9e17;  // nanoseconds
constexpr double kMaxCount = 1e6;
constexpr double kMaxIndex = 65535;
constexpr double kMaxThreadsPerQuery = 1e4;
constexpr const char *kTrue = "true", *kFalse = "false";

}  // namespace

Pairs Pairs::FromLines(std::string_view text) {
  Pairs pairs;
  std::size_t line_number = 0;
  while (!text.empty()) {
    ++line_number;
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (line.empty()) continue;
    const std::size_t eq = line.find('=');
    if (eq == std::string_view::npos) {
      throw SettingsError("line " + std::to_string(line_number) + " is not path=value");
    }
    pairs.Set(std::string(line.substr(0, eq)), std::string(line.substr(eq + 1)));
  }
  return pairs;
}

bool Pairs::Has(const std::string& path) const {
  auto it = values_.find(path);
  return it != values_.end() && !it->second.empty();
}

std::string Pairs::Text(const std::string& path) const {
  auto it = values_.find(path);
  return it == values_.end() ? std::string() : it->second;
}

double Pairs::Number(const std::string& path, double absent) const {
  return Has(path) ? ToNumber(path, Text(path)) : absent;
}

Nanos Pairs::Time(const std::string& path) const {
  const double v = Number(path);
  if (v < 0 || v > kMaxTime) ThrowInvalid(path, Text(path));
  return static_cast<Nanos>(v);
}

int Pairs::Count(const std::string& path, int absent) const {
  const double v = Number(path, absent);
  if (v < 0 || v > kMaxCount || v != std::floor(v)) ThrowInvalid(path, Text(path));
  return static_cast<int>(v);
}

bool Pairs::Flag(const std::string& path) const {
  if (!Has(path)) return false;
  const std::string v = Text(path);
  if (v != kTrue && v != kFalse) ThrowInvalid(path, v);
  return v == kTrue;
}

std::vector<std::string> Pairs::List(const std::string& path) const {
  std::vector<std::string> out;
  const std::string text = Text(path);
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t comma = std::min(text.find(',', from), text.size());
    out.push_back(text.substr(from, comma - from));
    from = comma + 1;
  }
  return out;
}

std::vector<double> Pairs::Numbers(const std::string& path) const {
  std::vector<double> out;
  for (const std::string& item : List(path)) out.push_back(ToNumber(path, item));
  return out;
}

std::vector<std::uint16_t> Pairs::Indices(const std::string& path,
                                          const std::vector<std::string>& names) const {
  std::vector<std::uint16_t> out;
  for (const std::string& item : List(path)) {
    auto it = std::find(names.begin(), names.end(), item);
    double v = it != names.end() ? static_cast<double>(it - names.begin()) : ToNumber(path, item);
    if (v < 0 || v > kMaxIndex || v != std::floor(v)) ThrowInvalid(path, item);
    out.push_back(static_cast<std::uint16_t>(v));
  }
  return out;
}

void Pairs::ThrowInvalid(const std::string& path, const std::string& value) {
  throw SettingsError("unreadable value '" + value + "' of " + path);
}

double Pairs::ToNumber(const std::string& path, const std::string& text) {
  double v = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(v)) ThrowInvalid(path, text);
  return v;
}

namespace {

ClassSettings ParseClass(const Pairs& in, std::size_t index, const std::vector<std::string>& zones,
                         const std::vector<std::string>& kinds) {
  namespace f = fields::request_class;
  const auto path = [index](const char* field) { return fields::ClassPath(index, field); };
  ClassSettings c;
  c.latency_objective = in.Time(path(f::kLatencyObjective));
  c.latency_objective_stretch = in.Number(path(f::kLatencyObjectiveStretch));
  c.client_timeout = in.Time(path(f::kClientTimeout));
  // Without an objective, every response before the client's timeout earns the full weight.
  if (c.latency_objective == 0 && c.latency_objective_stretch <= 0) c.latency_objective = c.client_timeout;
  c.priority_weight = in.Number(path(f::kPriorityWeight), 1);
  c.late_weight_share = in.Number(path(f::kLateWeightShare));
  // An unknown value is treated as the strictest one.
  c.effect = in.OneOf<Effect>(path(f::kEffect),
                              {{f::kEffectSafe, Effect::kSafe},
                               {f::kEffectKeyed, Effect::kKeyed},
                               {f::kEffectUnsafe, Effect::kUnsafe}},
                              Effect::kSafe, Effect::kUnsafe);
  c.repeat_group = in.OneOf<RepeatGroup>(path(f::kRepeatGroup),
                                         {{f::kGroupAll, RepeatGroup::kAll},
                                          {f::kGroupZone, RepeatGroup::kZone},
                                          {f::kGroupCell, RepeatGroup::kCell}},
                                         RepeatGroup::kAll, RepeatGroup::kCell);
  c.repeat_window = in.Time(path(f::kRepeatWindow));
  c.in_order = in.Flag(path(f::kInOrder));
  c.streaming = in.Flag(path(f::kStreaming));
  c.zones = in.Indices(path(f::kBoundZones), zones);
  c.kinds = in.Indices(path(f::kBoundMachineKinds), kinds);
  return c;
}

// Parses the lists with a value for each class. Classes beyond the end of a list keep their defaults.
void ParseClassResources(const Pairs& in, Settings& s) {
  const std::vector<double> threads = in.Numbers(fields::kThreads);
  const std::vector<std::string> holds = in.List(fields::kHoldsTables);
  const std::vector<std::string> blocked = in.List(fields::kBlockedByLoads);
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    ClassSettings& c = s.classes[i];
    if (i < threads.size()) c.threads = static_cast<int>(std::clamp(threads[i], 1.0, kMaxThreadsPerQuery));
    if (i < holds.size()) c.holds_tables = holds[i] == kTrue;
    if (i < blocked.size()) c.blocked_by_loads = blocked[i] == kTrue;
  }
}

void ParseEngines(const Pairs& in, Settings& s) {
  ParseClassResources(in, s);
  const std::vector<double> cores = in.Numbers(fields::kCores);
  const std::vector<double> memory = in.Numbers(fields::kMemory);
  s.kinds.resize(std::max(cores.size(), memory.size()));
  for (std::size_t i = 0; i < cores.size(); ++i) s.kinds[i].cores = cores[i];
  for (std::size_t i = 0; i < memory.size(); ++i) s.kinds[i].memory_mb = memory[i];
  s.honors_memory_grants = in.Flag(fields::kHonorsMemoryGrants);
  s.honors_priorities = in.Flag(fields::kHonorsPriorities);
  s.max_grant_share = in.Number(fields::kMaxGrantShare, 1);
  s.memory_shortage_policy =
      in.OneOf<MemoryShortagePolicy>(fields::kMemoryShortagePolicy,
                                     {{fields::kMemoryShortageQueue, MemoryShortagePolicy::kQueue},
                                      {fields::kMemoryShortageTrim, MemoryShortagePolicy::kTrim},
                                      {fields::kMemoryShortageSwap, MemoryShortagePolicy::kSwap}},
                                     MemoryShortagePolicy::kTrim, MemoryShortagePolicy::kTrim);
  s.progress_interval = in.Time(fields::kProgressInterval);
  s.reports_cost = in.Flag(fields::kReportsCost);
}

// Sets the cores of kinds without a value: to the fewest cores of the other kinds or, if no kind has a value,
// to the threads of the class with the most. The number of cores limits the load that an engine is sent.
void FillCores(Settings& s, std::size_t kinds) {
  s.kinds.resize(std::max(s.kinds.size(), kinds));
  double fewest = 0;
  for (const KindSettings& kind : s.kinds)
    if (kind.cores > 0) fewest = fewest > 0 ? std::min(fewest, kind.cores) : kind.cores;
  const bool any_given = fewest > 0;
  for (const ClassSettings& c : s.classes)
    if (!any_given) fewest = std::max(fewest, static_cast<double>(c.threads));
  for (KindSettings& kind : s.kinds)
    if (!(kind.cores > 0)) kind.cores = fewest;
}

// Appends the zones or kinds that a class is bound to but that the settings don't list. The endpoint list may
// contain engines with such a name.
void AddUnlistedNames(const Pairs& in, const std::string& key, std::vector<std::string>& names) {
  for (const std::string& item : in.List(key)) {
    const bool is_index =
        !item.empty() && std::all_of(item.begin(), item.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!is_index && std::find(names.begin(), names.end(), item) == names.end()) names.push_back(item);
  }
}

ReportField ToReportField(const std::string& name) {
  static constexpr std::pair<const char*, ReportField> kFields[] = {
      {fields::kReportInflight, ReportField::kInflight},
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

void ParseProxies(const Pairs& in, Site& site) {
  site.zones = in.List(fields::kZones);
  site.kinds = in.List(fields::kMachineKinds);
  site.module.gateway_count = in.Count(fields::kProxyCount, 1);
  site.module.gateway_index = in.Count(fields::kOwnIndex);
  site.module.zone = static_cast<std::uint16_t>(in.Count(fields::kOwnZone));
  site.module.tick = in.Time(fields::kDecisionInterval);
}

void ParseClasses(const Pairs& in, Site& site) {
  namespace f = fields::request_class;
  const auto count = static_cast<std::size_t>(in.Count(fields::kClassCount));
  for (std::size_t i = 0; i < count; ++i) {
    AddUnlistedNames(in, fields::ClassPath(i, f::kBoundZones), site.zones);
    AddUnlistedNames(in, fields::ClassPath(i, f::kBoundMachineKinds), site.kinds);
  }
  for (std::size_t i = 0; i < count; ++i) {
    site.module.classes.push_back(ParseClass(in, i, site.zones, site.kinds));
    site.classes.push_back(in.Text(fields::ClassPath(i, f::kName)));
  }
}

void ParseTenants(const Pairs& in, Site& site) {
  const auto count = static_cast<std::size_t>(in.Count(fields::kTenantCount));
  for (std::size_t i = 0; i < count; ++i) {
    site.module.tenants.push_back({in.Number(fields::TenantPath(i, fields::tenant::kQuota))});
    site.tenants.push_back(in.Text(fields::TenantPath(i, fields::tenant::kName)));
  }
  site.module.over_quota_weight_share = in.Number(fields::kOverQuotaWeightShare, 1);
}

void ParseReports(const Pairs& in, Site& site) {
  site.report_fields = in.List(fields::kReportFields);
  for (const std::string& field : site.report_fields)
    site.module.report_fields.push_back(ToReportField(field));
  site.module.reports_in_responses = in.Text(fields::kReportSource) == fields::kReportsInResponses;
}

void ParseGuarantees(const Pairs& in, Settings& s) {
  s.drain_grace = in.Time(fields::kDrainGrace);
  s.slow_start_initial_share = in.Number(fields::kSlowStartInitialShare);
  s.slow_start_duration = in.Time(fields::kSlowStartDuration);
  s.overload_factor = in.Number(fields::kOverloadFactor);
  s.overload_window = in.Time(fields::kOverloadWindow);
  s.ordering_key_pause = in.Time(fields::kOrderingKeyPause);
  s.must_ask_within = in.Time(fields::kMustAskWithin);
  if (in.Has(fields::kRetryBudgetWindow)) {
    s.retry_budget =
        RetryBudgetSettings{in.Number(fields::kRetryBudgetFree), in.Number(fields::kRetryBudgetRatio),
                            in.Time(fields::kRetryBudgetWindow)};
  }
}

void ParsePermissions(const Pairs& in, Settings& s) {
  s.may_cancel = in.Flag(fields::kMayCancel);
  s.may_probe = in.Flag(fields::kMayProbe);
  s.may_hedge = in.Flag(fields::kMayHedge);
  s.may_message_peers = in.Flag(fields::kMayMessagePeers);
  s.may_send_retry_after = in.Flag(fields::kMaySendRetryAfter);
  s.max_attempts = in.Count(fields::kMaxAttempts, 1);
  s.max_retry_after = in.Time(fields::kMaxRetryAfter);
  s.connect_timeout = in.Time(fields::kConnectTimeout);
  if (s.connect_timeout == 0) s.connect_timeout = kDefaultConnectTimeout;
}

// Returns the length of the shortest of the lists with a value for each class, or `classes` if there is none.
std::size_t ShortestClassList(const Pairs& in, std::size_t classes) {
  std::size_t shortest = classes;
  for (const char* list : {fields::kThreads, fields::kHoldsTables, fields::kBlockedByLoads})
    if (in.Has(list)) shortest = std::min(shortest, in.List(list).size());
  return shortest;
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
  ParseProxies(in, site);
  ParseClasses(in, site);
  ParseTenants(in, site);
  ParseReports(in, site);
  ParseGuarantees(in, s);
  s.list_on_request = in.Text(fields::kListMode) == fields::kListOnRequest;
  ParsePermissions(in, s);
  s.late_fail_price = in.Number(fields::kLateFailPrice);
  s.cross_zone_price = in.Number(fields::kCrossZonePrice);
  ParseEngines(in, s);
  FillCores(s, site.kinds.size());
  site.shortest_class_list = ShortestClassList(in, site.classes.size());
  site.response_slack = in.Time(fields::kResponseSlack);
  site.keepalive = in.Time(fields::kKeepalive);
  site.max_open_requests = in.Count(fields::kMaxOpenRequests);
  return site;
}

}  // namespace lemoncroft::settings
