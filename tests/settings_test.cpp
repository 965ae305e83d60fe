// The parser and the checks of settings. Each fault is reported as a finding, and the classes that can be
// served are served nevertheless.
#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "discovery/endpoint_directory.h"
#include "lemoncroft/gateway.h"
#include "proxy/config.h"
#include "settings/check.h"
#include "settings/migration.h"

namespace lemoncroft {
namespace {

using nlohmann::json;
using settings::Severity;

constexpr Nanos kMs = 1'000'000;

// A configuration with every kind of setting and without findings.
json GoodConfig() {
  return json::parse(R"({
    "name": "n1", "listen": "127.0.0.1:5050", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": "",
    "known": {"n": 0, "events": []},
    "settings": {
      "siblings": 3, "me": 1, "zone": 1, "dcs": ["east", "west"], "flavors": ["small", "big"],
      "tickNs": 5000000, "membershipMode": "pushed", "serviceType": "queries", "tier": 0,
      "tiers": ["query-fleet"], "weights": "none", "worthBy": "request", "overShareWorth": 0.2,
      "clients": {"marksRetry": false},
      "requestClasses": [
        {"name": "lookup", "promiseNs": 600000000, "aimStretch": 2.0, "deadlineNs": 3000000000,
         "credit": 1.0, "lateWorth": 0.1, "effect": "pure", "group": "all",
         "repeatWindowNs": 5000000000, "streaming": false},
        {"name": "load", "promiseNs": 3000000000, "deadlineNs": 20000000000, "credit": 12.0,
         "lateWorth": 0.6, "effect": "token", "group": "zone", "repeatWindowNs": 20000000000,
         "fifoByKey": true, "staysIn": ["west"], "boundTo": ["big"], "streaming": false}],
      "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 1000}],
      "report": {"fields": ["inflight", "util"], "source": "answers"},
      "scoreParts": {"whole": 0.5, "worstClass": 0.5, "worstTenant": 0, "worstWindow": 0},
      "prices": {"probe": 0.01, "crossZone": 0.01},
      "specifics": {"threadsByClass": [1, 2], "holdsTables": [false, true],
        "blockedByLoads": [false, false], "cpuOfKind": [4, 8], "ramOfKindMb": [8192, 16384],
        "maxGrantShare": 0.4, "takesGrants": true, "ranksHeeded": true, "saysCost": true,
        "memoryShort": "queue", "progressNs": 0, "notes": "", "reportX0": "a", "reportX1": "b"},
      "limits": {"cancel": true, "mayDuplicate": true, "retryAfter": true, "maxAttempts": 5,
        "maxOpen": 1000, "maxRetryAfterNs": 1000000000, "connectTimeoutNs": 250000000,
        "keepaliveNs": 15000000000, "probing": true, "peers": false, "streamsPerConn": 100,
        "cpuUsPerRequest": 0.0, "cpuUsPerS": 657170},
      "guarantees": {"answerSlackNs": 20000000, "drainGraceNs": 250000000, "coldFrom": 0.31,
        "warmWithinNs": 14000000000, "overloadFactor": 4.0, "fallNs": 1000000000,
        "orderPauseNs": 300000000, "mustAskInNs": 10000000000, "freeResends": 5,
        "extraRatio": 0.1, "lookBackNs": 10000000000}}})");
}

// Returns GoodConfig() with another value of the setting at a path such as /limits/probing; null removes it.
json With(const std::string& path, const json& value) {
  json config = GoodConfig();
  const json::json_pointer at("/settings" + path);
  if (value.is_null())
    config.at(at.parent_pointer()).erase(at.back());
  else
    config[at] = value;
  return config;
}

proxy::Config Read(const json& config) { return proxy::ReadConfig(config.dump()); }

std::vector<std::string> TextsOf(const proxy::Config& config) {
  std::vector<std::string> texts;
  for (const settings::Finding& finding : config.findings) texts.push_back(finding.text);
  return texts;
}

TEST(SettingsCheck, ValidSettings_HaveNoFindings) {
  const proxy::Config config = Read(GoodConfig());
  EXPECT_EQ(TextsOf(config), std::vector<std::string>());
  EXPECT_NO_THROW(proxy::CheckSettings(config));
}

struct Fault {
  std::string path;
  json value;
  Severity severity;
  std::string text;  // the complete line without the prefix "settings."; empty: no finding
};

// The table of faults.
// NOLINTNEXTLINE(readability-function-size)
std::vector<Fault> Faults() {
  constexpr Severity kWarning = Severity::kWarning, kError = Severity::kError;
  const std::string lookup = "requestClasses 'lookup' ", load = "requestClasses 'load' ";
  return {
      {"/requestClasses/0/promiseNs", 0, kWarning, ""},  // the stretch alone defines an objective
      {"/requestClasses/1/promiseNs", 0, kWarning,
       load + "promiseNs: none; the deadline of the class is used instead"},
      {"/requestClasses/0/promiseNs", 4e9, kWarning,
       lookup + "promiseNs: later than the deadline, when clients no longer wait"},
      {"/requestClasses/0/deadlineNs", 0, kError, lookup + "deadlineNs: out of range"},
      {"/requestClasses/0/lateWorth", 2, kError, lookup + "lateWorth: out of range"},
      {"/requestClasses/0/credit", -1, kError, lookup + "credit: out of range"},
      {"/requestClasses/0/aimStretch", -1, kError, lookup + "aimStretch: out of range"},
      {"/requestClasses/0/name", "load", kError, "requestClasses: 'load' is given twice"},
      {"/requestClasses/0/name", "", kError, "requestClasses: a name is missing or invalid"},
      {"/requestClasses/0/streaming", true, kWarning,
       lookup + "streaming: responses are not streamed, but delivered complete"},
      {"/requestClasses/1/repeatWindowNs", nullptr, kWarning,
       load + "repeatWindowNs: none, so a request that may have run is never retried"},
      {"/guarantees/orderPauseNs", nullptr, kWarning,
       load + "fifoByKey: guarantees.orderPauseNs is absent or 0, so the next request of an ordering key is "
              "sent without a pause"},
      {"/requestClasses/1/boundTo",
       {"big", "gpu"},
       kWarning,
       load + "boundTo: the settings list no machine kind 'gpu'"},
      {"/requestClasses/1/boundTo",
       {"gpu"},
       kWarning,
       load + "boundTo: requests of the class wait until an engine of such a machine kind is listed"},
      {"/requestClasses/1/staysIn", {7}, kWarning, load + "staysIn: the settings list no zone '7'"},
      {"/requestClasses/1/staysIn", json::array(), kWarning,
       load + "staysIn: an empty list does not restrict the class"},
      {"/requestClasses/0/effect", "soft", kError,
       lookup + "effect: 'soft' is unknown, and taken as side_effect"},
      {"/requestClasses/0/group", "town", kError, lookup + "group: 'town' is unknown, and taken as cell"},
      {"/specifics/memoryShort", "spill", kWarning,
       "specifics.memoryShort: 'spill' is unknown, and taken as trim"},
      {"/tenants/0/quotaPerS", -1, kError, "tenants 'acme' quotaPerS: out of range"},
      {"/overShareWorth", 2, kWarning, "overShareWorth: not between 0 and 1"},
      {"/limits/maxAttempts", 0, kError, "limits.maxAttempts: out of range"},
      {"/guarantees/lookBackNs", nullptr, kWarning,
       "guarantees.lookBackNs: absent, so there is no retry budget"},
      {"/guarantees/lookBackNs", 0, kWarning, "guarantees.lookBackNs: 0, so there is no retry budget"},
      {"/limits/maxRetryAfterNs", 0, kWarning,
       "limits.retryAfter: maxRetryAfterNs is 0, so rejections do not say when to retry"},
      {"/guarantees/fallNs", nullptr, kWarning,
       "guarantees: only one of fallNs and overloadFactor is set, so the overload of warming engines is not "
       "limited"},
      {"/guarantees/coldFrom", 3, kWarning, "guarantees.coldFrom: not between 0 and 1"},
      {"/report/source", "gossip", kWarning, "report.source: 'gossip' is not one of answers, probe and none"},
      {"/report/source", "none", kWarning, "report.fields: no source provides these fields"},
      {"/report/fields", json::array(), kWarning, "report.fields: none, so load reports contain no values"},
      {"/report/fields",
       {"util", "x0"},
       kWarning,
       "report.fields: without inflight, no value of a load report is used"},
      {"/report/fields",
       {"inflight", "util", "x0", "x1", "qps"},
       kWarning,
       "report.fields: only the first four are read"},
      {"/report/fields",
       {"util", "x0", "x1", "qps", "inflight"},
       kWarning,
       "report.fields: without inflight, no value of a load report is used"},
      {"/siblings", 0, kWarning, "siblings: 0 is taken as 1"},
      {"/me", 3, kWarning, "me: not less than siblings"},
      {"/zone", 2, kWarning, "zone: the settings list no such zone"},
      {"/tickNs", 2e9, kError, "tickNs: out of range"},
      {"/membershipMode", "on_request", kWarning,
       "membershipMode: on_request; the control feed is followed all the time"},
      {"/membershipMode", "sometimes", kWarning,
       "membershipMode: 'sometimes' is neither pushed nor on_request"},
      {"/specifics/holdsTables",
       {false},
       kError,
       "specifics: a list has fewer values than there are classes: out of range"},
      {"/specifics/cpuOfKind",
       {4},
       kWarning,
       "specifics.cpuOfKind: a kind has no value above 0; it gets the fewest cores of the other kinds or, "
       "if no kind has a value, the most threads of any class"},
      {"/specifics/ramOfKindMb",
       {8192},
       kWarning,
       "specifics.ramOfKindMb: engines of a kind without memory choose their grants themselves"},
      {"/specifics/maxGrantShare", 0, kWarning, "specifics.maxGrantShare: not above 0 and at most 1"},
      {"/specifics/progressNs", 1000000, kWarning,
       "specifics.progressNs: notes are not read; attempts are judged by their run time"},
      {"/limits/connectTimeoutNs", 0, kWarning,
       "limits.connectTimeoutNs: none; 250 ms is taken in its place"},
      {"/limits/surcharge", 1, kWarning, "limits.surcharge: unknown, without effect"},
      {"/requestClasses/0/colour", "red", kWarning, "requestClasses[].colour: unknown, without effect"},
  };
}

// Each fault is reported in one line. A reload rejects errors; a start does not.
TEST(SettingsCheck, EachFault_IsReportedAsFinding) {
  for (const Fault& fault : Faults()) {
    SCOPED_TRACE(fault.path + " = " + fault.value.dump());
    const proxy::Config config = Read(With(fault.path, fault.value));
    EXPECT_NO_THROW(proxy::CheckServable(config));
    if (fault.text.empty()) {
      EXPECT_EQ(TextsOf(config), std::vector<std::string>());
      continue;
    }
    const settings::Finding expected{fault.severity, "settings." + fault.text};
    EXPECT_NE(std::find(config.findings.begin(), config.findings.end(), expected), config.findings.end())
        << "findings: " << json(TextsOf(config)).dump();
    if (fault.severity == Severity::kWarning)
      EXPECT_NO_THROW(proxy::CheckSettings(config));
    else
      EXPECT_THROW(proxy::CheckSettings(config), proxy::ConfigError);
  }
}

TEST(SettingsCheck, ReportsFromProbes_WithoutProbing_AreReported) {
  json config = With("/report/source", "probe");
  config["settings"]["limits"]["probing"] = false;
  EXPECT_EQ(TextsOf(Read(config)),
            std::vector<std::string>{"settings.report.source: load reports come only with probes, "
                                     "which limits.probing does not allow"});
}

// The only settings that a start rejects: no request could ever be served.
TEST(SettingsCheck, NoNamedClass_IsNotServable) {
  json config = GoodConfig();
  for (json& request_class : config["settings"]["requestClasses"]) request_class["name"] = "";
  EXPECT_THROW(proxy::CheckServable(Read(config)), proxy::ConfigError);
  EXPECT_THROW(Read(With("/requestClasses", json::array())), proxy::ConfigError);
}

TEST(SettingsCheck, SiteWithoutTenants_HasNoFindings) {
  for (const json& tenants : {json::array(), json()}) {
    const proxy::Config config = Read(With("/tenants", tenants));
    EXPECT_EQ(TextsOf(config), std::vector<std::string>());
    EXPECT_NO_THROW(proxy::CheckSettings(config));
  }
}

// A reload may remove the last tenant or add the first one. It must not remove a key of a tenant.
TEST(SettingsShape, TenantList_MayBecomeEmptyOrNonEmpty) {
  const proxy::Config some = Read(GoodConfig()), none = Read(With("/tenants", json::array()));
  EXPECT_NO_THROW(proxy::CheckShape(none, some));
  EXPECT_NO_THROW(proxy::CheckShape(some, none));
  EXPECT_THROW(proxy::CheckShape(Read(With("/tenants/0/quotaPerS", nullptr)), some), proxy::ConfigError);
  EXPECT_THROW(proxy::CheckShape(Read(With("/tenants", nullptr)), some), proxy::ConfigError);
  json mixed = GoodConfig();
  mixed["settings"]["tenants"].push_back(5);
  EXPECT_THROW(proxy::CheckShape(Read(mixed), some), proxy::ConfigError);
}

// A value that a later version introduces must neither prevent a proxy from starting nor relax a rule.
TEST(Settings, UnknownValue_IsTreatedAsStrictest) {
  EXPECT_EQ(Read(With("/requestClasses/0/effect", "soft")).site.module.classes[0].effect, Effect::kUnsafe);
  EXPECT_EQ(Read(With("/requestClasses/0/group", "town")).site.module.classes[0].repeat_group,
            RepeatGroup::kCell);
}

// Every request would miss a latency objective of 0 before it could be sent.
TEST(Settings, ClassWithoutLatencyObjective_GetsDeadlineAsObjective) {
  EXPECT_EQ(Read(With("/requestClasses/1/promiseNs", 0)).site.module.classes[1].latency_objective,
            20'000 * kMs);
  EXPECT_EQ(Read(With("/requestClasses/1/promiseNs", 7)).site.module.classes[1].latency_objective, 7);
}

// A kind without a value must not be taken as having no cores: the number of cores limits the load that an
// engine is sent.
TEST(Settings, KindWithoutCores_GetsFewestCoresOfOtherKinds) {
  const auto cores = [](const json& setting) {
    std::vector<double> out;
    for (const KindSettings& kind : Read(With("/specifics/cpuOfKind", setting)).site.module.kinds)
      out.push_back(kind.cores);
    return out;
  };
  EXPECT_EQ(cores({8, 4}), (std::vector<double>{8, 4}));
  EXPECT_EQ(cores({8}), (std::vector<double>{8, 8}));
  EXPECT_EQ(cores({0, 4}), (std::vector<double>{4, 4}));
  EXPECT_EQ(cores(nullptr), (std::vector<double>{2, 2})) << "the threads of the class that uses the most";
}

// With a timeout of 0, every connection would time out before it could be established.
TEST(Settings, MissingConnectTimeout_GetsDefault) {
  EXPECT_EQ(Read(With("/limits/connectTimeoutNs", 0)).site.module.connect_timeout, 250 * kMs);
  EXPECT_EQ(Read(With("/limits/connectTimeoutNs", nullptr)).site.module.connect_timeout, 250 * kMs);
}

// If the module expects progress notices, it relies on them to judge heavy attempts. The proxy never receives
// any.
TEST(Settings, ProgressInterval_IsIgnoredByProxy) {
  EXPECT_EQ(Read(With("/specifics/progressNs", 1000000)).site.module.progress_interval, 0);
}

// ---- Zones and machine kinds ----

class Fleet {
 public:
  explicit Fleet(const json& config) : site_(Read(config).site), directory_(site_) {}

  // Announces one engine. Returns its entry in the update for the decision module.
  EngineEntry Announce(const json& member, bool complete = false) {
    EngineEntry entry;
    const json event = {{"n", ++revision_}, {"members", {{"complete", complete}, {"members", {member}}}}};
    const json document = {{"n", revision_}, {"events", {event}}};
    directory_.Apply(codec::Json::Parse(document.dump()), [&](const EngineList& list) {
      entry = list.entries->at(0);
      last_update_ = list;
    });
    return entry;
  }
  const EngineList& last_update() const { return last_update_; }
  const settings::Site& site() const { return *site_; }
  std::size_t EjectedCount(const std::vector<EngineId>& outliers) const {
    return directory_.CountEjected(outliers);
  }

 private:
  settings::ActiveSettings site_;
  discovery::EndpointDirectory directory_;
  int revision_ = 0;
  EngineList last_update_;
};

json Engine(const std::string& zone, const std::string& kind, const std::string& id = "s-1") {
  return {{"id", id},         {"host_port", "127.0.0.1:5050"},
          {"locality", zone}, {"flavor", kind},
          {"cell", 2},        {"phase", "Ready"},
          {"size", 4},        {"up_since_ms", 0}};
}

// Returns true if a request of class `class_id` is sent to the engine.
bool IsSent(const Fleet& fleet, std::uint16_t class_id) {
  Settings settings = fleet.site().module;
  settings.report_fields.clear();  // otherwise, the engine would be probed for its load first
  Gateway gateway(settings, 1);
  Request request;
  request.id = 1;
  request.class_id = class_id;
  request.client_timeout = 10'000 * kMs;
  std::vector<Action> actions;
  gateway.Step(0, std::vector<Event>{fleet.last_update(), request}, actions);
  return std::any_of(actions.begin(), actions.end(),
                     [](const Action& action) { return std::holds_alternative<Send>(action); });
}

// With the number of the settings' first zone, the engine would be sent requests that are bound to that zone.
TEST(Placement, EngineOfUnlistedZone_GetsNoBoundRequests) {
  json config = GoodConfig();
  config["settings"]["requestClasses"][1]["staysIn"] = {"east"};
  Fleet fleet(config);
  fleet.Announce(Engine("north", "big"), true);
  EXPECT_FALSE(IsSent(fleet, 1));
  EXPECT_TRUE(IsSent(fleet, 0));
  fleet.Announce(Engine("east", "big"));
  EXPECT_TRUE(IsSent(fleet, 1));
}

TEST(Placement, EngineOfUnlistedKind_GetsNoBoundRequests) {
  json config = GoodConfig();
  config["settings"]["requestClasses"][1]["boundTo"] = {"small"};
  Fleet fleet(config);
  fleet.Announce(Engine("west", "huge"), true);
  EXPECT_FALSE(IsSent(fleet, 1));
  EXPECT_TRUE(IsSent(fleet, 0));
}

// Engines of different zones may not recognise each other's idempotency keys, so unlisted zones need separate
// numbers.
TEST(Placement, UnlistedZones_GetDistinctNumbers) {
  Fleet fleet(GoodConfig());
  const EngineEntry north = fleet.Announce(Engine("north", "big", "a"), true);
  const EngineEntry south = fleet.Announce(Engine("south", "big", "b"));
  EXPECT_NE(north.zone, south.zone);
  EXPECT_EQ(fleet.Announce(Engine("north", "big", "c")).zone, north.zone);
  for (int i = 0; i < 2000; ++i) fleet.Announce(Engine("z" + std::to_string(i), "big", "d"));
  EXPECT_EQ(fleet.Announce(Engine("south", "big", "b")).zone, south.zone);
}

// A kind that the settings don't list must not prevent the proxy from serving its other classes.
TEST(Placement, ClassBoundToUnlistedKind_IsServedByEnginesOfThatKind) {
  Fleet fleet(With("/requestClasses/1/boundTo", {"gpu"}));
  fleet.Announce(Engine("west", "big"), true);
  EXPECT_FALSE(IsSent(fleet, 1));
  EXPECT_TRUE(IsSent(fleet, 0));
  fleet.Announce(Engine("west", "gpu"));
  EXPECT_TRUE(IsSent(fleet, 1));
}

// Lists of names contain underscores in place of spaces; the control feed contains the spaces.
TEST(Placement, NameWithSpaces_IsTheSameInSettingsAndFeed) {
  json config = GoodConfig();
  config["settings"]["dcs"] = {"hall a", "hall b"};
  config["settings"]["requestClasses"][1]["staysIn"] = {"hall b"};
  EXPECT_EQ(TextsOf(Read(config)), std::vector<std::string>());
  Fleet fleet(config);
  EXPECT_EQ(fleet.Announce(Engine("hall b", "big"), true).zone, 1);
}

// A change contains only the changed fields; omitted fields must keep their values.
TEST(Placement, ChangeWithoutSomeFields_KeepsTheirValues) {
  Fleet fleet(GoodConfig());
  const EngineEntry before = fleet.Announce(Engine("west", "big"), true);
  const EngineEntry after = fleet.Announce({{"id", "s-1"}, {"phase", "Terminating"}});
  EXPECT_EQ(after.readiness, Readiness::kDraining);
  EXPECT_EQ(after.zone, before.zone);
  EXPECT_EQ(after.kind, before.kind);
  EXPECT_EQ(after.cell, before.cell);
  EXPECT_EQ(after.weight, before.weight);
}

TEST(Placement, OnlyZone_NeedNotBeAnnounced) {
  Fleet fleet(With("/dcs", {"west"}));
  json engine = Engine("", "big");
  engine.erase("locality");
  EXPECT_EQ(fleet.Announce(engine, true).zone, 0);
}

}  // namespace
}  // namespace lemoncroft
