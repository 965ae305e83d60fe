#include "settings/check.h"

#include <algorithm>
#include <initializer_list>
#include <set>
#include <string_view>
#include <utility>

namespace lemoncroft::settings {
namespace {

constexpr std::size_t kMaxNameLength = 64;          // characters
constexpr std::size_t kMaxNames = 16'384;           // of one kind: well below what a 16-bit number can tell
constexpr Nanos kMaxDeadline = 86'400'000'000'000;  // a day: past it, it is no figure
constexpr Nanos kMaxTick = 1'000'000'000;
constexpr double kMaxValue = 1e9;
constexpr int kMaxAttempts = 100;
constexpr std::size_t kMaxUnknownKeysListed = 16;  // keys that nothing reads, named one by one

// Every key of the settings' page. Members of lists are written with [] in the place of their number.
constexpr std::string_view kKnownKeys[] = {
    "siblings",
    "requestClasses.count",
    "requestClasses[].aimStretch",
    "requestClasses[].promiseNs",
    "requestClasses[].deadlineNs",
    "requestClasses[].effect",
    "requestClasses[].group",
    "requestClasses[].fifoByKey",
    "requestClasses[].lateWorth",
    "requestClasses[].name",
    "requestClasses[].boundTo",
    "requestClasses[].staysIn",
    "requestClasses[].streaming",
    "requestClasses[].repeatWindowNs",
    "requestClasses[].credit",
    "clients.marksRetry",
    "membershipMode",
    "serviceType",
    "specifics.holdsTables",
    "specifics.threadsByClass",
    "specifics.blockedByLoads",
    "specifics.takesGrants",
    "specifics.cpuOfKind",
    "specifics.ramOfKindMb",
    "specifics.maxGrantShare",
    "specifics.notes",
    "specifics.ranksHeeded",
    "specifics.progressNs",
    "specifics.reportX0",
    "specifics.reportX1",
    "specifics.saysCost",
    "specifics.memoryShort",
    "scoreParts.whole",
    "scoreParts.worstClass",
    "scoreParts.worstTenant",
    "scoreParts.worstWindow",
    "flavors",
    "limits.cancel",
    "limits.keepaliveNs",
    "limits.connectTimeoutNs",
    "limits.cpuUsPerRequest",
    "limits.cpuUsPerS",
    "limits.maxAttempts",
    "limits.maxOpen",
    "limits.maxRetryAfterNs",
    "limits.peers",
    "limits.probing",
    "limits.retryAfter",
    "limits.mayDuplicate",
    "limits.streamsPerConn",
    "me",
    "overShareWorth",
    "prices.connection",
    "prices.crossZone",
    "prices.membershipMode",
    "prices.fleet",
    "prices.handshake",
    "prices.lateFail",
    "prices.moves",
    "prices.origin",
    "prices.peer",
    "prices.probe",
    "prices.waste",
    "report.fields",
    "report.source",
    "guarantees.answerSlackNs",
    "guarantees.mustAskInNs",
    "guarantees.freeResends",
    "guarantees.extraRatio",
    "guarantees.lookBackNs",
    "guarantees.coldFrom",
    "guarantees.warmWithinNs",
    "guarantees.drainGraceNs",
    "guarantees.overloadFactor",
    "guarantees.fallNs",
    "guarantees.orderPauseNs",
    "tenants",  // an empty list is a plain value
    "tenants.count",
    "tenants[].name",
    "tenants[].quotaPerS",
    "tenants[].portion",
    "tickNs",
    "tier",
    "tiers",
    "weights",
    "worthBy",
    "zone",
    "dcs",
};

// requestClasses.3.name as requestClasses[].name.
std::string WithoutNumbers(const std::string& path) {
  std::string out;
  for (std::size_t from = 0; from <= path.size();) {
    const std::size_t end = std::min(path.find('.', from), path.size());
    const std::string part = path.substr(from, end - from);
    const bool number =
        !part.empty() && std::all_of(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; });
    out += number ? "[]" : (out.empty() ? "" : ".") + part;
    from = end + 1;
  }
  return out;
}

// Names become fields of frames, headers and figures.
bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 0x7f && c != '='; });
}

class Checker {
 public:
  Checker(const Pairs& in, const Site& site) : in_(in), site_(site) {}

  std::vector<Finding> Run() {
    if (std::none_of(site_.classes.begin(), site_.classes.end(), IsName))
      Add(Severity::kFatal, "requestClasses: none has a name that a request could give");
    Names(site_.classes, "requestClasses");
    Names(site_.tenants, "tenants");
    for (std::size_t i = 0; i < site_.classes.size(); ++i) Class(i);
    Tenants();
    Attempts();
    ColdEngines();
    Reports();
    Fleet();
    Engines();
    Sockets();
    UnknownKeys();
    std::stable_sort(findings_.begin(), findings_.end(),
                     [](const Finding& a, const Finding& b) { return a.severity > b.severity; });
    return std::move(findings_);
  }

