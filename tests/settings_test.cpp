// Settings of any customer: what contradicts itself is told in a plain line, and what can be served is
// served.
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

// A configuration with every kind of setting, about which nothing is to be said.
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

// The setting at a path such as /limits/probing with another value; null takes it out.
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

TEST(SettingsCheck, HasNothingToSayOfGoodSettings) {
  const proxy::Config config = Read(GoodConfig());
  EXPECT_EQ(TextsOf(config), std::vector<std::string>());
  EXPECT_NO_THROW(proxy::CheckSettings(config));
}

struct Fault {
  std::string path;
  json value;
  Severity severity;
  std::string text;  // the whole line behind "settings."
};

// A table of faults, one entry each.
// NOLINTNEXTLINE(readability-function-size)
std::vector<Fault> Faults() {
  constexpr Severity kWarning = Severity::kWarning, kError = Severity::kError;
  const std::string lookup = "requestClasses 'lookup' ", load = "requestClasses 'load' ";
  return {
      {"/requestClasses/0/promiseNs", 0, kWarning, ""},  // its work has an aim
      {"/requestClasses/1/promiseNs", 0, kWarning,
       load + "promiseNs: none; its deadline is taken in its place"},
      {"/requestClasses/0/promiseNs", 4e9, kWarning,
       lookup + "promiseNs: past its deadline, where nobody waits any more"},
      {"/requestClasses/0/deadlineNs", 0, kError, lookup + "deadlineNs: out of range"},
      {"/requestClasses/0/lateWorth", 2, kError, lookup + "lateWorth: out of range"},
      {"/requestClasses/0/credit", -1, kError, lookup + "credit: out of range"},
      {"/requestClasses/0/aimStretch", -1, kError, lookup + "aimStretch: out of range"},
      {"/requestClasses/0/name", "load", kError, "requestClasses: 'load' is there twice"},
      {"/requestClasses/0/name", "", kError, "requestClasses: a name is missing or unusable"},
      {"/requestClasses/0/streaming", true, kWarning, lookup + "streaming: answers are passed on whole"},
      {"/requestClasses/1/repeatWindowNs", nullptr, kWarning,
       load + "repeatWindowNs: none, so what may have run is never tried again"},
      {"/guarantees/orderPauseNs", nullptr, kWarning,
       load + "fifoByKey: guarantees.orderPauseNs is absent, so a key's next request follows at once"},
      {"/requestClasses/1/boundTo",
       {"big", "gpu"},
       kWarning,
       load + "boundTo: the settings list no machine kind 'gpu'"},
      {"/requestClasses/1/boundTo",
       {"gpu"},
       kWarning,
       load + "boundTo: its requests wait until an engine of such a machine kind is listed"},
      {"/requestClasses/1/staysIn", {7}, kWarning, load + "staysIn: the settings list no zone '7'"},
      {"/requestClasses/1/staysIn", json::array(), kWarning,
       load + "staysIn: an empty list binds it to nothing"},
      {"/requestClasses/0/effect", "soft", kError,
       lookup + "effect: 'soft' is unknown, and taken as side_effect"},
      {"/requestClasses/0/group", "town", kError, lookup + "group: 'town' is unknown, and taken as cell"},
      {"/specifics/memoryShort", "spill", kWarning,
       "specifics.memoryShort: 'spill' is unknown, and taken as trim"},
      {"/tenants/0/quotaPerS", -1, kError, "tenants 'acme' quotaPerS: out of range"},
      {"/overShareWorth", 2, kWarning, "overShareWorth: not between 0 and 1"},
      {"/limits/maxAttempts", 0, kError, "limits.maxAttempts: out of range"},
      {"/guarantees/lookBackNs", nullptr, kWarning,
       "guarantees.lookBackNs: absent, so no budget of further attempts is kept"},
      {"/guarantees/lookBackNs", 0, kWarning,
       "guarantees.lookBackNs: 0, so no budget of further attempts is kept"},
      {"/limits/maxRetryAfterNs", 0, kWarning,
       "limits.retryAfter: maxRetryAfterNs is 0, so no refusal tells when to come back"},
      {"/guarantees/fallNs", nullptr, kWarning,
       "guarantees: one of fallNs and overloadFactor is absent, so engines that start are not spared"},
      {"/guarantees/coldFrom", 3, kWarning, "guarantees.coldFrom: not between 0 and 1"},
      {"/report/source", "gossip", kWarning, "report.source: 'gossip' is none of answers, probe and none"},
      {"/report/source", "none", kWarning, "report.fields: no source brings them"},
      {"/report/fields", json::array(), kWarning, "report.fields: none, so reports tell nothing"},
      {"/report/fields",
       {"util", "x0"},
       kWarning,
       "report.fields: without inflight a report tells nothing that is used"},
      {"/report/fields",
       {"inflight", "util", "x0", "x1", "qps"},
       kWarning,
       "report.fields: only the first four are read"},
      {"/report/fields",
       {"util", "x0", "x1", "qps", "inflight"},
       kWarning,
       "report.fields: without inflight a report tells nothing that is used"},
      {"/siblings", 0, kWarning, "siblings: 0 is taken as 1"},
      {"/me", 3, kWarning, "me: not below siblings"},
      {"/zone", 2, kWarning, "zone: the settings list no such zone"},
      {"/tickNs", 2e9, kError, "tickNs: out of range"},
      {"/membershipMode", "on_request", kWarning,
       "membershipMode: on_request; the control feed is followed all the time"},
      {"/membershipMode", "sometimes", kWarning,
       "membershipMode: 'sometimes' is neither pushed nor on_request"},
      {"/specifics/holdsTables",
       {false},
       kError,
       "specifics: values of some classes are missing, and: out of range"},
      {"/specifics/cpuOfKind",
       {4},
       kWarning,
       "specifics.cpuOfKind: cores of some kinds are missing; the least of the others is taken"},
      {"/specifics/ramOfKindMb",
       {8192},
       kWarning,
       "specifics.ramOfKindMb: engines of a kind without memory choose their grants themselves"},
      {"/specifics/maxGrantShare", 0, kWarning, "specifics.maxGrantShare: not above 0 and at most 1"},
      {"/specifics/progressNs", 1000000, kWarning,
       "specifics.progressNs: notes are not read; attempts are judged by how long they run"},
      {"/limits/connectTimeoutNs", 0, kWarning,
       "limits.connectTimeoutNs: none; 250 ms is taken in its place"},
      {"/limits/surcharge", 1, kWarning, "limits.surcharge: unknown, without effect"},
      {"/requestClasses/0/colour", "red", kWarning, "requestClasses[].colour: unknown, without effect"},
  };
}

