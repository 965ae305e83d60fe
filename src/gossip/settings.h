// What a view is set up with. Periods and spans in time; docs/peers.md gives the reasons for the figures.
#ifndef LEMONCROFT_GOSSIP_SETTINGS_H_
#define LEMONCROFT_GOSSIP_SETTINGS_H_

#include <vector>

#include "gossip/types.h"

namespace lemoncroft::gossip {

// Parts of the protocol that a test takes away, one at a time, to show that something then fails. Nothing
// else sets them.
struct SafetyChecks {
  bool refutation = true;              // what is said against this proxy is answered
  bool suspicion_timeout = true;       // a probe that failed is no verdict yet
  bool local_health = true;            // a late proxy trusts itself less
  bool indirect_probes = true;         // probes through others
  bool reconnect_failed = true;        // who failed is tried again
  bool pause_detection = true;         // a proxy that was held drops what it believed meanwhile
  bool claim_verification = true;      // a failure that was only heard of is looked into first
  bool incarnation_jump_limit = true;  // an incarnation may not jump out of reach
  bool member_limit = true;            // at most so many members
  bool keep_confirmed = true;          // who gave proof of life makes no room for who did not
  bool tombstones = true;              // old news brings nobody back
  bool state_sync = true;              // differences of views are looked for and mended
  bool ping_target_check = true;       // an address is one instance's: a ping is not for whoever has it now
  bool retransmit_limit = true;        // news is told so many times, no more
  bool operator==(const SafetyChecks&) const = default;
};

struct Settings {
  Span probe_interval = std::chrono::milliseconds(250);  // between two probes
  Span failed_retention = std::chrono::minutes(10);      // who failed is tried again for so long
  std::size_t max_members = 2048;                        // members
  std::vector<Endpoint> seeds;
  SafetyChecks safety_checks;
  bool operator==(const Settings&) const = default;
};

// In periods, unless it says otherwise.
inline constexpr double kAckTimeoutPeriods = 0.4;     // then others are asked to try
inline constexpr double kNackTimeoutPeriods = 0.3;    // of one who was asked
inline constexpr int kGossipRoundsPerPeriod = 5;      // gossip beats in a period
inline constexpr std::size_t kGossipFanout = 3;       // members that one gossip beat tells
inline constexpr std::size_t kMaxIndirectProbes = 3;  // asked to probe for us
inline constexpr double kSuspicionBasePeriods = 4;    // suspicion: three of lateness and one to be told ...
inline constexpr double kSuspicionPeriodsPerLog10Members =
    1.1;                                          // ... and this times log10(n) for news to go both ways
inline constexpr double kMaxSuspicionFactor = 3;  // times that, while nobody confirms
inline constexpr std::size_t kSuspicionConfirmations = 3;  // bring it to the least
inline constexpr double kExpectedSuspectProbes = 3;  // members that look into a suspicion, of the whole fleet
inline constexpr std::size_t kUnconfirmedProbesPerPeriod = 3;  // a period, of members known by hearsay alone
inline constexpr int kMaxLocalHealth = 8;
inline constexpr int kFailedRetryIntervalPeriods = 2;  // one of those who failed
inline constexpr int kSeedRetryIntervalPeriods = 8;    // a seed that isn't in the view
inline constexpr int kSyncIntervalPeriods = 40;        // also where no difference was seen
inline constexpr int kMinSyncIntervalPeriods = 2;      // between two that this proxy opens
inline constexpr int kDigestMismatchesBeforeSync = 3;  // comparisons of digests, before an exchange
inline constexpr double kPauseThresholdPeriods = 1;    // a timer that late: this proxy was held
inline constexpr int kJoinWindowPeriods = 8;           // a generation is taken within, from the first contact
inline constexpr int kNameConflictPeriods = 20;        // two that serve under one name, for so long
inline constexpr std::size_t kMaxProbes = 32;          // out at a time
inline constexpr std::size_t kMaxRelayedProbes = 64;   // probes for others
inline constexpr std::size_t kMaxQueuedUpdates = 512;  // instances that news is queued of
inline constexpr std::size_t kMaxTombstones = 4096;
inline constexpr std::size_t kMaxFailureClaims = 2048;  // accused that wait to be looked into
inline constexpr int kUnconfirmedRetentionPeriods =
    40;  // who failed and never gave proof of life is freed after

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_SETTINGS_H_
