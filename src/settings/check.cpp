#include "settings/check.h"

#include <algorithm>
#include <initializer_list>
#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "settings/setting_fields.h"

namespace lemoncroft::settings {
namespace {

namespace request_class = fields::request_class;

constexpr std::size_t kMaxNameLength = 64;  // characters
constexpr std::size_t kMaxNames = 16'384;   // of classes or of tenants, which are numbered with 16 bits
constexpr Nanos kMaxDuration = 86'400'000'000'000;  // a day
constexpr Nanos kMaxTick = 1'000'000'000;
constexpr double kMaxValue = 1e9;
constexpr int kMaxAttempts = 100;
constexpr std::size_t kMaxUnknownKeysListed = 16;

// The fields of each class, the fields of each tenant, and the other keys that are read.
constexpr const char* kClassFields[] = {request_class::kName,
                                        request_class::kLatencyObjective,
                                        request_class::kClientTimeout,
                                        request_class::kLatencyObjectiveStretch,
                                        request_class::kPriorityWeight,
                                        request_class::kLateWeightShare,
                                        request_class::kEffect,
                                        request_class::kRepeatGroup,
                                        request_class::kRepeatWindow,
                                        request_class::kInOrder,
                                        request_class::kStreaming,
                                        request_class::kBoundZones,
                                        request_class::kBoundMachineKinds};
constexpr const char* kTenantFields[] = {fields::tenant::kName, fields::tenant::kQuota};
constexpr const char* kOtherKeys[] = {
    fields::kProxyCount,
    fields::kOwnIndex,
    fields::kOwnZone,
    fields::kZones,
    fields::kMachineKinds,
    fields::kDecisionInterval,
    fields::kListMode,
    fields::kClassCount,
    fields::kTenants,  // an empty list is flattened to a single empty value
    fields::kTenantCount,
    fields::kOverQuotaWeightShare,
    fields::kReportSource,
    fields::kReportFields,
    fields::kDrainGrace,
    fields::kSlowStartInitialShare,
    fields::kSlowStartDuration,
    fields::kOverloadFactor,
    fields::kOverloadWindow,
    fields::kOrderingKeyPause,
    fields::kMustAskWithin,
    fields::kRetryBudgetWindow,
    fields::kRetryBudgetFree,
    fields::kRetryBudgetRatio,
    fields::kResponseSlack,
    fields::kMayCancel,
    fields::kMayProbe,
    fields::kMayHedge,
    fields::kMayMessagePeers,
    fields::kMaySendRetryAfter,
    fields::kMaxAttempts,
    fields::kMaxRetryAfter,
    fields::kConnectTimeout,
    fields::kKeepalive,
    fields::kMaxOpenRequests,
    fields::kLateFailPrice,
    fields::kCrossZonePrice,
    fields::kThreads,
    fields::kHoldsTables,
    fields::kBlockedByLoads,
    fields::kCores,
    fields::kMemory,
    fields::kHonorsMemoryGrants,
    fields::kHonorsPriorities,
    fields::kMaxGrantShare,
    fields::kMemoryShortagePolicy,
    fields::kProgressInterval,
    fields::kReportsCost,
};

// Returns all keys of docs/settings.md, with [] in place of the index of a list item.
std::set<std::string> KnownKeys() {
  std::set<std::string> keys(std::begin(kOtherKeys), std::end(kOtherKeys));
  for (const char* field : kClassFields) keys.insert(fields::AnyClassPath(field));
  for (const char* field : kTenantFields) keys.insert(fields::AnyTenantPath(field));
  keys.insert(std::begin(fields::kUnused), std::end(fields::kUnused));
  return keys;
}

// Replaces each index by []: requestClasses.3.name becomes requestClasses[].name.
std::string WithoutIndices(const std::string& path) {
  std::string out;
  for (std::size_t from = 0; from <= path.size();) {
    const std::size_t end = std::min(path.find('.', from), path.size());
    const std::string part = path.substr(from, end - from);
    const bool is_index =
        !part.empty() && std::all_of(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; });
    out += is_index ? "[]" : (out.empty() ? "" : ".") + part;
    from = end + 1;
  }
  return out;
}

// Returns true if a name can be used in frames, headers and metrics.
bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 0x7f && c != '='; });
}

class Checker {
 public:
  Checker(const Pairs& in, const Site& site) : in_(in), site_(site) {}

