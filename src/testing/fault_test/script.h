// The script of a trial: a fleet of proxies, and actions at given times. Scripts are read from and written
// as KDL.
//
//     trial "a crash is seen by all" {
//       proxies 5
//       period "100ms"
//       at "2s" { kill "n3" }
//       at "5s" { start "n3" }
//     }
//
// docs/trials.md describes the language; script.cpp maps its words to the terms used here. All types are
// plain values. ScriptError lists all errors of a text with their lines.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_SCRIPT_H_
#define LEMONCROFT_TESTING_FAULT_TEST_SCRIPT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemoncroft::fault_test {

using Duration = std::chrono::nanoseconds;

// The errors of a script, one per line.
class ScriptError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The type of an action. The names in Action::names are those of proxies unless stated otherwise.
enum class ActionType {
  kKill,               // SIGKILL
  kTerminate,          // SIGTERM: graceful shutdown
  kStart,              // on the proxy's own machine; only its $TMPDIR and store persist
  kStartWithoutState,  // likewise, with an empty $TMPDIR
  kHotRestart,         // start a successor; SIGTERM to the running process once the successor serves
  kDuplicate,          // start a second process of that name on a separate machine
  kStall,              // SIGSTOP, and SIGCONT after a time
  kCutLink,            // FROM TO: in this direction
  kRestoreLink,        // FROM TO
  kFlapLinks,          // A B: both directions are cut and restored in turn until kHealLinks
  kPartition,  // groups of proxies, names separated by blanks; a proxy in several groups connects them
  kHealLinks,  // ends cuts, flapping and partitions
  kSetLinkConditions,  // of all links
  kForgeMembers,  // NAME: gossip about members that do not exist, sent from that machine's address to all
  kExpectLogged,  // NAME TEXT: at the end the log of a process of that name contains the text
  kPropose,       // NAME DOCUMENT: at that proxy, based on the newest version
  kEject,         // NAME ENGINE: an operator's manual ejection at that proxy
  kUneject,       // NAME ENGINE
  kChangeVoter,   // NAME DIRECTION VOTER: at that proxy; the direction is "in" or "out"
  kEraseStore,    // the store of a process that has ended
  kCorruptStore,  // flips bits in the store
  kBackUpStore,
  kRestoreStore,  // from the last backup
};

// Absent values are zero.
struct LinkConditions {
  std::optional<double> loss, duplicate, garble;  // probabilities
  std::optional<double> delay_ms, spread_ms;      // constant part of the delay; maximum of its random part
  std::optional<double> rate;                     // bytes per second; 0: unlimited
};

struct Action {
  Duration at{};  // since the start of the script
  ActionType type = ActionType::kKill;
  std::vector<std::string> names;
  Duration duration{};             // of kStall; of each phase of kFlapLinks
  LinkConditions link_conditions;  // of kSetLinkConditions
};

struct Trial {
  std::string name;
  std::size_t proxies = 5;
  std::size_t machines = 0;  // including those of duplicates; 0: two more than proxies
  Duration gossip_period = std::chrono::milliseconds(100);
  Duration dead_member_retention = std::chrono::seconds(60);
  std::vector<std::string> seed_proxies = {"n1", "n2"};
  double settle_periods = 20;            // from the last fault until all views agree
  std::uint64_t seed = 1;                // of random draws
  bool flood_readiness_queries = false;  // 20,000 a second to each proxy
  double requests_per_second = 0;        // from one client of each proxy
  std::vector<std::string> voters;       // empty: there is no replicated configuration
  double changes_per_second = 0;         // by operators, at random proxies
  bool voters_lost = false;              // a majority of the voters is lost for good
  bool wall_clocks_jump = false;         // by an hour, repeatedly
  bool roll_out_files = false;           // operators distribute files instead of proposing changes
  bool measure_each_change = false;      // from proposal to activation; operators make no other calls
  std::vector<Action> actions;           // by time
};

// Throws ScriptError. Errors contain `path`.
std::vector<Trial> ReadTrials(const std::string& path, std::string_view text);
// Returns a text from which ReadTrials creates the same fleet and actions. Options that random trials do
// not use are omitted.
std::string WriteTrial(const Trial& trial);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_SCRIPT_H_
