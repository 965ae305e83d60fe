// Settings and fixed parameters of the membership protocol. Constants whose names end in Periods are in
// protocol periods. docs/gossip.md gives the reasons for the values.
#ifndef LEMONCROFT_GOSSIP_SETTINGS_H_
#define LEMONCROFT_GOSSIP_SETTINGS_H_

#include <vector>

#include "gossip/types.h"

namespace lemoncroft::gossip {

// Safety checks of the protocol. Mutation tests disable them one at a time; they are enabled everywhere else.
struct SafetyChecks {
  bool refutation = true;          // refutes updates that declare this proxy suspected, failed or left
  bool suspicion_timeout = true;   // suspects a member before declaring it failed
  bool local_health = true;        // lengthens probe timeouts while this proxy is slow (Lifeguard)
  bool indirect_probes = true;     // asks other members to probe a member that does not answer
  bool reconnect_failed = true;    // pings failed members, so that the sides of a healed partition merge
  bool pause_detection = true;     // discards probes and postpones suspicions after this proxy was paused
  bool claim_verification = true;  // probes a member that others report as failed before declaring it failed
  bool incarnation_jump_limit = true;  // rejects updates that exceed kMaxIncarnationJump
  bool member_limit = true;            // limits the number of members
  bool protect_confirmed = true;  // evicts live members only if unconfirmed, and only for a confirmed one
  bool tombstones = true;         // remembers reaped members, so that old updates do not add them again
  bool state_sync = true;         // compares views and repairs differences
  bool ping_target_check = true;  // answers only pings meant for this instance
  bool retransmit_limit = true;   // limits how often an update is sent
  bool operator==(const SafetyChecks&) const = default;
};

struct Settings {
  // The protocol period; key `period`. It is the interval between probes at a local health score of 0; a
  // higher score lengthens that interval, but not the period.
  Duration probe_interval = std::chrono::milliseconds(250);
  // How long failed members are kept and pinged, and how long the tombstones of reaped members are kept; key
  // `remember`. Members that left, and failed members without direct contact, may be kept for a shorter time.
  Duration failed_retention = std::chrono::minutes(10);
  std::size_t max_members = 2048;  // key `most`
  std::vector<PeerAddress> seeds;
  SafetyChecks safety_checks;
  bool operator==(const Settings&) const = default;
};

// ---- Probes ----

inline constexpr double kAckTimeoutPeriods = 0.4;   // without an Ack by then, indirect probes are sent
inline constexpr double kNackTimeoutPeriods = 0.3;  // without an Ack by then, a relaying member sends a Nack
inline constexpr std::size_t kMaxIndirectProbes = 3;
inline constexpr std::size_t kMaxProbes = 32;                  // pending at a time
inline constexpr std::size_t kMaxRelayedProbes = 64;           // pending on behalf of other members
inline constexpr std::size_t kUnconfirmedProbesPerPeriod = 3;  // of members without direct contact
inline constexpr int kMaxLocalHealthScore = 8;
inline constexpr double kPauseThresholdPeriods = 1;  // a call that is later than this indicates a pause

// ---- Suspicion ----

// Minimum timeout: kSuspicionBasePeriods + kSuspicionPeriodsPerLog10Members * log10(n). The base covers three
// periods of lateness and one in which the suspicion arrives; the logarithmic term covers its dissemination
// in both directions.
inline constexpr double kSuspicionBasePeriods = 4;
inline constexpr double kSuspicionPeriodsPerLog10Members = 1.1;
inline constexpr double kMaxSuspicionFactor = 3;  // maximum timeout as a multiple of the minimum
// Number of confirmations that reduces the timeout to the minimum, lower if fewer than 5 members are live.
inline constexpr std::size_t kSuspicionConfirmations = 3;
inline constexpr double kExpectedSuspectProbes = 3;     // expected number of members that probe a new suspect
inline constexpr std::size_t kMaxFailureClaims = 2048;  // awaiting verification

// ---- Dissemination ----

inline constexpr int kGossipRoundsPerPeriod = 5;
inline constexpr std::size_t kGossipFanout = 3;  // receivers of one gossip round
inline constexpr std::size_t kMaxQueuedUpdates = 512;

// ---- State sync and reconnection ----

inline constexpr int kFailedRetryIntervalPeriods = 2;  // between pings of failed members, one at a time
// Between pings of seeds that are not live members, one at a time. One period if there is no other live
// member.
inline constexpr int kSeedRetryIntervalPeriods = 8;
inline constexpr int kSyncIntervalPeriods = 40;    // between two syncs without a known difference
inline constexpr int kMinSyncIntervalPeriods = 2;  // between two syncs that this proxy initiates
inline constexpr int kDigestMismatchesBeforeSync = 3;

// ---- Members ----

// Time after the first contact in which this proxy takes the next generation of its name.
inline constexpr int kJoinWindowPeriods = 8;
// A name conflict is reported after several instances have served under one name for this time.
inline constexpr int kNameConflictPeriods = 20;
// Retention of a failed member without direct contact, and a quarter of the retention of a member that left.
// Settings::failed_retention applies instead if it is shorter.
inline constexpr int kUnconfirmedRetentionPeriods = 40;
inline constexpr std::size_t kMaxTombstones = 4096;

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_SETTINGS_H_