  std::vector<Finding> Run() {
    if (std::none_of(site_.classes.begin(), site_.classes.end(), IsValidName))
      Add(Severity::kFatal, std::string(fields::kClasses) + ": none has a name that a request could give");
    CheckNames(site_.classes, fields::kClasses);
    CheckNames(site_.tenants, fields::kTenants);
    for (std::size_t i = 0; i < site_.classes.size(); ++i) CheckClass(i);
    CheckTenants();
    CheckAttempts();
    CheckSlowStart();
    CheckLoadReports();
    CheckFleet();
    CheckEngines();
    CheckConnections();
    CheckUnknownKeys();
    std::stable_sort(findings_.begin(), findings_.end(),
                     [](const Finding& a, const Finding& b) { return a.severity > b.severity; });
    return std::move(findings_);
  }

 private:
  void Add(Severity severity, std::string text) {
    findings_.push_back({severity, "settings." + std::move(text)});
  }
  // `where` identifies the setting: its key, preceded by the name of its class or tenant, if any.
  void Warn(const std::string& where, const std::string& text) {
    Add(Severity::kWarning, where + ": " + text);
  }
  void AddOutOfRange(const std::string& where) { Add(Severity::kError, where + ": out of range"); }

  void CheckNames(const std::vector<std::string>& names, const std::string& what) {
    std::set<std::string> seen;
    bool has_invalid_name = false;
    for (const std::string& name : names) {
      has_invalid_name = has_invalid_name || !IsValidName(name);
      if (!seen.insert(name).second && !name.empty())
        Add(Severity::kError, what + ": '" + name + "' is given twice");
    }
    if (has_invalid_name) Add(Severity::kError, what + ": a name is missing or invalid");
    if (names.size() > kMaxNames) Add(Severity::kError, what + ": more than " + std::to_string(kMaxNames));
  }

  // Checks that a value, if there is one, is one of `words`.
  void CheckWord(Severity severity, const std::string& key, const std::string& where,
                 std::initializer_list<std::string_view> words, const std::string& taken_as) {
    const std::string word = in_.Text(key);
    if (word.empty() || std::find(words.begin(), words.end(), word) != words.end()) return;
    Add(severity, where + ": '" + word + "' is unknown, and taken as " + taken_as);
  }

  // Return how findings identify a setting of a class or tenant.
  std::string ClassSetting(std::size_t i, const char* field) const {
    return std::string(fields::kClasses) + " '" + site_.classes[i] + "' " + field;
  }
  std::string TenantSetting(std::size_t i, const char* field) const {
    return std::string(fields::kTenants) + " '" + site_.tenants[i] + "' " + field;
  }

  void CheckClass(std::size_t i) {
    CheckClassRanges(i);
    CheckClassWords(i);
    CheckClassContradictions(i);
    CheckClassPlacement(i);
  }

  void CheckClassRanges(std::size_t i) {
    const ClassSettings& c = site_.module.classes[i];
    const auto check = [this, i](const char* field, bool in_range) {
      if (!in_range) AddOutOfRange(ClassSetting(i, field));
    };
    check(request_class::kClientTimeout, c.client_timeout > 0 && c.client_timeout <= kMaxDuration);
    check(request_class::kLatencyObjective, c.latency_objective <= kMaxDuration);
    check(request_class::kPriorityWeight, c.priority_weight >= 0 && c.priority_weight <= kMaxValue);
    check(request_class::kLateWeightShare, c.late_weight_share >= 0 && c.late_weight_share <= 1);
    check(request_class::kLatencyObjectiveStretch,
          c.latency_objective_stretch >= 0 && c.latency_objective_stretch <= kMaxValue);
  }

  void CheckClassWords(std::size_t i) {
    namespace f = request_class;
    CheckWord(Severity::kError, fields::ClassPath(i, f::kEffect), ClassSetting(i, f::kEffect),
              {f::kEffectSafe, f::kEffectKeyed, f::kEffectUnsafe}, f::kEffectUnsafe);
    CheckWord(Severity::kError, fields::ClassPath(i, f::kRepeatGroup), ClassSetting(i, f::kRepeatGroup),
              {f::kGroupAll, f::kGroupZone, f::kGroupCell}, f::kGroupCell);
  }