// Each fault is told in one line; errors are refused where other settings are in force, and no start is.
TEST(SettingsCheck, TellsEachFaultInAPlainLine) {
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
        << "said: " << json(TextsOf(config)).dump();
    if (fault.severity == Severity::kWarning)
      EXPECT_NO_THROW(proxy::CheckSettings(config));
    else
      EXPECT_THROW(proxy::CheckSettings(config), proxy::ConfigError);
  }
}

TEST(SettingsCheck, TellsOfProbesThatBringNoReports) {
  json config = With("/report/source", "probe");
  config["settings"]["limits"]["probing"] = false;
  EXPECT_EQ(TextsOf(Read(config)),
            std::vector<std::string>{"settings.report.source: reports come with probes alone, and "
                                     "limits.probing allows none"});
}

// The one thing that a start refuses: no request could ever be served.
TEST(SettingsCheck, RefusesAStartWithoutANamedClass) {
  json config = GoodConfig();
  for (json& of_class : config["settings"]["requestClasses"]) of_class["name"] = "";
  EXPECT_THROW(proxy::CheckServable(Read(config)), proxy::ConfigError);
  EXPECT_THROW(Read(With("/requestClasses", json::array())), proxy::ConfigError);
}

TEST(SettingsCheck, AllowsSitesWithoutTenants) {
  for (const json& tenants : {json::array(), json()}) {
    const proxy::Config config = Read(With("/tenants", tenants));
    EXPECT_EQ(TextsOf(config), std::vector<std::string>());
    EXPECT_NO_THROW(proxy::CheckSettings(config));
  }
}

