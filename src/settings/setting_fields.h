// The keys of the settings (member `settings` of config.json, and the simulator's first message) and the
// terms that the program uses for them. Only the parser, the checks and the reader of config.json use these
// keys. docs/settings.md documents each of them.
//
// A path is a sequence of keys separated by dots, with indices for the items of a list, such as
// requestClasses.3.promiseNs. Values of keys that end in "Ns" are nanoseconds, of those in "Mb" megabytes.
#ifndef LEMONCROFT_SETTINGS_SETTING_FIELDS_H_
#define LEMONCROFT_SETTINGS_SETTING_FIELDS_H_

#include <cstddef>
#include <string>

namespace lemoncroft::settings::fields {

// The fleet of proxies, and the position of this proxy in it.
inline constexpr const char* kProxyCount = "siblings";
inline constexpr const char* kOwnIndex = "me";
inline constexpr const char* kOwnZone = "zone";
inline constexpr const char* kZones = "dcs";
inline constexpr const char* kMachineKinds = "flavors";
inline constexpr const char* kDecisionInterval = "tickNs";
inline constexpr const char* kListMode = "membershipMode";
inline constexpr const char* kListPushed = "pushed";  // values of kListMode
inline constexpr const char* kListOnRequest = "on_request";

// Request classes: a list.
inline constexpr const char* kClasses = "requestClasses";
inline constexpr const char* kClassCount = "requestClasses.count";
namespace request_class {
inline constexpr const char* kName = "name";
inline constexpr const char* kLatencyObjective = "promiseNs";
inline constexpr const char* kLatencyObjectiveStretch = "aimStretch";
inline constexpr const char* kClientTimeout = "deadlineNs";
inline constexpr const char* kPriorityWeight = "credit";
inline constexpr const char* kLateWeightShare = "lateWorth";
inline constexpr const char* kEffect = "effect";
inline constexpr const char* kEffectSafe = "pure";  // values of kEffect
inline constexpr const char* kEffectKeyed = "token";
inline constexpr const char* kEffectUnsafe = "side_effect";
inline constexpr const char* kRepeatGroup = "group";
inline constexpr const char* kGroupAll = "all";  // values of kRepeatGroup
inline constexpr const char* kGroupZone = "zone";
inline constexpr const char* kGroupCell = "cell";
inline constexpr const char* kRepeatWindow = "repeatWindowNs";
inline constexpr const char* kInOrder = "fifoByKey";
inline constexpr const char* kStreaming = "streaming";
inline constexpr const char* kBoundZones = "staysIn";
inline constexpr const char* kBoundMachineKinds = "boundTo";
}  // namespace request_class

// Tenants: a list.
inline constexpr const char* kTenants = "tenants";
inline constexpr const char* kTenantCount = "tenants.count";
namespace tenant {
inline constexpr const char* kName = "name";
inline constexpr const char* kQuota = "quotaPerS";
}  // namespace tenant
inline constexpr const char* kOverQuotaWeightShare = "overShareWorth";

// Load reports of engines.
inline constexpr const char* kReportSource = "report.source";
inline constexpr const char* kReportsInResponses = "answers";  // values of kReportSource
inline constexpr const char* kReportsInProbes = "probe";
inline constexpr const char* kNoReports = "none";
inline constexpr const char* kReportFields = "report.fields";
inline constexpr const char* kReportInflight = "inflight";  // a value in kReportFields

// Time limits, retries and slow start.
inline constexpr const char* kDrainGrace = "guarantees.drainGraceNs";
inline constexpr const char* kSlowStartInitialShare = "guarantees.coldFrom";
inline constexpr const char* kSlowStartDuration = "guarantees.warmWithinNs";
inline constexpr const char* kOverloadFactor = "guarantees.overloadFactor";
inline constexpr const char* kOverloadWindow = "guarantees.fallNs";
inline constexpr const char* kOrderingKeyPause = "guarantees.orderPauseNs";
inline constexpr const char* kMustAskWithin = "guarantees.mustAskInNs";
inline constexpr const char* kRetryBudgetWindow = "guarantees.lookBackNs";
inline constexpr const char* kRetryBudgetFree = "guarantees.freeResends";
inline constexpr const char* kRetryBudgetRatio = "guarantees.extraRatio";
inline constexpr const char* kResponseSlack = "guarantees.answerSlackNs";

// Permitted actions of a proxy, and their limits.
inline constexpr const char* kMayCancel = "limits.cancel";
inline constexpr const char* kMayProbe = "limits.probing";
inline constexpr const char* kMayHedge = "limits.mayDuplicate";
inline constexpr const char* kMayMessagePeers = "limits.peers";
inline constexpr const char* kMaySendRetryAfter = "limits.retryAfter";
inline constexpr const char* kMaxAttempts = "limits.maxAttempts";
inline constexpr const char* kMaxRetryAfter = "limits.maxRetryAfterNs";
inline constexpr const char* kConnectTimeout = "limits.connectTimeoutNs";
inline constexpr const char* kKeepalive = "limits.keepaliveNs";
inline constexpr const char* kMaxOpenRequests = "limits.maxOpen";

inline constexpr const char* kLateFailPrice = "prices.lateFail";
inline constexpr const char* kCrossZonePrice = "prices.crossZone";

// Engines. First, lists with a value for each class.
inline constexpr const char* kThreads = "specifics.threadsByClass";
inline constexpr const char* kHoldsTables = "specifics.holdsTables";
inline constexpr const char* kBlockedByLoads = "specifics.blockedByLoads";
// Lists with a value for each machine kind.
inline constexpr const char* kCores = "specifics.cpuOfKind";
inline constexpr const char* kMemory = "specifics.ramOfKindMb";
// Properties of all engines.
inline constexpr const char* kHonorsMemoryGrants = "specifics.takesGrants";
inline constexpr const char* kHonorsPriorities = "specifics.ranksHeeded";
inline constexpr const char* kMaxGrantShare = "specifics.maxGrantShare";
inline constexpr const char* kMemoryShortagePolicy = "specifics.memoryShort";
inline constexpr const char* kMemoryShortageQueue = "queue";  // values of kMemoryShortagePolicy
inline constexpr const char* kMemoryShortageTrim = "trim";
inline constexpr const char* kMemoryShortageSwap = "swap";
inline constexpr const char* kProgressInterval = "specifics.progressNs";
inline constexpr const char* kReportsCost = "specifics.saysCost";

// Known keys that are not read.
inline constexpr const char* kUnused[] = {
    "clients.marksRetry",
    "serviceType",
    "specifics.notes",
    "specifics.reportX0",
    "specifics.reportX1",
    "scoreParts.whole",
    "scoreParts.worstClass",
    "scoreParts.worstTenant",
    "scoreParts.worstWindow",
    "limits.cpuUsPerRequest",
    "limits.cpuUsPerS",
    "limits.streamsPerConn",
    "prices.connection",
    "prices.membershipMode",
    "prices.fleet",
    "prices.handshake",
    "prices.moves",
    "prices.origin",
    "prices.peer",
    "prices.probe",
    "prices.waste",
    "tenants[].portion",
    "tier",
    "tiers",
    "weights",
    "worthBy",
};

// Returns the path of a field of one class or tenant.
inline std::string ClassPath(std::size_t index, const char* field) {
  return std::string(kClasses) + "." + std::to_string(index) + "." + field;
}
inline std::string TenantPath(std::size_t index, const char* field) {
  return std::string(kTenants) + "." + std::to_string(index) + "." + field;
}

// Returns the path of the field for all classes or tenants, with [] in place of the index.
inline std::string AnyClassPath(const char* field) { return std::string(kClasses) + "[]." + field; }
inline std::string AnyTenantPath(const char* field) { return std::string(kTenants) + "[]." + field; }

}  // namespace lemoncroft::settings::fields

#endif  // LEMONCROFT_SETTINGS_SETTING_FIELDS_H_
