// Fixed parameters of the scheduler that no setting changes. Those of a part with a class of its own stand
// with that class.
//
// Terms. The latency ratio of an engine is the latency of its recent responses over the best mean latency of
// their classes: 1 = as fast as ever. Work is in thread seconds. Weights are those of the newest sample in a
// moving mean.
#ifndef LEMONCROFT_DECISION_CONSTANTS_H_
#define LEMONCROFT_DECISION_CONSTANTS_H_

#include <cstddef>

#include "decision/time_units.h"

namespace lemoncroft::decision {

// ---- Capacity of an engine ----

inline constexpr double kIdleThreadsPerCore = 1;       // up to this an engine counts as idle
inline constexpr double kCrowdedThreadsPerCore = 1.5;  // past this an engine takes no first heavy request
inline constexpr double kPressureLatencyRatio = 2.5;   // past this latency ratio concurrency limits apply
// Past this mean latency ratio the fleet counts as slow.
inline constexpr double kSlowFleetLatencyRatio = 1.3;
inline constexpr double kMaxHeavyMemoryShare = 0.85;    // of an engine's memory, to heavy requests
inline constexpr double kUnestimatedGrantFactor = 1.5;  // times the usual need, granted without an estimate
inline constexpr double kLightWorkShare = 0.25;         // of the heaviest class's mean work: light up to this
inline constexpr double kMinRelativeSpeed = 0.08;       // floor of an engine's speed against the fleet's

// ---- Health checks of engines whose load is unknown ----

inline constexpr std::size_t kMinEnginesWithKnownLoad =
    2;  // with a fresh load report, before engines are probed
inline constexpr Nanos kProbeInterval = 250 * kMillisecond;
inline constexpr Nanos kProbeTimeout = 100 * kMillisecond;  // heavy requests wait this long for a result
inline constexpr Nanos kSilentProbeInterval = 20 * kProbeInterval;  // of engines that send no reports

// ---- Weights in moving means ----

inline constexpr double kFastWeight = 0.1;   // latency ratios, reported load
inline constexpr double kSlowWeight = 0.03;  // mix of running requests, for each second that one ran
inline constexpr double kMaxMixWeight = 0.3;
inline constexpr double kHungWeight = 0.02;  // share of light attempts that hang, of one engine
inline constexpr double kFleetHungWeight = kHungWeight / 4;  // likewise, of the fleet
inline constexpr double kMaxLatencyRatio = 20;               // of one sample
inline constexpr double kHungLatencyFactor = 3;  // times the engine's latency ratio: sample of a hung attempt

// ---- Outlier detection ----

inline constexpr double kErrorWeight = 0.15;            // of an attempt's outcome in the share that failed
inline constexpr double kBrokenConnectionWeight = 0.4;  // likewise of a lost connection or a silent engine
inline constexpr double kLostResponseWeight = 0.05;     // likewise of a response lost on the way
inline constexpr std::size_t kMaxEnginesInError = 3;  // after errors at so many engines a request is given up
inline constexpr Nanos kFullBackoff = 500 * kMillisecond;  // of an engine that reports itself full
inline constexpr double kMaxEjectedShare = 0.5;            // of the fleet
inline constexpr double kMinEjectionJitter = 0.8;          // ejection times vary from this factor ...
inline constexpr double kEjectionJitterRange = 0.4;        // ... by so much
inline constexpr double kHungShareNoise = 0.015;           // excess over the fleet's share that is chance
inline constexpr double kHungCostFactor = 60;  // times its expected time: cost of a hung heavy attempt

// ---- Slow start ----

inline constexpr double kSlowStartSafetyFactor = 0.75;  // of the permitted budget
inline constexpr double kSlowStartDeviations = 3;       // of random arrivals that the budget has room for
inline constexpr double kUnreportedCostFactor = 2;  // weight of a heavy request where costs aren't reported
// Of the budget, to gateways with the engine in their subset.
inline constexpr double kSubsetSlowStartShare = 0.8;

// ---- Runaway attempts: cancelled and retried elsewhere ----

inline constexpr double kMinRunawayFactor = 2.5;        // times the expected duration
inline constexpr double kMaxRunawayFactor = 8;          // likewise
inline constexpr double kMinMaxRunawayFactorLight = 4;  // the maximum of a light class with little scatter
inline constexpr double kMinRunawayFactorKeyed = 4;     // of a keyed class
// Times the expected duration, as projected from progress.
inline constexpr double kRunawayFactorProgress = 5;
inline constexpr double kRunawayDeviations = 2.5;    // of the log of work
inline constexpr double kRunawaySpreadFactor = 1.5;  // times that spread
inline constexpr int kMaxRunawayCancels = 2;         // of one request; then the request itself is heavy
// A second projection above this share of the first: heavy.
inline constexpr double kHeavyProjectionShare = 0.4;
inline constexpr double kMinProgress = 0.002;     // share done that a projection rests on
inline constexpr double kProjectionMargin = 0.9;  // of the projected remaining time
inline constexpr double kMinSecondsBeforeAbandoning = 0.4;

// ---- Choice of engine ----

inline constexpr double kWarmWorkSaving = 0.5;       // of a request's work, by a warm table group
inline constexpr std::size_t kPreferredEngines = 2;  // that keep a table group warm for all gateways
// Times the mean load, up to which they are preferred.
inline constexpr double kMinPreferredLoadFactor = 1.25;
inline constexpr double kOverdueFactor = 2;           // times its expected time: an attempt is overdue
inline constexpr double kMinRemainingShare = 0.3;     // of its work, that any running request still counts
inline constexpr double kLoadEngineShare = 0.5;       // of the engines, for the loads of a table group
inline constexpr std::size_t kMinEnginesToSplit = 4;  // below this, loads and readers use the same engines

// ---- Pending requests ----

inline constexpr int kMaxFailedPlacements = 4;       // of one group of pending requests in one step
inline constexpr int kExplorationsPerObjective = 4;  // of one class, in the time of its latency objective
inline constexpr double kMinLateWeightShare = 0.15;  // below this share no request waits past its objective
inline constexpr Nanos kTimerInterval =
    20 * kMillisecond;  // longest time between two steps while requests are open
// Reserved before a deadline for the response to reach the client: two timer intervals.
inline constexpr Nanos kResponseMargin = 40 * kMillisecond;
inline constexpr double kMinWork = 1e-4;  // thread seconds that any request needs

// ---- Tenants ----

inline constexpr double kQuotaBurstSeconds = 2;  // of a tenant's quota, that may come at once

// ---- Priorities on an engine ----

inline constexpr int kPriorityLate = 0;
inline constexpr int kPriorityDefault = 1;
inline constexpr int kPriorityHeavy = 2;
inline constexpr int kPriorityLight = 3;

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_CONSTANTS_H_
