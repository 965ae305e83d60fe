// What a trial does: a fleet, and faults at times. Written in KDL, or drawn from a seed and written out.
//
//     trial "a crash is seen by all" {
//       proxies 5
//       period "100ms"
//       at "2s" { kill "n3" }
//       at "5s" { start "n3" }
//     }
//
// Contract. Plain values; a text that is wrong is told whole, with lines. Units: spans. docs/trials.md lists
// the verbs.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_SCRIPT_H_
#define LEMONCROFT_TESTING_FAULT_TEST_SCRIPT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemoncroft::fault_test {

using Span = std::chrono::nanoseconds;

// What is wrong with a trial's text, a line each.
class ScriptError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class ActionType {
  kKill,               // SIGKILL
  kTerminate,          // SIGTERM: it leaves
  kStart,              // again, on its own machine, with nothing remembered
  kStartWithoutState,  // the same with an empty $TMPDIR
  kHotRestart,         // beside the one that runs, which gets SIGTERM once the new one serves
  kDuplicate,          // NAME on a machine of its own, under a name that is taken
  kStall,              // SIGSTOP, and SIGCONT after a time
  kCutLink,            // FROM TO: in this direction
  kRestoreLink,
  kFlapLinks,  // FROM TO, both directions, cut and mended each so often, until healed
  kPartition,  // groups; a name in two of them is a bridge
  kHealLinks,
  kSetLinkConditions,  // of all links
  kForgeMembers,       // datagrams with invented members, from one machine's address to all
  kExpectLogged,       // NAME TEXT: at the end some process of that name has the text in its log
  kPropose,            // NAME DOCUMENT: at that proxy, from the newest version
  kEject,              // NAME ENGINE: an operator's call at that proxy
  kUneject,
  kChangeVoter,   // NAME WAY WHO: at that proxy, let a voter in or out
  kEraseStore,    // the stores of those machines are lost; their processes have ended
  kCorruptStore,  // a bit in each of these is another one
  kBackUpStore,   // a copy of these stores is put aside ...
  kRestoreStore,  // ... and takes the store's place again
};

struct Action {
  Span at{};
  ActionType type = ActionType::kKill;
  std::vector<std::string> names;  // of processes; for kPartition a group each, blanks between its names
  Span span{};                     // of kStall and kFlapLinks
  std::map<std::string, double>
      figures;  // of kSetLinkConditions: loss, duplicate, garble, delay_ms, spread_ms, rate
};

struct Trial {
  std::string name;
  std::size_t proxies = 5;
  std::size_t machines = 0;  // room for duplicates; 0: two more than proxies
  Span period = std::chrono::milliseconds(100);
  Span remember = std::chrono::seconds(60);
  std::vector<std::string> seeds = {"n1", "n2"};
  double settle = 20;               // periods from the last fault until all views agree
  std::uint64_t seed = 1;           // of the links
  bool busy = false;                // clients ask without a pause
  std::vector<std::string> voters;  // of the rules; none: no rules
  double changes = 0;               // a second, by operators at proxies drawn from the seed
  bool lost = false;                // at the end a majority of the voters is gone for good
  bool jumps = false;               // wall clocks jump by an hour, over and over
  bool files = false;               // no rules: operators change each proxy's own file, in turn
  bool each_once = false;           // how long each change takes to be in force at all is measured
  double load = 0;                  // requests a second from a client of each proxy, with engines to run them
  std::vector<Action> actions;      // by time
};

std::vector<Trial> ReadTrials(const std::string& path, std::string_view text);
std::string WriteTrial(const Trial& trial);
Trial DrawTrial(std::uint64_t seed, std::size_t proxies);
// The same with rules, changes by operators, and voters that come and go.
Trial DrawRulesTrial(std::uint64_t seed, std::size_t proxies);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_SCRIPT_H_