// A reload may take the last tenant away, or bring the first; a key that members lack is another matter.
TEST(SettingsShape, ListsMayBecomeEmptyAndFull) {
  const proxy::Config some = Read(GoodConfig()), none = Read(With("/tenants", json::array()));
  EXPECT_NO_THROW(proxy::CheckShape(none, some));
  EXPECT_NO_THROW(proxy::CheckShape(some, none));
  EXPECT_THROW(proxy::CheckShape(Read(With("/tenants/0/quotaPerS", nullptr)), some), proxy::ConfigError);
  EXPECT_THROW(proxy::CheckShape(Read(With("/tenants", nullptr)), some), proxy::ConfigError);
  json mixed = GoodConfig();
  mixed["settings"]["tenants"].push_back(5);
  EXPECT_THROW(proxy::CheckShape(Read(mixed), some), proxy::ConfigError);
}

// A word that a later version brings must not keep a proxy from starting, nor loosen a rule.
TEST(Settings, AnUnknownWordIsTakenAsTheStrictest) {
  EXPECT_EQ(Read(With("/requestClasses/0/effect", "soft")).site.module.classes[0].effect, Effect::kUnsafe);
  EXPECT_EQ(Read(With("/requestClasses/0/group", "town")).site.module.classes[0].repeat_group,
            RepeatGroup::kCell);
}