  void CheckClassContradictions(std::size_t i) {
    const ClassSettings& c = site_.module.classes[i];
    const auto warn = [this, i](const char* field, const std::string& text) {
      Warn(ClassSetting(i, field), text);
    };
    const bool has_objective = in_.Time(fields::ClassPath(i, request_class::kLatencyObjective)) != 0;
    if (!has_objective && c.latency_objective_stretch <= 0)
      warn(request_class::kLatencyObjective, "none; the deadline of the class is used instead");
    if (c.latency_objective > c.client_timeout)
      warn(request_class::kLatencyObjective, "later than the deadline, when clients no longer wait");
    if (c.effect == Effect::kKeyed && c.repeat_window <= 0)
      warn(request_class::kRepeatWindow, "none, so a request that may have run is never retried");
    if (c.in_order && site_.module.ordering_key_pause <= 0)
      warn(request_class::kInOrder,
           std::string(fields::kOrderingKeyPause) +
               " is absent or 0, so the next request of an ordering key is sent without a pause");
    if (c.streaming) warn(request_class::kStreaming, "responses are not streamed, but delivered complete");
  }

  void CheckClassPlacement(std::size_t i) {
    namespace f = request_class;
    const ClassSettings& c = site_.module.classes[i];
    CheckBinding(fields::ClassPath(i, f::kBoundZones), ClassSetting(i, f::kBoundZones), c.zones,
                 in_.List(fields::kZones).size(), site_.zones, "zone");
    CheckBinding(fields::ClassPath(i, f::kBoundMachineKinds), ClassSetting(i, f::kBoundMachineKinds), c.kinds,
                 in_.List(fields::kMachineKinds).size(), site_.kinds, "machine kind");
  }

  // Checks the zones or machine kinds that a class is bound to. Those that the settings don't list may still
  // appear in the endpoint list.
  void CheckBinding(const std::string& key, const std::string& where,
                    const std::vector<std::uint16_t>& indices, std::size_t listed,
                    const std::vector<std::string>& names, const std::string& what) {
    if (in_.all().contains(key) && indices.empty()) Warn(where, "an empty list does not restrict the class");
    std::size_t unlisted = 0;
    for (const std::uint16_t index : indices) {
      if (index < listed) continue;
      ++unlisted;
      const std::string name = index < names.size() ? names[index] : std::to_string(index);
      Warn(where, "the settings list no " + what + " '" + name + "'");
    }
    if (unlisted > 0 && unlisted == indices.size())
      Warn(where, "requests of the class wait until an engine of such a " + what + " is listed");
  }

  void CheckTenants() {
    for (std::size_t i = 0; i < site_.tenants.size(); ++i) {
      const double quota = site_.module.tenants[i].quota_per_s;
      if (!(quota >= 0 && quota <= kMaxValue)) AddOutOfRange(TenantSetting(i, fields::tenant::kQuota));
    }
    const double share = site_.module.over_quota_weight_share;
    if (!(share >= 0 && share <= 1)) Warn(fields::kOverQuotaWeightShare, "not between 0 and 1");
  }

  void CheckAttempts() {
    if (site_.module.max_attempts < 1 || site_.module.max_attempts > kMaxAttempts)
      AddOutOfRange(fields::kMaxAttempts);
    const bool has_window = in_.Has(fields::kRetryBudgetWindow);
    const bool has_amount = in_.Has(fields::kRetryBudgetFree) || in_.Has(fields::kRetryBudgetRatio);
    if (has_amount && !has_window) Warn(fields::kRetryBudgetWindow, "absent, so there is no retry budget");
    if (has_window && !has_amount)
      Warn(fields::kRetryBudgetWindow, "without freeResends and extraRatio nothing is retried");
    if (has_window && in_.Time(fields::kRetryBudgetWindow) <= 0)
      Warn(fields::kRetryBudgetWindow, "0, so there is no retry budget");
    if (site_.module.may_send_retry_after && site_.module.max_retry_after <= 0)
      Warn(fields::kMaySendRetryAfter, "maxRetryAfterNs is 0, so rejections do not say when to retry");
  }

  void CheckSlowStart() {
    const Settings& s = site_.module;
    if ((s.overload_window > 0) != (s.overload_factor > 0))
      Warn("guarantees",
           "only one of fallNs and overloadFactor is set, so the overload of warming engines is not limited");
    if (!(s.slow_start_initial_share >= 0 && s.slow_start_initial_share <= 1))
      Warn(fields::kSlowStartInitialShare, "not between 0 and 1");
  }