 private:
  void Add(Severity severity, std::string text) {
    findings_.push_back({severity, "settings." + std::move(text)});
  }
  void Warn(std::string text) { Add(Severity::kWarning, std::move(text)); }
  void OutOfRange(const std::string& where) { Add(Severity::kError, where + ": out of range"); }

  void Names(const std::vector<std::string>& names, const std::string& what) {
    std::set<std::string> seen;
    bool unusable = false;
    for (const std::string& name : names) {
      unusable = unusable || !IsName(name);
      if (!seen.insert(name).second && !name.empty())
        Add(Severity::kError, what + ": '" + name + "' is there twice");
    }
    if (unusable) Add(Severity::kError, what + ": a name is missing or unusable");
    if (names.size() > kMaxNames) Add(Severity::kError, what + ": more than " + std::to_string(kMaxNames));
  }

  void Word(Severity severity, const std::string& key, const std::string& where,
            std::initializer_list<std::string_view> words, const std::string& taken) {
    const std::string word = in_.Text(key);
    if (word.empty() || std::find(words.begin(), words.end(), word) != words.end()) return;
    Add(severity, where + ": '" + word + "' is unknown, and taken as " + taken);
  }

  void Class(std::size_t i) {
    const ClassSettings& c = site_.module.classes[i];
    const std::string key = "requestClasses." + std::to_string(i) + ".";
    const std::string where = "requestClasses '" + site_.classes[i] + "' ";
    if (c.deadline <= 0 || c.deadline > kMaxDeadline) OutOfRange(where + "deadlineNs");
    if (c.latency_objective > kMaxDeadline) OutOfRange(where + "promiseNs");
    if (!(c.priority_weight >= 0 && c.priority_weight <= kMaxValue)) OutOfRange(where + "credit");
    if (!(c.late_weight_share >= 0 && c.late_weight_share <= 1)) OutOfRange(where + "lateWorth");
    if (!(c.latency_objective_stretch >= 0 && c.latency_objective_stretch <= kMaxValue))
      OutOfRange(where + "aimStretch");
    Word(Severity::kError, key + "effect", where + "effect", {"pure", "token", "side_effect"}, "side_effect");
    Word(Severity::kError, key + "group", where + "group", {"all", "zone", "cell"}, "cell");
    if (in_.Time(key + "promiseNs") == 0 && c.latency_objective_stretch <= 0)
      Warn(where + "promiseNs: none; its deadline is taken in its place");
    if (c.latency_objective > c.deadline)
      Warn(where + "promiseNs: past its deadline, where nobody waits any more");
    if (c.effect == Effect::kKeyed && c.repeat_window <= 0)
      Warn(where + "repeatWindowNs: none, so what may have run is never tried again");
    if (c.in_order && site_.module.order_settle <= 0)
      Warn(where + "fifoByKey: guarantees.orderPauseNs is absent, so a key's next request follows at once");
    if (c.streaming) Warn(where + "streaming: answers are passed on whole");
    Bound(key + "staysIn", where + "staysIn", c.zones, in_.List("dcs").size(), site_.zones, "zone");
    Bound(key + "boundTo", where + "boundTo", c.kinds, in_.List("flavors").size(), site_.kinds,
          "machine kind");
  }

  // Places that the settings don't list may still come up in the list of engines.
  void Bound(const std::string& key, const std::string& where, const std::vector<std::uint16_t>& places,
             std::size_t listed, const std::vector<std::string>& names, const std::string& what) {
    if (in_.all().contains(key) && places.empty()) Warn(where + ": an empty list binds it to nothing");
    std::size_t unlisted = 0;
    for (const std::uint16_t place : places) {
      if (place < listed) continue;
      ++unlisted;
      const std::string name = place < names.size() ? names[place] : std::to_string(place);
      Warn(where + ": the settings list no " + what + " '" + name + "'");
    }
    if (unlisted > 0 && unlisted == places.size())
      Warn(where + ": its requests wait until an engine of such a " + what + " is listed");
  }

  void Tenants() {
    for (std::size_t i = 0; i < site_.tenants.size(); ++i) {
      const double quota = site_.module.tenants[i].quota_per_s;
      if (!(quota >= 0 && quota <= kMaxValue)) OutOfRange("tenants '" + site_.tenants[i] + "' quotaPerS");
    }
    const double priority_weight = site_.module.over_quota_weight_share;
    if (!(priority_weight >= 0 && priority_weight <= 1)) Warn("overShareWorth: not between 0 and 1");
  }

  void Attempts() {
    if (site_.module.max_attempts < 1 || site_.module.max_attempts > kMaxAttempts)
      OutOfRange("limits.maxAttempts");
    const bool window = in_.Has("guarantees.lookBackNs");
    const bool budget = in_.Has("guarantees.freeResends") || in_.Has("guarantees.extraRatio");
    if (budget && !window) Warn("guarantees.lookBackNs: absent, so no budget of further attempts is kept");
    if (window && !budget)
      Warn("guarantees.lookBackNs: without freeResends and extraRatio nothing is tried a second time");
    if (window && in_.Time("guarantees.lookBackNs") <= 0)
      Warn("guarantees.lookBackNs: 0, so no budget of further attempts is kept");
    if (site_.module.may_send_retry_after && site_.module.max_retry_after <= 0)
      Warn("limits.retryAfter: maxRetryAfterNs is 0, so no refusal tells when to come back");
  }

