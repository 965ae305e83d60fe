// What a view is set up with. Periods and spans in time; docs/peers.md gives the reasons for the figures.
#ifndef LEMONCROFT_PEERS_SETTINGS_H_
#define LEMONCROFT_PEERS_SETTINGS_H_

#include <vector>

#include "gossip/types.h"

namespace lemoncroft::gossip {

// Parts of the protocol that a test takes away, one at a time, to show that something then fails. Nothing
// else sets them.
struct Guards {
  bool refute = true;            // what is said against this proxy is answered
  bool suspicion_time = true;    // a probe that failed is no verdict yet
  bool local_health = true;      // a late proxy trusts itself less
  bool indirect = true;          // probes through others
  bool retry_failed = true;      // who failed is tried again
  bool stall_check = true;       // a proxy that was held drops what it believed meanwhile
  bool ask_accused = true;       // a failure that was only heard of is looked into first
  bool leap_bound = true;        // an incarnation may not jump out of reach
  bool member_bound = true;      // at most so many members
  bool proven_stay = true;       // who gave proof of life makes no room for who did not
  bool tombstones = true;        // old news brings nobody back
  bool exchange = true;          // differences of views are looked for and mended
  bool target_check = true;      // an address is one instance's: a ping is not for whoever has it now
  bool retransmit_bound = true;  // news is told so many times, no more
  bool operator==(const Guards&) const = default;
};

struct Settings {
  Span period = std::chrono::milliseconds(250);  // between two probes
  Span remember = std::chrono::minutes(10);      // who failed is tried again for so long
  std::size_t most = 2048;                       // members
  std::vector<Endpoint> seeds;
  Guards guards;
  bool operator==(const Settings&) const = default;
};

// In periods, unless it says otherwise.
inline constexpr double kAckWithin = 0.4;         // then others are asked to try
inline constexpr double kNackWithin = 0.3;        // of one who was asked
inline constexpr int kGossipParts = 5;            // gossip beats in a period
inline constexpr std::size_t kFanout = 3;         // members that one gossip beat tells
inline constexpr std::size_t kHelpers = 3;        // asked to probe for us
inline constexpr double kLatenessGranted = 4;     // suspicion: three of lateness and one to be told ...
inline constexpr double kSpreading = 1.1;         // ... and this times log10(n) for news to go both ways
inline constexpr double kSuspicionMost = 3;       // times that, while nobody confirms
inline constexpr std::size_t kConfirmations = 3;  // bring it to the least
inline constexpr double kSecondOpinions = 3;      // members that look into a suspicion, of the whole fleet
inline constexpr std::size_t kHearsayProbes = 3;  // a period, of members known by hearsay alone
inline constexpr int kHealthMost = 8;
inline constexpr int kRetryEvery = 2;           // one of those who failed
inline constexpr int kSeedEvery = 8;            // a seed that isn't in the view
inline constexpr int kExchangeEvery = 40;       // also where no difference was seen
inline constexpr int kExchangeLeast = 2;        // between two that this proxy opens
inline constexpr int kDiffersFor = 3;           // comparisons of digests, before an exchange
inline constexpr double kStall = 1;             // a timer that late: this proxy was held
inline constexpr int kJoining = 8;              // a generation is taken within, from the first contact
inline constexpr int kContested = 20;           // two that serve under one name, for so long
inline constexpr std::size_t kProbesMost = 32;  // out at a time
inline constexpr std::size_t kAskedMost = 64;   // probes for others
inline constexpr std::size_t kNewsMost = 512;   // instances that news is queued of
inline constexpr std::size_t kTombstonesMost = 4096;
inline constexpr std::size_t kLookMost = 2048;  // accused that wait to be looked into
inline constexpr int kUnprovenKept = 40;        // who failed and never gave proof of life is freed after

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_PEERS_SETTINGS_H_