  void CheckLoadReports() {
    const std::string source = in_.Text(fields::kReportSource);
    const std::vector<std::string> names = in_.List(fields::kReportFields);
    const bool in_responses = source == fields::kReportsInResponses,
               in_probes = source == fields::kReportsInProbes;
    const bool has_source = in_responses || in_probes;
    if (!has_source && source != fields::kNoReports && !source.empty())
      Warn(fields::kReportSource, "'" + source + "' is not one of answers, probe and none");
    if (has_source && names.empty()) Warn(fields::kReportFields, "none, so load reports contain no values");
    if (!has_source && !names.empty()) Warn(fields::kReportFields, "no source provides these fields");
    if (in_probes && !site_.module.may_probe)
      Warn(fields::kReportSource, "load reports come only with probes, which limits.probing does not allow");
    const bool too_many = names.size() > kMaxReportFields;
    const auto read_end = too_many ? names.begin() + kMaxReportFields : names.end();
    if (too_many) Warn(fields::kReportFields, "only the first four are read");
    const bool has_inflight = std::find(names.begin(), read_end, fields::kReportInflight) != read_end;
    if (has_source && !names.empty() && !has_inflight)
      Warn(fields::kReportFields, "without inflight, no value of a load report is used");
  }

  void CheckFleet() {
    const Settings& s = site_.module;
    const std::size_t zones = in_.List(fields::kZones).size();
    if (in_.Has(fields::kProxyCount) && in_.Count(fields::kProxyCount) == 0)
      Warn(fields::kProxyCount, "0 is taken as 1");
    if (s.gateway_index >= std::max(1, s.gateway_count)) Warn(fields::kOwnIndex, "not less than siblings");
    if (zones > 0 && s.zone >= zones) Warn(fields::kOwnZone, "the settings list no such zone");
    if (s.tick > kMaxTick) AddOutOfRange(fields::kDecisionInterval);
    const std::string mode = in_.Text(fields::kListMode);
    if (!mode.empty() && mode != fields::kListPushed && mode != fields::kListOnRequest)
      Warn(fields::kListMode, "'" + mode + "' is neither pushed nor on_request");
    if (s.list_on_request) Warn(fields::kListMode, "on_request; the control feed is followed all the time");
  }

  void CheckEngines() {
    const Settings& s = site_.module;
    if (site_.shortest_class_list < site_.classes.size())
      Add(Severity::kError, "specifics: a list has fewer values than there are classes: out of range");
    CheckWord(Severity::kWarning, fields::kMemoryShortagePolicy, fields::kMemoryShortagePolicy,
              {fields::kMemoryShortageQueue, fields::kMemoryShortageTrim, fields::kMemoryShortageSwap},
              fields::kMemoryShortageTrim);
    const std::size_t kinds = in_.List(fields::kMachineKinds).size();
    const std::vector<double> cores = in_.Numbers(fields::kCores);
    const std::vector<double> memory = in_.Numbers(fields::kMemory);
    if (cores.size() < kinds || std::any_of(cores.begin(), cores.end(), [](double c) { return !(c > 0); }))
      Warn(fields::kCores,
           "a kind has no value above 0; it gets the fewest cores of the other kinds or, if no kind has a "
           "value, the most threads of any class");
    if (s.honors_memory_grants && memory.size() < kinds)
      Warn(fields::kMemory, "engines of a kind without memory choose their grants themselves");
    if (s.honors_memory_grants && !(s.max_grant_share > 0 && s.max_grant_share <= 1))
      Warn(fields::kMaxGrantShare, "not above 0 and at most 1");
  }

  void CheckConnections() {
    const Settings& s = site_.module;
    if (s.connect_timeout > kMaxDuration) AddOutOfRange(fields::kConnectTimeout);
    if (in_.Time(fields::kConnectTimeout) == 0)
      Warn(fields::kConnectTimeout, "none; 250 ms is taken in its place");
    if (s.progress_interval > 0)
      Warn(fields::kProgressInterval, "notes are not read; attempts are judged by their run time");
  }

  void CheckUnknownKeys() {
    static const std::set<std::string> kKnown = KnownKeys();
    std::set<std::string> unknown;
    for (const auto& [path, value] : in_.all()) {
      std::string key = WithoutIndices(path);
      if (!kKnown.contains(key)) unknown.insert(std::move(key));
    }
    std::size_t listed = 0;
    for (const std::string& key : unknown) {
      if (++listed > kMaxUnknownKeysListed) break;
      Warn(key, "unknown, without effect");
    }
    if (unknown.size() > kMaxUnknownKeysListed)
      Warn("*", std::to_string(unknown.size() - kMaxUnknownKeysListed) + " further keys are unknown");
  }

  const Pairs& in_;
  const Site& site_;
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Finding> Check(const Pairs& in, const Site& site) { return Checker(in, site).Run(); }

}  // namespace lemoncroft::settings