// An aim of 0 would be missed by every request before it could be sent.
TEST(Settings, AClassWithoutAnAimHasItsDeadline) {
  EXPECT_EQ(Read(With("/requestClasses/1/promiseNs", 0)).site.module.classes[1].latency_objective,
            20'000 * kMs);
  EXPECT_EQ(Read(With("/requestClasses/1/promiseNs", 7)).site.module.classes[1].latency_objective, 7);
}

// An engine of one core would never be sent a query of four threads.
TEST(Settings, KindsWithoutCoresHaveTheLeastOfTheOthers) {
  const auto cores = [](const json& told) {
    std::vector<double> out;
    for (const KindSettings& kind : Read(With("/specifics/cpuOfKind", told)).site.module.kinds)
      out.push_back(kind.cores);
    return out;
  };
  EXPECT_EQ(cores({8, 4}), (std::vector<double>{8, 4}));
  EXPECT_EQ(cores({8}), (std::vector<double>{8, 8}));
  EXPECT_EQ(cores({0, 4}), (std::vector<double>{4, 4}));
  EXPECT_EQ(cores(nullptr), (std::vector<double>{2, 2})) << "the threads of the class with the most";
}

// With none at all every connection would time out before it could come up.
TEST(Settings, AConnectionHasTimeToComeUp) {
  EXPECT_EQ(Read(With("/limits/connectTimeoutNs", 0)).site.module.connect_timeout, 250 * kMs);
  EXPECT_EQ(Read(With("/limits/connectTimeoutNs", nullptr)).site.module.connect_timeout, 250 * kMs);
}

// The module leaves heavy attempts to the notes that it is told to expect, and on sockets none are read.
TEST(Settings, PromiseNoNotesOnSockets) {
  EXPECT_EQ(Read(With("/specifics/progressNs", 1000000)).site.module.progress_interval, 0);
}

// ---- Zones and machine kinds ----

class Fleet {
 public:
  explicit Fleet(const json& config) : site_(Read(config).site), directory_(site_) {}

  // Tells of one engine; with its entry as the module sees it.
  EngineEntry Tell(const json& member, bool complete = false) {
    EngineEntry entry;
    const json event = {{"n", ++n_}, {"members", {{"complete", complete}, {"members", {member}}}}};
    const json document = {{"n", n_}, {"events", {event}}};
    directory_.Apply(codec::Json::Parse(document.dump()), [&](const EngineList& list) {
      entry = list.entries->at(0);
      last_ = list;
    });
    return entry;
  }
  const EngineList& last() const { return last_; }
  const settings::Site& site() const { return *site_; }
  std::size_t Avoided(const std::vector<EngineId>& avoided) const { return directory_.CountEjected(avoided); }

 private:
  settings::ActiveSettings site_;
  discovery::EndpointDirectory directory_;
  int n_ = 0;
  EngineList last_;
};

json Engine(const std::string& zone, const std::string& kind, const std::string& id = "s-1") {
  return {{"id", id},         {"host_port", "127.0.0.1:5050"},
          {"locality", zone}, {"flavor", kind},
          {"cell", 2},        {"phase", "Ready"},
          {"size", 4},        {"up_since_ms", 0}};
}

// Whether a request of class `klass` leaves for the engine.
bool Goes(const Fleet& fleet, std::uint16_t class_id) {
  Settings settings = fleet.site().module;
  settings.report_fields.clear();  // else the engine would be asked for its load first
  Gateway gateway(settings, 1);
  Request request;
  request.id = 1;
  request.class_id = class_id;
  request.client_timeout = 10'000 * kMs;
  std::vector<Action> actions;
  gateway.Step(0, std::vector<Event>{fleet.last(), request}, actions);
  return std::any_of(actions.begin(), actions.end(),
                     [](const Action& action) { return std::holds_alternative<Send>(action); });
}

// Numbered as the settings' first zone, it would be sent what is bound to that one.
TEST(Placement, AnEngineOfAnUnlistedZoneIsSentNothingThatIsBound) {
  json config = GoodConfig();
  config["settings"]["requestClasses"][1]["staysIn"] = {"east"};
  Fleet fleet(config);
  fleet.Tell(Engine("north", "big"), true);
  EXPECT_FALSE(Goes(fleet, 1));
  EXPECT_TRUE(Goes(fleet, 0));
  fleet.Tell(Engine("east", "big"));
  EXPECT_TRUE(Goes(fleet, 1));
}

TEST(Placement, AnEngineOfAnUnlistedKindIsSentNothingThatIsBound) {
  json config = GoodConfig();
  config["settings"]["requestClasses"][1]["boundTo"] = {"small"};
  Fleet fleet(config);
  fleet.Tell(Engine("west", "huge"), true);
  EXPECT_FALSE(Goes(fleet, 1));
  EXPECT_TRUE(Goes(fleet, 0));
}

// Their repeats aren't discarded by each other's engines.
TEST(Placement, UnlistedZonesAreToldApart) {
  Fleet fleet(GoodConfig());
  const EngineEntry north = fleet.Tell(Engine("north", "big", "a"), true);
  const EngineEntry south = fleet.Tell(Engine("south", "big", "b"));
  EXPECT_NE(north.zone, south.zone);
  EXPECT_EQ(fleet.Tell(Engine("north", "big", "c")).zone, north.zone);
  for (int i = 0; i < 2000; ++i) fleet.Tell(Engine("z" + std::to_string(i), "big", "d"));
  EXPECT_EQ(fleet.Tell(Engine("south", "big", "b")).zone, south.zone);
}

// That its settings lack the kind must not keep the whole proxy from its other classes.
TEST(Placement, AClassBoundToAnUnlistedKindIsServedByEnginesOfIt) {
  Fleet fleet(With("/requestClasses/1/boundTo", {"gpu"}));
  fleet.Tell(Engine("west", "big"), true);
  EXPECT_FALSE(Goes(fleet, 1));
  EXPECT_TRUE(Goes(fleet, 0));
  fleet.Tell(Engine("west", "gpu"));
  EXPECT_TRUE(Goes(fleet, 1));
}

// Lists of names have underscores for blanks, the control feed has the blanks.
TEST(Placement, NamesWithBlanksAreTheSameInSettingsAndFeed) {
  json config = GoodConfig();
  config["settings"]["dcs"] = {"hall a", "hall b"};
  config["settings"]["requestClasses"][1]["staysIn"] = {"hall b"};
  EXPECT_EQ(TextsOf(Read(config)), std::vector<std::string>());
  Fleet fleet(config);
  EXPECT_EQ(fleet.Tell(Engine("hall b", "big"), true).zone, 1);
}

// A change says what has changed: what it leaves out stays as it was.
TEST(Placement, WhatAChangeLeavesOutStaysAsItWas) {
  Fleet fleet(GoodConfig());
  const EngineEntry before = fleet.Tell(Engine("west", "big"), true);
  const EngineEntry after = fleet.Tell({{"id", "s-1"}, {"phase", "Terminating"}});
  EXPECT_EQ(after.readiness, Readiness::kDraining);
  EXPECT_EQ(after.zone, before.zone);
  EXPECT_EQ(after.kind, before.kind);
  EXPECT_EQ(after.cell, before.cell);
  EXPECT_EQ(after.weight, before.weight);
}

TEST(Placement, WhereThereIsOneZoneItNeedNotBeNamed) {
  Fleet fleet(With("/dcs", {"west"}));
  json engine = Engine("", "big");
  engine.erase("locality");
  EXPECT_EQ(fleet.Tell(engine, true).zone, 0);
}

}  // namespace
}  // namespace lemoncroft