  void ColdEngines() {
    const Settings& s = site_.module;
    if ((s.overload_window > 0) != (s.overload_factor > 0))
      Warn("guarantees: one of fallNs and overloadFactor is absent, so engines that start are not spared");
    if (!(s.slow_start_initial_share >= 0 && s.slow_start_initial_share <= 1))
      Warn("guarantees.coldFrom: not between 0 and 1");
  }

  void Reports() {
    const std::string source = in_.Text("report.source");
    const std::vector<std::string> fields = in_.List("report.fields");
    if (source != "answers" && source != "probe" && source != "none" && !source.empty())
      Warn("report.source: '" + source + "' is none of answers, probe and none");
    const bool reports = source == "answers" || source == "probe";
    if (reports && fields.empty()) Warn("report.fields: none, so reports tell nothing");
    if (!reports && !fields.empty()) Warn("report.fields: no source brings them");
    if (source == "probe" && !site_.module.may_probe)
      Warn("report.source: reports come with probes alone, and limits.probing allows none");
    const bool too_many = fields.size() > kMaxReportFields;
    const auto read_end = too_many ? fields.begin() + kMaxReportFields : fields.end();
    if (too_many) Warn("report.fields: only the first four are read");
    if (reports && !fields.empty() && std::find(fields.begin(), read_end, "inflight") == read_end)
      Warn("report.fields: without inflight a report tells nothing that is used");
  }

  void Fleet() {
    const Settings& s = site_.module;
    const std::size_t zones = in_.List("dcs").size();
    if (in_.Has("siblings") && in_.Count("siblings") == 0) Warn("siblings: 0 is taken as 1");
    if (s.self >= std::max(1, s.gateways)) Warn("me: not below siblings");
    if (zones > 0 && s.zone >= zones) Warn("zone: the settings list no such zone");
    if (s.tick > kMaxTick) OutOfRange("tickNs");
    const std::string mode = in_.Text("membershipMode");
    if (!mode.empty() && mode != "pushed" && mode != "on_request")
      Warn("membershipMode: '" + mode + "' is neither pushed nor on_request");
    if (s.list_on_request) Warn("membershipMode: on_request; the control feed is followed all the time");
  }

  void Engines() {
    const Settings& s = site_.module;
    if (site_.per_class < site_.classes.size())
      Add(Severity::kError, "specifics: values of some classes are missing, and: out of range");
    Word(Severity::kWarning, "specifics.memoryShort", "specifics.memoryShort", {"queue", "trim", "swap"},
         "trim");
    const std::size_t kinds = in_.List("flavors").size();
    const std::vector<double> cores = in_.Numbers("specifics.cpuOfKind");
    const std::vector<double> memory = in_.Numbers("specifics.ramOfKindMb");
    if (cores.size() < kinds || std::any_of(cores.begin(), cores.end(), [](double c) { return !(c > 0); }))
      Warn("specifics.cpuOfKind: cores of some kinds are missing; the least of the others is taken");
    if (s.honors_memory_grants && memory.size() < kinds)
      Warn("specifics.ramOfKindMb: engines of a kind without memory choose their grants themselves");
    if (s.honors_memory_grants && !(s.max_grant_share > 0 && s.max_grant_share <= 1))
      Warn("specifics.maxGrantShare: not above 0 and at most 1");
  }

  void Sockets() {
    const Settings& s = site_.module;
    if (s.connect_timeout > kMaxDeadline) OutOfRange("limits.connectTimeoutNs");
    if (in_.Time("limits.connectTimeoutNs") == 0)
      Warn("limits.connectTimeoutNs: none; 250 ms is taken in its place");
    if (s.progress_every > 0)
      Warn("specifics.progressNs: notes are not read; attempts are judged by how long they run");
  }

  void UnknownKeys() {
    static const std::set<std::string_view> kKnown(std::begin(kKnownKeys), std::end(kKnownKeys));
    std::set<std::string> unknown;
    for (const auto& [path, value] : in_.all()) {
      std::string key = WithoutNumbers(path);
      if (!kKnown.contains(key)) unknown.insert(std::move(key));
    }
    std::size_t told = 0;
    for (const std::string& key : unknown) {
      if (++told > kMaxUnknownKeysListed) break;
      Warn(key + ": unknown, without effect");
    }
    if (unknown.size() > kMaxUnknownKeysListed)
      Warn("*: " + std::to_string(unknown.size() - kMaxUnknownKeysListed) + " further keys are unknown");
  }

  const Pairs& in_;
  const Site& site_;
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Finding> Check(const Pairs& in, const Site& site) { return Checker(in, site).Run(); }

}  // namespace lemoncroft::settings
