// Constants of the scheduler that no setting changes. The constants of limits, estimates, load reports and
// subsets are defined beside the classes that use them.
//
// The latency ratio of an engine is the latency of its recent responses divided by the best mean latency of
// their classes: 1 = as fast as ever. Work is in thread seconds. A weight is that of the newest sample in a
// moving mean.
#ifndef LEMONCROFT_DECISION_CONSTANTS_H_
#define LEMONCROFT_DECISION_CONSTANTS_H_

#include <cstddef>

#include "decision/time_units.h"

namespace lemoncroft::decision {

// ---- Capacity of an engine ----

inline constexpr double kIdleThreadsPerCore = 1;  // an engine counts as idle up to this
// Past this, an engine that runs nothing of this gateway takes no first heavy request.
inline constexpr double kCrowdedThreadsPerCore = 1.5;
inline constexpr double kPressureLatencyRatio = 2.5;  // past this latency ratio, concurrency limits apply
// Past this mean latency ratio of all engines, the fleet of engines counts as slow.
inline constexpr double kSlowFleetLatencyRatio = 1.3;
inline constexpr double kMaxHeavyMemoryShare = 0.85;  // of an engine's memory, granted to heavy requests
// An engine takes requests without a memory estimate while it reports at most this share of its memory as
// granted; for heavy requests, the share is multiplied by kMaxHeavyMemoryShare. It exceeds 1 because the
// grant of a request without an estimate is this multiple of its usual need.
inline constexpr double kUnestimatedGrantFactor = 1.5;
// A class is light if its mean work is at most this share of that of the heaviest class.
inline constexpr double kLightWorkShare = 0.25;
inline constexpr double kMinRelativeSpeed = 0.08;  // lower bound of an engine's speed relative to the fleet's

// ---- Probes for load reports ----

// Other engines are probed while fewer candidates than this have a known load.
inline constexpr std::size_t kMinEnginesWithKnownLoad = 2;
inline constexpr Nanos kProbeInterval = 250 * kMillisecond;
inline constexpr Nanos kProbeTimeout = 100 * kMillisecond;  // heavy requests wait this long for a result
inline constexpr Nanos kSilentProbeInterval = 20 * kProbeInterval;  // for engines that send no reports

// ---- Weights in moving means ----

inline constexpr double kFastWeight = 0.1;           // for latency ratios and reported load
inline constexpr double kMixWeightPerSecond = 0.03;  // for the mix of running requests, per second run
inline constexpr double kMaxMixWeight = 0.3;         // for the mix of running requests, at most
inline constexpr double kHungWeight = 0.02;          // for an engine's share of hung light attempts
inline constexpr double kFleetHungWeight = kHungWeight / 4;  // for the fleet's share of hung light attempts
inline constexpr double kMaxLatencyRatio = 20;               // upper bound of one sample
// The sample of a hung attempt, as a multiple of its engine's latency ratio.
inline constexpr double kHungLatencyFactor = 3;

// ---- Outlier detection ----

// Weights of an attempt's outcome in the share of failed attempts.
inline constexpr double kErrorWeight = 0.15;
inline constexpr double kBrokenConnectionWeight = 0.4;  // a lost connection, or an engine without a response
inline constexpr double kLostResponseWeight = 0.05;     // a response that was lost on the way

inline constexpr std::size_t kMaxErrors = 3;  // a request is ended after this many attempts with errors
inline constexpr Nanos kFullBackoff = 500 * kMillisecond;  // for an engine that reports itself full
inline constexpr double kMaxEjectedShare = 0.5;            // of the listed engines
// An ejection time is multiplied by a random factor between kMinEjectionJitter and
// kMinEjectionJitter + kEjectionJitterRange.
inline constexpr double kMinEjectionJitter = 0.8;
inline constexpr double kEjectionJitterRange = 0.4;
// An engine's share of hung attempts may exceed the fleet's by this much through chance.
inline constexpr double kHungShareNoise = 0.015;
// Cost of a hung heavy attempt, as a multiple of its expected time.
inline constexpr double kHungCostFactor = 60;

// ---- Slow start ----

inline constexpr double kSlowStartSafetyFactor = 0.75;  // share of the permitted budget that is used
// Standard deviations of random arrivals that the budget has room for.
inline constexpr double kSlowStartDeviations = 3;
// Multiplies the charge of a heavy request where costs aren't reported.
inline constexpr double kUnreportedCostFactor = 2;
// Share of the budget for the gateways that have the engine in their subsets.
inline constexpr double kSubsetSlowStartShare = 0.8;

// ---- Runaway attempts: cancelled, and retried at another engine ----

// The spread of a class is exp(kRunawayDeviations * d), where d is the mean error of the log of the expected
// work. The runaway timeout is the expected duration times kRunawaySpreadFactor times the spread.

// Bounds of the runaway timeout, as multiples of the expected duration.
inline constexpr double kMinRunawayFactor = 2.5;
inline constexpr double kMaxRunawayFactor = 8;
inline constexpr double kMinMaxRunawayFactorLight = 4;  // a light class has at least this upper bound
inline constexpr double kMinRunawayFactorKeyed = 4;     // lower bound for a class with idempotency keys
// An attempt whose duration, projected from its progress, exceeds this multiple of the expected duration is a
// runaway.
inline constexpr double kRunawayFactorProgress = 5;
inline constexpr double kRunawayDeviations = 2.5;    // mean errors that the spread covers
inline constexpr double kRunawaySpreadFactor = 1.5;  // margin of the runaway timeout over the spread
// Most runaway cancels of one request. If its next attempt is a runaway too, the request itself needs much
// work.
inline constexpr int kMaxRunawayCancels = 2;
// After a runaway cancel, a request whose projected duration exceeds this share of the former projection
// needs much work itself.
inline constexpr double kLargeProjectionShare = 0.4;
inline constexpr double kMinProgress = 0.002;     // least share of the work that a projection assumes as done
inline constexpr double kProjectionMargin = 0.9;  // share of the projected remaining time that is counted on
// An attempt runs this long before its request is ended because its projection misses the deadline.
inline constexpr double kMinSecondsBeforeAbandoning = 0.4;

// ---- Choice of engine ----

inline constexpr double kWarmWorkSaving = 0.5;  // share of a request's work that a warm table group saves
// Number of engines that all gateways prefer for a table group, and so keep warm for it.
inline constexpr std::size_t kPreferredEngines = 2;
// Preferred engines are preferred at least up to this multiple of the mean load.
inline constexpr double kMinPreferredLoadFactor = 1.25;
inline constexpr double kOverdueFactor = 2;  // an attempt is overdue past this multiple of its expected time
inline constexpr double kMinRemainingShare = 0.3;  // least share of its work that a running request counts
inline constexpr double kLoadEngineShare = 0.5;    // of the engines, for the loads of a table group
// With fewer engines than this, loads and readers use the same engines.
inline constexpr std::size_t kMinEnginesToSplit = 4;

// ---- Pending requests ----

inline constexpr int kMaxFailedPlacements = 4;  // of one group of pending requests in one step
// A class may send an exploratory request if it has sent no attempt within 1/kExplorationsPerObjective of its
// latency objective.
inline constexpr int kExplorationsPerObjective = 4;
// Requests whose late_weight_share is less than this don't wait past their latency objectives.
inline constexpr double kMinLateWeightShare = 0.15;
// Longest time between two steps while requests are open.
inline constexpr Nanos kTimerInterval = 20 * kMillisecond;
// Time reserved before a deadline for the response to reach the client: two timer intervals.
inline constexpr Nanos kResponseMargin = 40 * kMillisecond;
inline constexpr double kMinWork = 1e-4;  // least work of a request, in thread seconds

// ---- Tenants ----

inline constexpr double kQuotaBurstSeconds = 2;  // seconds of a tenant's quota that may be used at once

// ---- Priorities on an engine ----

inline constexpr int kPriorityLate = 0;
inline constexpr int kPriorityDefault = 1;
inline constexpr int kPriorityHeavy = 2;
inline constexpr int kPriorityLight = 3;

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_CONSTANTS_H_
